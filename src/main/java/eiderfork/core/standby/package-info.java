/**
 * A follower's copy of what is committed, by which it takes the lead over without reading
 * everything. The copy is of the state service's keys alone; what the leader tells beside it are
 * hints, on which no rule hangs.
 */
package eiderfork.core.standby;
