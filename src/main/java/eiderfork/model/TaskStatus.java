package eiderfork.model;

/**
 * The status of a task attempt in a worker's heartbeat.
 *
 * @param attempt the attempt
 * @param state the state of the attempt
 * @param cause the reason why the attempt ended; null if it has not
 * @param checkpointed whether the task saved a checkpoint when it was stopped
 */
public record TaskStatus(Attempt attempt, State state, Cause cause, boolean checkpointed) {
  /** The state of an attempt on its machine. */
  public enum State {
    FETCHING,
    /** Waiting for the other tasks of the gang. */
    WAITING_FOR_GANG,
    RUNNING,
    CHECKPOINTING,
    /** On the machine, in a state that this version does not know. */
    OTHER,
    ENDED
  }

  /** The reason why an attempt ended or was refused. */
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

  /** Returns whether the attempt has ended; only an ended attempt has a cause. */
  public boolean hasEnded() {
    return state == State.ENDED;
  }
}
