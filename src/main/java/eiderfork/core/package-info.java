/**
 * The scheduler as a state machine. {@link eiderfork.core.Controller} takes timed inputs and
 * returns effects; nothing here does input or output, reads a clock or starts a thread.
 *
 * <p>Begin reading with {@link eiderfork.core.Controller}, then {@code Term} (who leads), {@code
 * Placer} (what runs where), {@code WorkerControl} (commands and leases) and {@code Planner} (the
 * fleet).
 */
package eiderfork.core;
