/** What the parts of one controller share: settings, time, open calls and effects. */
package eiderfork.core.context;
