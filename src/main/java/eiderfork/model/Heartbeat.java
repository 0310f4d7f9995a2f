package eiderfork.model;

import com.google.common.collect.ImmutableList;

/**
 * A worker's status message. Of two heartbeats, the one with the larger incarnation, or with the
 * larger sequence number within an incarnation, is the newer.
 *
 * @param machine the worker's machine
 * @param incarnation counts how often the worker's lease has expired
 * @param sequenceNumber orders the heartbeats of an incarnation
 * @param fencingToken the largest token that the worker has seen
 * @param terminationNoticeS seconds until the cloud takes the machine back; null for no notice
 * @param tasks the worker's tasks
 */
public record Heartbeat(
    Machine machine,
    long incarnation,
    long sequenceNumber,
    long fencingToken,
    Double terminationNoticeS,
    ImmutableList<TaskStatus> tasks) {

  /** This heartbeat with an equal list of tasks, so that memory holds one list for both. */
  public Heartbeat withTasks(ImmutableList<TaskStatus> equalTasks) {
    return new Heartbeat(
        machine, incarnation, sequenceNumber, fencingToken, terminationNoticeS, equalTasks);
  }

  /** Whether this heartbeat is newer than one with that incarnation and sequence number. */
  public boolean isNewerThan(long otherIncarnation, long otherSequenceNumber) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequenceNumber > otherSequenceNumber);
  }
}
