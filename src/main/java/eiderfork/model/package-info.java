/**
 * The vocabulary of the scheduler: jobs, tasks, attempts, machines, teams and stored records, all
 * immutable.
 */
package eiderfork.model;
