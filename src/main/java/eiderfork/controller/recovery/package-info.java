/**
 * Paged reads of the ranges of keys from which a new leader rebuilds its memory. The reads end when
 * the node loses the leadership.
 */
package eiderfork.controller.recovery;
