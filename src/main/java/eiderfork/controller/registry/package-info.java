/**
 * The leader's in-memory state of jobs and machines: the reservations that connect them, the
 * indexes over both, and the writes that commit a job's allocation. {@code JobRegistry} and {@code
 * MachineRegistry} are the entry points. It is filled only on the leader and cleared when the node
 * loses its leadership. Reservations change only through the methods of {@code JobState} and {@code
 * Reservation}.
 */
package eiderfork.controller.registry;
