/**
 * Communication with workers: heartbeats, incarnations and leases, commands, and the reconciliation
 * of reservations with the tasks that workers report. The lease proxy is the part that followers
 * run.
 */
package eiderfork.controller.workers;
