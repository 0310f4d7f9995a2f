/**
 * Warm standby: a follower's replica of the committed keys, with which it can take over the
 * leadership without reading everything. Hints from the leader come on top; correctness never
 * depends on a hint.
 */
package eiderfork.controller.standby;
