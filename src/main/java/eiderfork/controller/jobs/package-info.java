/**
 * Users' requests: admission, cancellation and queries of jobs, forwarding of requests to the
 * leader, and the archival of finished jobs. Any node admits and cancels jobs; only the leader
 * archives.
 */
package eiderfork.controller.jobs;
