/**
 * The interface of the controller's state machine: inputs, effects, calls with their replies, and
 * the keys of the key-value store. All types are immutable and hold no logic.
 */
package eiderfork.controller.message;
