/**
 * The leader's memory of jobs and machines: their state, the reservations between them, the indexes
 * over both, and the writes that commit a job's allocation. {@code JobRegistry} and {@code
 * MachineRegistry} are the entry points. Only the leader fills it; it is cleared when the node
 * loses the leadership. Reservations change by the named events of {@code JobState} and {@code
 * Reservation} alone.
 */
package eiderfork.controller.registry;
