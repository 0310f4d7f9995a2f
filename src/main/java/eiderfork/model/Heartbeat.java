package eiderfork.model;

import com.google.common.collect.ImmutableList;

/**
 * A worker's status message. Heartbeats are ordered by incarnation, then by sequence number.
 *
 * @param machine the worker's machine
 * @param incarnation the number of the worker's incarnation, which grows each time its lease
 *     expires
 * @param sequenceNumber the number of the heartbeat within the incarnation
 * @param fencingToken the largest fencing token that the worker has seen
 * @param terminationNoticeS the time in seconds until the cloud reclaims the machine; null if it
 *     has not announced this
 * @param tasks the status of the task attempts on the worker
 */
public record Heartbeat(
    Machine machine,
    long incarnation,
    long sequenceNumber,
    long fencingToken,
    Double terminationNoticeS,
    ImmutableList<TaskStatus> tasks) {

  /** Returns this heartbeat with an equal list of tasks, so that both share one list in memory. */
  public Heartbeat withTasks(ImmutableList<TaskStatus> equalTasks) {
    return new Heartbeat(
        machine, incarnation, sequenceNumber, fencingToken, terminationNoticeS, equalTasks);
  }

  /** Returns whether this heartbeat is newer than one with that incarnation and sequence number. */
  public boolean isNewerThan(long otherIncarnation, long otherSequenceNumber) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequenceNumber > otherSequenceNumber);
  }
}
