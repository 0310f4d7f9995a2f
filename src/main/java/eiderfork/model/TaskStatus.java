package eiderfork.model;

/** What a worker says of one attempt; {@code cause} is null unless it has ended. */
public record TaskStatus(Attempt attempt, State state, Cause cause, boolean checkpointed) {
  /** What an attempt is doing on its machine. */
  public enum State {
    FETCHING,
    /** A gang's task that waits for the others. */
    WAITING_FOR_GANG,
    RUNNING,
    CHECKPOINTING,
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
    PEER_LOST,
    /** The others of the gang did not come. */
    GANG_INCOMPLETE
  }

  /** Whether the attempt has ended; only then it has a cause. */
  public boolean hasEnded() {
    return state == State.ENDED;
  }
}
