package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a fault by which a task ran on two machines. Its worker had been cut off for a
 * lease, had lost its tasks and begun a new incarnation, which the leader knew only from the reply
 * to a direct command. The leader restarted the task there, but counted the lease from its last
 * response to a heartbeat of the previous incarnation. When that lease expired, the leader took the
 * running task for lost and started it on another machine.
 *
 * <p>In the incident, no heartbeat of the first machine arrived from second 57 to 65 and from 69 to
 * 74. Its task was reserved again at 69.10 (revision 589), and no lease proxy had a record (0 items
 * up to 71.83). The second start was executed at 76.45: a lease of 10 s and its margin after the
 * heartbeat at 65, while an incarnation that began at 66 or later still had its lease.
 */
class IncarnationLeaseExpiryTest extends LeaderAndWorkerFixture {
  private static final long NEXT_INCARNATION = INCARNATION + 1;
  private static final long TICK_MS = 50;

  /** The duration of a read of the lease proxies' records. */
  private static final long READ_DURATION_MS = 100;

  /**
   * The time after the end of a lease by which the leader has settled its reservations: margin,
   * pause and duration of a read.
   */
  private static final long SETTLED_AFTER_MS = 1200;

  /** The longest time between two direct commands whose replies show that the worker is alive. */
  private static final long COMMAND_INTERVAL_MS = 2000;

  private long sequenceNumber = 100;

  IncarnationLeaseExpiryTest() {
    super(5);
  }

  /** Advances the time tick by tick; reads of the lease proxies' records find none. */
  private void elapse(long ms) {
    long endMs = context.nowMs() + ms;
    long readEndMs = Long.MAX_VALUE;
    while (context.nowMs() < endMs) {
      advanceBy(Math.min(TICK_MS, endMs - context.nowMs()));
      commander.tick();
      if (proxyReads.isEmpty()) {
        readEndMs = Long.MAX_VALUE;
      } else if (readEndMs == Long.MAX_VALUE) {
        readEndMs = context.nowMs() + READ_DURATION_MS;
      } else if (context.nowMs() >= readEndMs) {
        proxyReads.remove().accept(Set.of());
      }
    }
  }

  /**
   * Advances the time until the lease has expired and the leader reads the lease proxies' records;
   * returns the callback of this read.
   */
  private Consumer<Set<String>> expireAndReadProxies() {
    elapse(context.workerLeaseMs());
    while (!leaseExpiry.hasExpired(machine) || proxyReads.isEmpty()) {
      proxyReads.clear();
      leaseExpiry.onElected();
      advanceBy(TICK_MS);
      commander.tick();
    }
    return proxyReads.remove();
  }

  /** Replies to the only direct command in flight with a heartbeat that reports these tasks. */
  private Effect.SendCommands replyToCommand(
      boolean executed, long incarnation, TaskStatus... tasks) {
    List<Effect.SendCommands> sent = drainEffects(Effect.SendCommands.class);
    assertEquals(1, sent.size());
    Effect.SendCommands command = sent.get(0);
    context.completeCall(
        command.callId(),
        new Reply.WorkerReply(
            executed, heartbeat(incarnation, ++sequenceNumber, command.fencingToken(), tasks)));
    return command;
  }

  /** Sends a direct command that only raises the fencing token, and replies to it. */
  private void sendCommandAndReply(boolean executed, long incarnation, TaskStatus... tasks) {
    machine.commandChannel().raiseTokenAbove(0);
    machine.requestCommand();
    commander.tick();
    replyToCommand(executed, incarnation, tasks);
  }

  /** Advances the time while the worker only replies to direct commands and sends no heartbeat. */
  private void elapseWithCommandReplies(long ms, Reservation task) {
    long endMs = context.nowMs() + ms;
    while (context.nowMs() + COMMAND_INTERVAL_MS < endMs) {
      elapse(COMMAND_INTERVAL_MS);
      sendCommandAndReply(true, INCARNATION, runningStatus(task));
    }
    elapse(endMs - context.nowMs());
  }

  /** Reserves the task again and starts it by a direct command in the next incarnation. */
  private Reservation startInNextIncarnation() {
    Reservation task = reserveTask();
    machine.requestCommand();
    commander.tick();
    Effect.SendCommands sent = replyToCommand(true, NEXT_INCARNATION, runningStatus(task));
    assertEquals(ImmutableList.of(new WorkerCommand.Run(task.toAttempt())), sent.commands());
    assertEquals(NEXT_INCARNATION, sent.incarnation());
    assertEquals(TaskStatus.State.RUNNING, task.reportedState());
    return task;
  }

  /**
   * The leader responds to the last heartbeat {@code responseBeforeExpiryMs} before the lease
   * expires for the worker. That heartbeat had been delayed, and its worker had long stopped
   * waiting for the response.
   */
  @ParameterizedTest
  @ValueSource(ints = {10_000, 9900, 9500, 9000, 6000, 3000, 1000, 500, 100})
  void taskOfANewIncarnationOutlivesThePreviousLease(int responseBeforeExpiryMs) {
    Reservation first = startTask();
    elapseWithCommandReplies(context.workerLeaseMs() - responseBeforeExpiryMs, first);
    sendHeartbeat(
        INCARNATION,
        ++sequenceNumber,
        machine.commandChannel().fencingToken(),
        runningStatus(first));
    elapseWithCommandReplies(responseBeforeExpiryMs + TICK_MS, first);
    sendCommandAndReply(false, NEXT_INCARNATION);
    assertNull(
        job.reservations().get(0), "the reservation of the previous incarnation was not settled");
    assertEquals(1, leaseLog.startedByCommand());
    long discoveredMs = context.nowMs();
    Reservation task = startInNextIncarnation();

    elapse(discoveredMs + context.workerLeaseMs() - context.nowMs());
    assertSame(
        task, job.reservations().get(0), "settled before the new incarnation's lease expired");
    elapse(SETTLED_AFTER_MS);
    assertNull(job.reservations().get(0), "not settled after the new incarnation's lease expired");
  }

  /** A read requested before a lease expired does not show who has renewed the lease since. */
  @Test
  void readRequestedBeforeANewIncarnationSettlesNoneOfItsTasks() {
    startTask();
    Consumer<Set<String>> read = expireAndReadProxies();
    sendHeartbeat(INCARNATION, ++sequenceNumber, machine.commandChannel().fencingToken());
    advanceBy(TICK_MS);
    sendCommandAndReply(false, NEXT_INCARNATION);
    Reservation task = startInNextIncarnation();
    context.advanceBy(context.workerLeaseMs() + SETTLED_AFTER_MS);
    read.accept(Set.of());
    assertSame(task, job.reservations().get(0));
    assertEquals(1, leaseLog.staleReads());
  }

  /**
   * Such a read is also outdated once the leader responds to a heartbeat of the same incarnation.
   */
  @Test
  void readRequestedBeforeTheLastHeartbeatResponseSettlesNothing() {
    Reservation task = startTask();
    Consumer<Set<String>> read = expireAndReadProxies();
    sendHeartbeat(
        INCARNATION,
        ++sequenceNumber,
        machine.commandChannel().fencingToken(),
        runningStatus(task));
    context.advanceBy(context.workerLeaseMs() + SETTLED_AFTER_MS);
    read.accept(Set.of());
    assertSame(task, job.reservations().get(0));
    assertEquals(1, leaseLog.staleReads());
  }

  /** A task started there would be settled with the others before a heartbeat shows it running. */
  @Test
  void machineWithAnExpiredLeaseIsNotSchedulable() {
    Reservation task = startTask();
    elapseWithCommandReplies(context.workerLeaseMs() + context.stepMs(), task);
    assertTrue(liveness.hasRecentHeartbeat(machine));
    assertTrue(leaseExpiry.hasExpired(machine));
    assertFalse(liveness.isSchedulable(machine));
    sendHeartbeat(
        INCARNATION,
        ++sequenceNumber,
        machine.commandChannel().fencingToken(),
        runningStatus(task));
    assertTrue(liveness.isSchedulable(machine), "not schedulable after its lease was renewed");
  }

  @Test
  void reservationsAreSettledAfterTheLeaseAndItsMargin() {
    Reservation task = startTask();
    elapse(context.workerLeaseMs());
    assertSame(task, job.reservations().get(0));
    elapse(SETTLED_AFTER_MS);
    assertNull(job.reservations().get(0));
  }

  /**
   * The expiry allows for clock drift between leader and worker, and for a margin of half a step.
   */
  @Test
  void leaseExpiresAfterClockDriftAndMargin() {
    long expiryMs =
        context.nowMs()
            + ControllerContext.withClockDrift(context.workerLeaseMs())
            + context.stepMs() / 2;
    context.advanceTo(expiryMs);
    assertFalse(leaseExpiry.hasExpired(machine));
    context.advanceTo(expiryMs + 1);
    assertTrue(leaseExpiry.hasExpired(machine));
  }

  /** A partition that ends thousands of incarnations at once must not flood the log. */
  @Test
  void logLinesPerStepAreLimitedAndTheRestIsCounted() {
    for (int i = 0; i < 100; i++) {
      leaseLog.recordIncarnationStart(machine, INCARNATION, context.nowMs(), true);
    }
    assertEquals(100, leaseLog.startedByCommand());
    assertEquals(80, leaseLog.suppressedLines());
    context.advanceBy(context.stepMs());
    leaseLog.recordIncarnationStart(machine, INCARNATION, context.nowMs(), true);
    assertEquals(80, leaseLog.suppressedLines());
  }
}
