package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
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
  private static final int MAX_LINES_PER_STEP = 20;

  private static final long SUMMARY_INTERVAL_MS = 60_000;

  private final ControllerContext context;

  private long startedByHeartbeat;
  private long startedByCommand;
  private long expiredLeases;
  private long keptByProxy;
  private long staleReads;
  private long settledTasks;
  private long settledRunningTasks;
  private long suppressedLines;

  private int linesInStep;
  private long stepEndsMs;
  private long nextSummaryMs;

  WorkerLeaseLog(ControllerContext context) {
    this.context = context;
  }

  /** A term begins. */
  void reset() {
    startedByHeartbeat = 0;
    startedByCommand = 0;
    expiredLeases = 0;
    keptByProxy = 0;
    staleReads = 0;
    settledTasks = 0;
    settledRunningTasks = 0;
    suppressedLines = 0;
  }

  /** How many sessions were first seen by the answer to a direct command since the last line. */
  long startedByCommand() {
    return startedByCommand;
  }

  /** How many lapses a read said nothing of, since the lease was renewed after it was sent. */
  long staleReads() {
    return staleReads;
  }

  /** How many lines were left out since the last count. */
  long suppressedLines() {
    return suppressedLines;
  }

  /**
   * A worker shows another session than before.
   *
   * @param previousLeaseStartMs from when the lease of the session before may have run
   * @param byCommand the answer to a direct command shows it, and no report
   */
  void incarnationStarted(
      MachineState machine,
      long previousIncarnation,
      long previousLeaseStartMs,
      boolean byCommand) {
    if (byCommand) {
      startedByCommand++;
    } else {
      startedByHeartbeat++;
    }
    if (canWriteLine()) {
      LOG.info(
          "session machine={} session={} before={} by={} token={} lease_before_ms={} reserved={}",
          machine.name(),
          machine.incarnation().number(),
          previousIncarnation,
          byCommand ? "command" : "report",
          machine.lastHeartbeat().fencingToken(),
          context.nowMs - previousLeaseStartMs,
          machine.reservations().size());
    }
  }

  /**
   * A lease has surely lapsed, and what is reserved on the machine is settled with it.
   *
   * @param readMs how long the read of the lease proxies' records took, 0 for none
   */
  void leaseExpired(MachineState machine, long readMs) {
    int running = 0;
    for (Reservation task : machine.reservations()) {
      running += task.reportedState() == TaskStatus.State.RUNNING ? 1 : 0;
    }
    expiredLeases++;
    settledTasks += machine.reservations().size();
    settledRunningTasks += running;
    if (canWriteLine()) {
      LOG.info(
          "lapse machine={} session={} lease_ms={} heard_ms={} read_ms={} settled={} running={}",
          machine.name(),
          machine.incarnation().number(),
          context.nowMs - machine.incarnation().leaseStartMs(),
          context.nowMs - machine.incarnation().lastHeartbeatMs(),
          readMs,
          machine.reservations().size(),
          running);
    }
  }

  /** A lapse is not settled, since a lease proxy may have renewed the lease. */
  void keptByProxy() {
    keptByProxy++;
  }

  /** A lapse is not settled, since the lease was renewed, or a session began, after the read. */
  void staleRead() {
    staleReads++;
  }

  /** Commands go to a worker, by an answer to its report or directly. */
  void commandsSent(MachineState machine, List<WorkerCommand> commands, boolean sentDirectly) {
    if (LOG.isDebugEnabled() && !commands.isEmpty()) {
      LOG.debug(
          "command machine={} session={} token={} by={} heard_ms={} lease_ms={} commands={}",
          machine.name(),
          machine.incarnation().number(),
          machine.commandChannel().fencingToken(),
          sentDirectly ? "command" : "report",
          context.nowMs - machine.incarnation().lastHeartbeatMs(),
          context.nowMs - machine.incarnation().leaseStartMs(),
          commands);
    }
  }

  /** Once a minute: the counts since the last time, where anything happened. */
  void logSummaryIfDue() {
    if (context.nowMs < nextSummaryMs) {
      return;
    }
    nextSummaryMs = context.nowMs + SUMMARY_INTERVAL_MS;
    if (startedByHeartbeat + startedByCommand + expiredLeases + keptByProxy + staleReads > 0) {
      LOG.info(
          "sessions begun_by_report={} begun_by_command={} lapses={} settled={} settled_running={}"
              + " kept_by_proxy={} outdated_reads={} lines_left_out={}",
          startedByHeartbeat,
          startedByCommand,
          expiredLeases,
          settledTasks,
          settledRunningTasks,
          keptByProxy,
          staleReads,
          suppressedLines);
    }
    reset();
  }

  private boolean canWriteLine() {
    if (context.nowMs >= stepEndsMs) {
      stepEndsMs = context.nowMs + context.stepMs();
      linesInStep = 0;
    }
    if (linesInStep >= MAX_LINES_PER_STEP) {
      suppressedLines++;
      return false;
    }
    linesInStep++;
    return true;
  }
}
