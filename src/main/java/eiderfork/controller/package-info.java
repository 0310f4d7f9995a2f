/**
 * A controller node as a deterministic state machine. {@link eiderfork.controller.Controller} takes
 * timed inputs and returns effects; nothing in this package or below it does input or output, reads
 * a clock or starts a thread.
 *
 * <p>{@code docs/architecture.md} shows which class owns which state. Start with {@link
 * eiderfork.controller.Controller}, then {@link eiderfork.controller.election.LeaderElection} (who
 * leads), {@code Scheduler} (what runs where), {@code WorkerCommander} (commands to workers) and
 * {@code Autoscaler} (how many machines are rented).
 */
package eiderfork.controller;
