package eiderfork.model;

/** An entry of the cloud's machine list. */
public record ListedMachine(Machine machine, State state, double ageS) {
  /** The state of a machine, as the cloud reports it. */
  public enum State {
    BOOTING,
    RUNNING,
    FAILED
  }
}
