/**
 * The scheduler: which task runs on which machine. Scheduling rounds, queue order, the search for
 * machines, and preemption by priority and by quota. It changes the registry by proposing
 * reservations and requesting stops, and sends nothing itself.
 */
package eiderfork.controller.scheduling;
