package eiderfork.model;

/** A line of the cloud's machine list. */
public record ListedMachine(Machine machine, State state, double ageS) {
  /** What the cloud says a machine is doing. */
  public enum State {
    BOOTING,
    RUNNING,
    FAILED
  }
}
