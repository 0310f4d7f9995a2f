package eiderfork.model;

/** A machine in the cloud's machine list. */
public record ListedMachine(Machine machine, State state, double ageS) {
  /** The state of a machine as the cloud lists it. */
  public enum State {
    BOOTING,
    RUNNING,
    FAILED
  }
}
