/**
 * The dealings with workers: heartbeats, incarnations and leases, commands, and reconciliation of
 * reservations with what workers report. The lease proxy is the part that followers run.
 */
package eiderfork.controller.workers;
