package eiderfork.model;

/**
 * The status of one attempt in a worker's heartbeat.
 *
 * @param attempt the attempt
 * @param state what it is doing
 * @param cause why it has ended; null unless it has
 * @param checkpointed whether it saved its progress when it was stopped
 */
public record TaskStatus(Attempt attempt, State state, Cause cause, boolean checkpointed) {
  /** What an attempt is doing on its machine. */
  public enum State {
    FETCHING,
    /** A task of a gang that waits for the other tasks. */
    WAITING_FOR_GANG,
    RUNNING,
    CHECKPOINTING,
    /** On the machine, in a state that is unknown to this version. */
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
    /** The other tasks of the gang did not start in time. */
    GANG_INCOMPLETE
  }

  /** Whether the attempt has ended; only then it has a cause. */
  public boolean hasEnded() {
    return state == State.ENDED;
  }
}
