/**
 * A controller node as a deterministic state machine. {@link eiderfork.controller.Controller} takes
 * timed inputs and returns effects; no class in this package or its subpackages performs I/O, reads
 * a clock or starts a thread.
 *
 * <p>{@code docs/architecture.md} shows which class owns which state. Start with {@link
 * eiderfork.controller.Controller}, then {@link eiderfork.controller.election.LeaderElection}
 * (leader election), {@code Scheduler} (task placement), {@code WorkerCommander} (commands to
 * workers) and {@code Autoscaler} (the number of rented machines).
 */
package eiderfork.controller;
