package eiderfork.model;

import com.google.common.collect.ImmutableList;

/** A worker's report; the larger (session, seq) is the newer one. */
public record Heartbeat(
    Machine machine,
    long incarnation,
    long sequenceNumber,
    long fencingToken,
    Double terminationNoticeS,
    ImmutableList<TaskStatus> tasks) {

  /** This report with an equal list of tasks, so that memory holds one list for both. */
  public Heartbeat withTasks(ImmutableList<TaskStatus> equalTasks) {
    return new Heartbeat(
        machine, incarnation, sequenceNumber, fencingToken, terminationNoticeS, equalTasks);
  }

  /** Whether this report was made after the message with that session and sequence number. */
  public boolean isNewerThan(long otherIncarnation, long otherSequenceNumber) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequenceNumber > otherSequenceNumber);
  }
}
