/**
 * Warm standby: a follower's replica of the committed keys, with which it can take over the
 * leadership without reading everything. Hints from the leader supplement the replica; correctness
 * never depends on them.
 */
package eiderfork.controller.standby;
