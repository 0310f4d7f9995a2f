/**
 * What goes into the core and comes out of it: inputs, effects, calls and their replies, and the
 * keys of the state service.
 */
package eiderfork.core.message;
