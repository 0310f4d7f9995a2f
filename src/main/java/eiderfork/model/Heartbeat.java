package eiderfork.model;

import com.google.common.collect.ImmutableList;

/** A worker's report; the larger (session, seq) is the newer one. */
public record Heartbeat(
    Machine machine,
    long session,
    long seq,
    long token,
    Double noticeS,
    ImmutableList<TaskStatus> tasks) {

  /** This report with an equal list of tasks, so that memory holds one list for both. */
  public Heartbeat withTasks(ImmutableList<TaskStatus> equalTasks) {
    return new Heartbeat(machine, session, seq, token, noticeS, equalTasks);
  }

  /** Whether this report was made after the message with that session and sequence number. */
  public boolean newerThan(long otherSession, long otherSeq) {
    return session > otherSession || (session == otherSession && seq > otherSeq);
  }
}
