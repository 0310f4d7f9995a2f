/**
 * State shared by the components of a controller: the settings, the time of the current input,
 * pending calls, and the effects to emit. Any component may use this package; it depends only on
 * messages and settings.
 */
package eiderfork.controller.context;
