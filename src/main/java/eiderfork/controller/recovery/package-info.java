/**
 * Recovery of a new leader: it rebuilds the leader's memory from the store or from a standby's
 * replica, and then watches for changes that other nodes commit. It ends when the node loses the
 * leadership.
 */
package eiderfork.controller.recovery;
