/**
 * What the components of one controller share: settings, the time of the current input, pending
 * calls and the effects to emit. Any component may use it; it depends on messages and settings
 * only.
 */
package eiderfork.controller.context;
