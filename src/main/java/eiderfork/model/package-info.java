/**
 * The immutable data types of the scheduler: jobs, tasks, attempts, machines, teams and stored
 * records, with the size bounds of stored allocations.
 */
package eiderfork.model;
