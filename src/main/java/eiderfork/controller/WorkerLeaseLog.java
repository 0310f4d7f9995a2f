package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Command;
import eiderfork.model.TaskStatus;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells operators of workers' sessions and leases: what was known of them when tasks were given up
 * or started. Where a cut ends thousands of leases at once, some lines a step are written and the
 * rest is counted.
 */
final class WorkerLeaseLog {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerLeaseLog.class);

  /** The most lines that are written in a step. */
  private static final int LINES_IN_STEP = 20;

  private static final long INTERVAL_MS = 60_000;

  private final ControllerContext context;

  private long begunByReport;
  private long begunByCommand;
  private long lapses;
  private long keptByProxy;
  private long outdatedReads;
  private long settled;
  private long settledRunning;
  private long leftOut;

  private int lines;
  private long stepEndsMs;
  private long nextMs;

  WorkerLeaseLog(ControllerContext context) {
    this.context = context;
  }

  /** A term begins. */
  void clear() {
    begunByReport = 0;
    begunByCommand = 0;
    lapses = 0;
    keptByProxy = 0;
    outdatedReads = 0;
    settled = 0;
    settledRunning = 0;
    leftOut = 0;
  }

  /** How many sessions were first seen by the answer to a direct command since the last line. */
  long begunByCommand() {
    return begunByCommand;
  }

  /** How many lapses a read said nothing of, since the lease was renewed after it was sent. */
  long outdatedReads() {
    return outdatedReads;
  }

  /** How many lines were left out since the last count. */
  long leftOut() {
    return leftOut;
  }

  /**
   * A worker shows another session than before.
   *
   * @param beforeMs from when the lease of the session before may have run
   * @param byCommand the answer to a direct command shows it, and no report
   */
  void begun(MachineState m, long before, long beforeMs, boolean byCommand) {
    if (byCommand) {
      begunByCommand++;
    } else {
      begunByReport++;
    }
    if (mayWrite()) {
      LOG.info(
          "session machine={} session={} before={} by={} token={} lease_before_ms={} reserved={}",
          m.name,
          m.session.number(),
          before,
          byCommand ? "command" : "report",
          m.report().token(),
          context.nowMs - beforeMs,
          m.placed.size());
    }
  }

  /**
   * A lease has surely lapsed, and what is reserved on the machine is settled with it.
   *
   * @param readMs how long the read of the lease proxies' records took, 0 for none
   */
  void lapsed(MachineState m, long readMs) {
    int running = 0;
    for (Reservation task : m.placed) {
      running += task.seen == TaskStatus.State.RUNNING ? 1 : 0;
    }
    lapses++;
    settled += m.placed.size();
    settledRunning += running;
    if (mayWrite()) {
      LOG.info(
          "lapse machine={} session={} lease_ms={} heard_ms={} read_ms={} settled={} running={}",
          m.name,
          m.session.number(),
          context.nowMs - m.session.leaseFromMs(),
          context.nowMs - m.session.heardMs(),
          readMs,
          m.placed.size(),
          running);
    }
  }

  /** A lapse is not settled, since a lease proxy may have renewed the lease. */
  void keptByProxy() {
    keptByProxy++;
  }

  /** A lapse is not settled, since the lease was renewed, or a session began, after the read. */
  void outdatedRead() {
    outdatedReads++;
  }

  /** Commands go to a worker, by an answer to its report or directly. */
  void commanded(MachineState m, List<Command> commands, boolean directly) {
    if (LOG.isDebugEnabled() && !commands.isEmpty()) {
      LOG.debug(
          "command machine={} session={} token={} by={} heard_ms={} lease_ms={} commands={}",
          m.name,
          m.session.number(),
          m.token,
          directly ? "command" : "report",
          context.nowMs - m.session.heardMs(),
          context.nowMs - m.session.leaseFromMs(),
          commands);
    }
  }

  /** Once a minute: the counts since the last time, where anything happened. */
  void tell() {
    if (context.nowMs < nextMs) {
      return;
    }
    nextMs = context.nowMs + INTERVAL_MS;
    if (begunByReport + begunByCommand + lapses + keptByProxy + outdatedReads > 0) {
      LOG.info(
          "sessions begun_by_report={} begun_by_command={} lapses={} settled={} settled_running={}"
              + " kept_by_proxy={} outdated_reads={} lines_left_out={}",
          begunByReport,
          begunByCommand,
          lapses,
          settled,
          settledRunning,
          keptByProxy,
          outdatedReads,
          leftOut);
    }
    clear();
  }

  private boolean mayWrite() {
    if (context.nowMs >= stepEndsMs) {
      stepEndsMs = context.nowMs + context.stepMs();
      lines = 0;
    }
    if (lines >= LINES_IN_STEP) {
      leftOut++;
      return false;
    }
    lines++;
    return true;
  }
}
