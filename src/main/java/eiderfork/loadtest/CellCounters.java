package eiderfork.loadtest;

/**
 * Event counts of a cell since the start; written on the cell's event loop only. The field names
 * are keys of the JSON report.
 */
final class CellCounters implements Cloneable {
  long stateRequests;
  long stateWrites;
  long stateConflicts;
  long stateRefused;
  long stateBytesIn;
  long stateBytesOut;
  long cloudRequests;
  long cloudRefused;
  long reports;
  long reportedTasks;
  long reportBytesOut;
  long reportBytesIn;
  long directCommands;
  long starts;
  long ends;
  long submissions;
  long accepted;
  long userRefusals;
  long polls;
  long pollFailures;
  long cancellations;

  /** Returns a copy, used to compute the difference over a phase. */
  @Override
  public CellCounters clone() {
    try {
      return (CellCounters) super.clone();
    } catch (CloneNotSupportedException e) {
      throw new AssertionError(e);
    }
  }

  /** Returns the increase of each counter since an earlier copy. */
  CellCounters minus(CellCounters before) {
    CellCounters difference = new CellCounters();
    difference.stateRequests = stateRequests - before.stateRequests;
    difference.stateWrites = stateWrites - before.stateWrites;
    difference.stateConflicts = stateConflicts - before.stateConflicts;
    difference.stateRefused = stateRefused - before.stateRefused;
    difference.stateBytesIn = stateBytesIn - before.stateBytesIn;
    difference.stateBytesOut = stateBytesOut - before.stateBytesOut;
    difference.cloudRequests = cloudRequests - before.cloudRequests;
    difference.cloudRefused = cloudRefused - before.cloudRefused;
    difference.reports = reports - before.reports;
    difference.reportedTasks = reportedTasks - before.reportedTasks;
    difference.reportBytesOut = reportBytesOut - before.reportBytesOut;
    difference.reportBytesIn = reportBytesIn - before.reportBytesIn;
    difference.directCommands = directCommands - before.directCommands;
    difference.starts = starts - before.starts;
    difference.ends = ends - before.ends;
    difference.submissions = submissions - before.submissions;
    difference.accepted = accepted - before.accepted;
    difference.userRefusals = userRefusals - before.userRefusals;
    difference.polls = polls - before.polls;
    difference.pollFailures = pollFailures - before.pollFailures;
    difference.cancellations = cancellations - before.cancellations;
    return difference;
  }
}
