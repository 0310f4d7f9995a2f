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
 * Logs workers' incarnations and leases: what was known of them when tasks were settled or started.
 * Since a partition can end thousands of leases at once, the lines of a step are limited and the
 * rest is counted.
 */
public final class WorkerLeaseLog {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerLeaseLog.class);

  /** The most lines that are written in a step. */
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

  /** Makes a log with all counts at 0. */
  public WorkerLeaseLog(ControllerContext context) {
    this.context = context;
  }

  /** Sets all counts to 0, as a term begins. */
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

  /** How many incarnations were first seen in a command reply since the last summary. */
  public long startedByCommand() {
    return startedByCommand;
  }

  /** How many expired leases were renewed after the proxy records were requested. */
  public long staleReads() {
    return staleReads;
  }

  /** How many lines were suppressed since the last summary. */
  public long suppressedLines() {
    return suppressedLines;
  }

  /**
   * A worker shows another incarnation than before.
   *
   * @param previousLeaseStartMs the latest time from which the previous lease may have run
   * @param byCommand whether the reply to a direct command shows it
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
   * A lease has surely expired, and the reservations on the machine are settled.
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
          "lease-expired machine={} incarnation={} sinceAckMs={} sinceHeartbeatMs={} proxyReadMs={}"
              + " settledTasks={} runningTasks={}",
          machine.name(),
          machine.incarnation().number(),
          context.nowMs() - machine.incarnation().leaseStartMs(),
          context.nowMs() - machine.incarnation().lastHeartbeatMs(),
          readMs,
          machine.reservations().size(),
          running);
    }
  }

  /** An expired lease is kept, since a lease proxy may have renewed it. */
  void keptByProxy() {
    keptByProxy++;
  }

  /** An expired lease is kept, since it was renewed or replaced after the read was sent. */
  void staleRead() {
    staleReads++;
  }

  /** Commands are sent to a worker, in response to its heartbeat or directly. */
  void commandsSent(MachineState machine, List<WorkerCommand> commands, boolean sentDirectly) {
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

  /** Logs the counts since the last summary once a minute, where anything happened. */
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
