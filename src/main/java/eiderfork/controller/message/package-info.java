/**
 * The interface of the state machine: inputs, effects, calls and their replies, and the keys of the
 * key-value store. All types are immutable and hold no logic.
 */
package eiderfork.controller.message;
