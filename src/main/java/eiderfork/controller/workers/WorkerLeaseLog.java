package eiderfork.controller.workers;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the incarnations and leases of workers, with the state on which decisions to settle or start
 * tasks were based. A network partition can end thousands of leases at once, so the number of log
 * lines per step is limited and further ones are only counted.
 */
public final class WorkerLeaseLog {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerLeaseLog.class);

  /** The maximum number of log lines per step. */
  private static final int MAX_LINES_PER_STEP = 20;

  private static final long SUMMARY_INTERVAL_MS = 60_000;

  private static final String BY_COMMAND = "command";
  private static final String BY_HEARTBEAT = "heartbeat";

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

  /** Creates a log with all counters at 0. */
  public WorkerLeaseLog(ControllerContext context) {
    this.context = context;
  }

  /** Resets all counters. */
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

  /**
   * Returns the number of incarnations that were first seen in a command reply since the last
   * summary.
   */
  public long startedByCommand() {
    return startedByCommand;
  }

  /**
   * Returns the number of expired leases since the last summary that were renewed or replaced after
   * the proxy records were requested.
   */
  public long staleReads() {
    return staleReads;
  }

  /** Returns the number of log lines that were suppressed since the last summary. */
  public long suppressedLines() {
    return suppressedLines;
  }

  /**
   * Records that a worker reports a new incarnation.
   *
   * @param previousLeaseStartMs the latest time from which the previous incarnation's lease may
   *     have run
   * @param byCommand whether the reply to a direct command reported it
   */
  public void recordIncarnationStart(
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
          "incarnation-started machine={} incarnation={} previousIncarnation={} seenBy={}"
              + " fencingToken={} sincePreviousAckMs={} reservedTasks={}",
          machine.name(),
          machine.incarnation().number(),
          previousIncarnation,
          byCommand ? BY_COMMAND : BY_HEARTBEAT,
          machine.lastHeartbeat().fencingToken(),
          context.nowMs() - previousLeaseStartMs,
          machine.reservations().size());
    }
  }

  /**
   * Records that a lease is certain to have expired and that the reservations on the machine are
   * settled.
   *
   * @param proxyReadMs the duration of the read of the lease proxies' records, or 0 if none was
   *     needed
   */
  void recordExpiredLease(MachineState machine, long proxyReadMs) {
    int running = 0;
    for (Reservation reservation : machine.reservations()) {
      running += reservation.reportedState() == TaskStatus.State.RUNNING ? 1 : 0;
    }
    expiredLeases++;
    settledTasks += machine.reservations().size();
    settledRunningTasks += running;
    if (canWriteLine()) {
      LOG.info(
          "lease-expired machine={} incarnation={} sinceAckMs={} sinceHeartbeatMs={} proxyReadMs={}"
              + " settledTasks={} runningTasks={}",
          machine.name(),
          machine.incarnation().number(),
          context.nowMs() - machine.incarnation().leaseStartMs(),
          context.nowMs() - machine.incarnation().lastHeartbeatMs(),
          proxyReadMs,
          machine.reservations().size(),
          running);
    }
  }

  /** Records that an expired lease is not settled because a lease proxy may have renewed it. */
  void recordKeptByProxy() {
    keptByProxy++;
  }

  /**
   * Records that an expired lease is not settled because it was renewed or replaced after the read
   * of the proxy records was sent.
   */
  void recordStaleRead() {
    staleReads++;
  }

  /** Logs commands that are sent to a worker, in response to its heartbeat or directly. */
  void logCommandsSent(MachineState machine, List<WorkerCommand> commands, boolean sentDirectly) {
    if (LOG.isDebugEnabled() && !commands.isEmpty()) {
      LOG.debug(
          "commands-sent machine={} incarnation={} fencingToken={} sentBy={} sinceHeartbeatMs={}"
              + " sinceAckMs={} commands={}",
          machine.name(),
          machine.incarnation().number(),
          machine.commandChannel().fencingToken(),
          sentDirectly ? BY_COMMAND : BY_HEARTBEAT,
          context.nowMs() - machine.incarnation().lastHeartbeatMs(),
          context.nowMs() - machine.incarnation().leaseStartMs(),
          commands);
    }
  }

  /** Logs and resets the counters once a minute; logs nothing if no event was counted. */
  void logSummaryIfDue() {
    if (context.nowMs() < nextSummaryMs) {
      return;
    }
    nextSummaryMs = context.nowMs() + SUMMARY_INTERVAL_MS;
    if (startedByHeartbeat + startedByCommand + expiredLeases + keptByProxy + staleReads > 0) {
      LOG.info(
          "worker-leases startedByHeartbeat={} startedByCommand={} expired={} settledTasks={}"
              + " settledRunningTasks={} keptByProxy={} staleReads={} suppressedLines={}",
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
    if (context.nowMs() >= stepEndsMs) {
      stepEndsMs = context.nowMs() + context.stepMs();
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
