package eiderfork.model;

/** A controller's command to a worker about one attempt of a task. */
public sealed interface WorkerCommand {
  /** The attempt that the command is about. */
  Attempt attempt();

  /** Start the attempt; without effect where the worker has it in any state. */
  record Run(Attempt attempt) implements WorkerCommand {}

  /** Stop the attempt, which may save its progress for up to {@code graceS} seconds. */
  record Kill(Attempt attempt, double graceS) implements WorkerCommand {}

  /** Forget an attempt that has ended. */
  record Clear(Attempt attempt) implements WorkerCommand {}
}
