/**
 * What users ask for: admission, cancellation and queries of jobs, forwarding to the leader, and
 * the archive of finished jobs. Any node admits and cancels jobs; only the leader archives.
 */
package eiderfork.controller.jobs;
