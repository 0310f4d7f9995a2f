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
 * A task ran in two places. Its worker had been cut off for a lease, had lost its tasks and begun a
 * new incarnation, of which the leader knew by the reply to a direct command alone. The leader
 * started the task anew there, but counted the lease from its last answer to a heartbeat of the
 * incarnation before; when that was over it took the running task for lost and started it on
 * another machine.
 *
 * <p>In the records the first machine was not heard from second 57 to 65 and 69 to 74, its task was
 * written anew at 69.10 (revision 589), no lease proxy had a record (0 items up to 71.83), and the
 * second start was carried out at 76.45: a lease of 10 s and its margin after the machine was heard
 * at 65, while an incarnation that began at 66 or later still had its lease.
 */
class IncarnationLeaseExpiryTest extends LeaderAndWorkerFixture {
  private static final long NEXT_INCARNATION = INCARNATION + 1;
  private static final long TICK_MS = 50;

  /** How long reads of the lease proxies' records take. */
  private static final long READ_MS = 100;

  /** How long after its end a lease has surely been judged: margin, pause and time of a read. */
  private static final long JUDGED_MS = 1200;

  /** The longest time between two direct commands that the leader hears the machine by. */
  private static final long COMMAND_MS = 2000;

  private long sequenceNumber = 100;

  IncarnationLeaseExpiryTest() {
    super(5);
  }

  /** Time passes by ticks; reads of the lease proxies' records find none. */
  private void elapse(long ms) {
    long endMs = context.nowMs() + ms;
    long readMs = Long.MAX_VALUE;
    while (context.nowMs() < endMs) {
      advanceBy(Math.min(TICK_MS, endMs - context.nowMs()));
      commander.tick();
      if (proxyReads.isEmpty()) {
        readMs = Long.MAX_VALUE;
      } else if (readMs == Long.MAX_VALUE) {
        readMs = context.nowMs() + READ_MS;
      } else if (context.nowMs() >= readMs) {
        proxyReads.remove().accept(Set.of());
      }
    }
  }

  /** The leader finds that the lease has expired and reads the lease proxies' records. */
  private Consumer<Set<String>> beginToExpire() {
    elapse(context.workerLeaseMs());
    while (!leaseExpiry.hasExpired(machine) || proxyReads.isEmpty()) {
      proxyReads.clear();
      leaseExpiry.onElected();
      advanceBy(TICK_MS);
      commander.tick();
    }
    return proxyReads.remove();
  }

  /** Answers the one direct command that is in flight with what the worker then reports. */
  private Effect.SendCommands answerDirectly(
      boolean executed, long incarnation, TaskStatus... tasks) {
    List<Effect.SendCommands> sent = drainEffects(Effect.SendCommands.class);
    assertEquals(1, sent.size());
    Effect.SendCommands it = sent.get(0);
    context.completeCall(
        it.callId(),
        new Reply.WorkerReply(
            executed, heartbeat(incarnation, ++sequenceNumber, it.fencingToken(), tasks)));
    return it;
  }

  /** A direct command that only raises the token, and its answer. */
  private void commandDirectly(boolean executed, long incarnation, TaskStatus... tasks) {
    machine.commandChannel().raiseTokenAbove(0);
    machine.requestCommand();
    commander.tick();
    answerDirectly(executed, incarnation, tasks);
  }

  /** Time passes while the leader hears the machine by the answers to direct commands alone. */
  private void elapseUnderCommands(long ms, Reservation task) {
    long endMs = context.nowMs() + ms;
    while (context.nowMs() + COMMAND_MS < endMs) {
      elapse(COMMAND_MS);
      commandDirectly(true, INCARNATION, runningStatus(task));
    }
    elapse(endMs - context.nowMs());
  }

  /** Reserves the task anew and starts it by a direct command in the next incarnation. */
  private Reservation startInNextIncarnation() {
    Reservation task = reserveTask();
    machine.requestCommand();
    commander.tick();
    Effect.SendCommands sent = answerDirectly(true, NEXT_INCARNATION, runningStatus(task));
    assertEquals(ImmutableList.of(new WorkerCommand.Run(task.toAttempt())), sent.commands());
    assertEquals(NEXT_INCARNATION, sent.incarnation());
    assertEquals(TaskStatus.State.RUNNING, task.reportedState());
    return task;
  }

  /**
   * The last answer lies so many milliseconds before the lease is over in the worker's eyes: a
   * heartbeat that had been held back is answered when its worker has long given it up.
   */
  @ParameterizedTest
  @ValueSource(ints = {10_000, 9900, 9500, 9000, 6000, 3000, 1000, 500, 100})
  void taskOfANewIncarnationOutlivesThePreviousLease(int answeredBeforeMs) {
    Reservation first = startTask();
    elapseUnderCommands(context.workerLeaseMs() - answeredBeforeMs, first);
    sendHeartbeat(
        INCARNATION,
        ++sequenceNumber,
        machine.commandChannel().fencingToken(),
        runningStatus(first));
    elapseUnderCommands(answeredBeforeMs + TICK_MS, first);
    commandDirectly(false, NEXT_INCARNATION);
    assertNull(job.reservations().get(0), "the previous incarnation is over");
    assertEquals(1, leaseLog.startedByCommand());
    long seenMs = context.nowMs();
    Reservation task = startInNextIncarnation();

    elapse(seenMs + context.workerLeaseMs() - context.nowMs());
    assertSame(task, job.reservations().get(0), "the new incarnation's lease is not over");
    elapse(JUDGED_MS);
    assertNull(job.reservations().get(0), "the new incarnation's lease is surely over");
  }

  /** A read from before a lease expired does not show who has renewed it since. */
  @Test
  void readFromBeforeANewIncarnationSettlesNothingOfIt() {
    startTask();
    Consumer<Set<String>> read = beginToExpire();
    sendHeartbeat(INCARNATION, ++sequenceNumber, machine.commandChannel().fencingToken());
    advanceBy(TICK_MS);
    commandDirectly(false, NEXT_INCARNATION);
    Reservation task = startInNextIncarnation();
    context.advanceBy(context.workerLeaseMs() + JUDGED_MS);
    read.accept(Set.of());
    assertSame(task, job.reservations().get(0));
    assertEquals(1, leaseLog.staleReads());
  }

  /** The same where a heartbeat of the incarnation that was taken for expired is answered. */
  @Test
  void readFromBeforeTheLastAcknowledgementSettlesNothing() {
    Reservation task = startTask();
    Consumer<Set<String>> read = beginToExpire();
    sendHeartbeat(
        INCARNATION,
        ++sequenceNumber,
        machine.commandChannel().fencingToken(),
        runningStatus(task));
    context.advanceBy(context.workerLeaseMs() + JUDGED_MS);
    read.accept(Set.of());
    assertSame(task, job.reservations().get(0));
    assertEquals(1, leaseLog.staleReads());
  }

  /** What would start there is settled with the rest before it is seen to run. */
  @Test
  void nothingIsStartedWhereALeaseHasExpired() {
    Reservation task = startTask();
    elapseUnderCommands(context.workerLeaseMs() + context.stepMs(), task);
    assertTrue(liveness.hasRecentHeartbeat(machine));
    assertTrue(leaseExpiry.hasExpired(machine));
    assertFalse(liveness.isSchedulable(machine));
    sendHeartbeat(
        INCARNATION,
        ++sequenceNumber,
        machine.commandChannel().fencingToken(),
        runningStatus(task));
    assertTrue(liveness.isSchedulable(machine), "its lease is renewed");
  }

  @Test
  void reservationsAreSettledOnceTheLeaseHasSurelyExpired() {
    Reservation task = startTask();
    elapse(context.workerLeaseMs());
    assertSame(task, job.reservations().get(0));
    elapse(JUDGED_MS);
    assertNull(job.reservations().get(0));
  }

  /** The clocks may drift, and half a step is kept to spare. */
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

  /** A partition that ends thousands of incarnations at once does not flood the log. */
  @Test
  void linesPerStepAreLimitedAndTheRestIsCounted() {
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
