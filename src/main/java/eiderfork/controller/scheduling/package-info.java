/**
 * Assigns tasks to machines: scheduling rounds, queue order, machine search, and preemption by
 * priority and by quota. The scheduler changes the registry by proposing reservations and
 * requesting stops, and sends no messages itself.
 */
package eiderfork.controller.scheduling;
