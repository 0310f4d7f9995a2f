package eiderfork.model;

/** What a worker says of one attempt; {@code cause} is null unless it has ended. */
public record TaskStatus(Attempt attempt, State state, Cause cause, boolean saved) {
  /** What an attempt is doing on its machine. */
  public enum State {
    FETCHING,
    /** A gang's task that waits for the others. */
    GATHERING,
    RUNNING,
    SAVING,
    /** On the machine, in a state that this version does not know. */
    OTHER,
    ENDED
  }

  /** Why an attempt has ended, or was refused. */
  public enum Cause {
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN,
    /** A task of the same gang was lost. */
    PEERS,
    /** The others of the gang did not come. */
    INCOMPLETE
  }

  /** Whether the attempt has ended; only then it has a cause. */
  public boolean ended() {
    return state == State.ENDED;
  }
}
