/**
 * A new leader's recovery: it rebuilds the registry from the store or from a standby's replica, and
 * then follows what other nodes commit. It ends when the node loses the leadership.
 */
package eiderfork.controller.recovery;
