package eiderfork.model;

/** A command from a controller to a worker, concerning one attempt of a task. */
public sealed interface WorkerCommand {
  /** Returns the attempt that the command concerns. */
  Attempt attempt();

  /** Starts the attempt; has no effect if the worker already has it, in any state. */
  record Run(Attempt attempt) implements WorkerCommand {}

  /** Stops the attempt, which has up to {@code graceS} seconds to save a checkpoint. */
  record Kill(Attempt attempt, double graceS) implements WorkerCommand {}

  /** Removes an ended attempt from the worker's status. */
  record Clear(Attempt attempt) implements WorkerCommand {}
}
