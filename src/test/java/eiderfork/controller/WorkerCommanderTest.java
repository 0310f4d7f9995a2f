package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.registry.AllocationRecordBuilder;
import eiderfork.controller.registry.FailedSearchCache;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.store.RequestPriority;
import eiderfork.model.Attempt;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.StoredRecord;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests each safety check between a leader and one worker in isolation. In the simulated histories
 * of other tests, another check often hides the failure of one.
 */
class WorkerCommanderTest extends LeaderAndWorkerFixture {
  WorkerCommanderTest() {
    super(3);
  }

  @Test
  void startIsSentOnlyAfterItsReservationIsCommitted() {
    Reservation task = jobs.propose(job, 0, 1, machine);
    jobs.write(job, RequestPriority.START);
    long callId = drainEffects(Effect.CallStore.class).get(0).callId();
    assertEquals(List.of(), sendHeartbeat(INCARNATION, 2, firstToken));
    context.completeCall(callId, new Reply.Committed(5));
    assertEquals(
        List.of(new WorkerCommand.Run(task.toAttempt())),
        sendHeartbeat(INCARNATION, 3, firstToken));
  }

  /** Sends a heartbeat and returns the fencing token of the response. */
  private long tokenInResponseTo(long sequenceNumber, long fencingToken) {
    context.drainEffects();
    commander.handleHeartbeat(1, heartbeat(INCARNATION, sequenceNumber, fencingToken));
    return drainEffects(Effect.RespondToWorker.class).get(0).fencingToken();
  }

  /** A worker whose token a lease proxy has raised drops responses with a lower one. */
  @Test
  void tokenRaisedByALeaseProxyIsAdopted() {
    assertEquals(firstToken + 40, tokenInResponseTo(2, firstToken + 40));
    assertEquals(firstToken + 40, tokenInResponseTo(3, firstToken));
    assertEquals(firstToken + 80, tokenInResponseTo(1, firstToken + 80), "an old heartbeat");
  }

  /** The worker rejects a direct start, since a lease proxy has raised its token meanwhile. */
  @Test
  void rejectedStartIsSentAgainWithTheAdoptedToken() {
    Reservation task = reserveTask();
    machine.requestCommand();
    commander.tick();
    Effect.SendCommands rejected = drainEffects(Effect.SendCommands.class).get(0);
    assertEquals(List.of(new WorkerCommand.Run(task.toAttempt())), rejected.commands());
    context.completeCall(
        rejected.callId(),
        new Reply.WorkerReply(false, heartbeat(INCARNATION, 2, firstToken + 16)));
    commander.tick();
    Effect.SendCommands repeated = drainEffects(Effect.SendCommands.class).get(0);
    assertEquals(rejected.commands(), repeated.commands());
    assertEquals(firstToken + 16, repeated.fencingToken());
    assertTrue(task.isCommitted(), "settled although the task may start");
  }

  /** A lease proxy raises the reported token by 16; a start with a higher one would stay valid. */
  @Test
  void noStartIsSentUnderATokenThatALeaseProxyWouldNotExceed() {
    Reservation task = reserveTask();
    machine.commandChannel().raiseTokenTo(firstToken + 16);
    assertEquals(List.of(), sendHeartbeat(INCARNATION, 2, firstToken));
    assertEquals(
        List.of(new WorkerCommand.Run(task.toAttempt())),
        sendHeartbeat(INCARNATION, 3, firstToken + 1));
  }

  /** Most heartbeats report the same tasks as the previous one; memory holds the list only once. */
  @Test
  void unchangedTasksOnlyRenewTheLease() {
    Reservation task = startTask();
    ImmutableList<TaskStatus> tasks = machine.lastHeartbeat().tasks();
    context.advanceBy(3000);
    assertEquals(List.of(), sendHeartbeat(INCARNATION, 4, firstToken, runningStatus(task)));
    assertSame(tasks, machine.lastHeartbeat().tasks());
    assertEquals(4, machine.lastHeartbeat().sequenceNumber());
    assertEquals(context.nowMs(), machine.incarnation().lastHeartbeatMs());
    assertEquals(context.nowMs(), machine.incarnation().leaseStartMs());
  }

  @Test
  void unchangedTasksAreReconciledOnceReservationsChange() {
    Reservation task = startTask();
    sendHeartbeat(INCARNATION, 4, firstToken, runningStatus(task));
    assertTrue(machine.isReconciled());
    Reservation second = jobs.propose(job, 1, 2, machine);
    jobs.write(job, RequestPriority.START);
    replyToStoreCall(new Reply.Committed(6));
    assertEquals(
        List.of(new WorkerCommand.Run(second.toAttempt())),
        sendHeartbeat(INCARNATION, 5, firstToken, runningStatus(task)));
    sendHeartbeat(INCARNATION, 6, firstToken, runningStatus(task), runningStatus(second));
    assertTrue(machine.isReconciled());
    jobs.markCancelled(job.spec().uid());
    assertEquals(
        List.of(
            new WorkerCommand.Kill(task.toAttempt(), 0),
            new WorkerCommand.Kill(second.toAttempt(), 0)),
        sendHeartbeat(INCARNATION, 7, firstToken, runningStatus(task), runningStatus(second)));
  }

  @Test
  void unchangedTasksAreStoppedOnceTheyAreSettledOrMigrated() {
    Reservation task = startTask();
    sendHeartbeat(INCARNATION, 4, firstToken, runningStatus(task));
    task.requestStop();
    machine.requestCommand();
    assertEquals(
        List.of(new WorkerCommand.Kill(task.toAttempt(), 0)),
        sendHeartbeat(INCARNATION, 5, firstToken, runningStatus(task)));
    task.revokeStop();
    sendHeartbeat(INCARNATION, 6, firstToken, runningStatus(task));
    assertTrue(machine.isReconciled());
    fleet.settleReservations(machine);
    assertEquals(
        List.of(new WorkerCommand.Kill(task.toAttempt(), 0)),
        sendHeartbeat(INCARNATION, 7, firstToken, runningStatus(task)));
  }

  /** A start that was lost is sent again, though the heartbeat is unchanged. */
  @Test
  void unchangedTasksAreReconciledWhileAReservedOneIsMissing() {
    Reservation task = startTask();
    Reservation second = jobs.propose(job, 1, 2, machine);
    jobs.write(job, RequestPriority.START);
    replyToStoreCall(new Reply.Committed(6));
    List<WorkerCommand> start = List.of(new WorkerCommand.Run(second.toAttempt()));
    assertEquals(start, sendHeartbeat(INCARNATION, 5, firstToken, runningStatus(task)));
    assertEquals(start, sendHeartbeat(INCARNATION, 6, firstToken, runningStatus(task)));
  }

  /** Until a new leader has loaded the jobs, only heartbeats show where a cancelled job runs. */
  @Test
  void cancellationBeforeRecoveryReachesMachinesThatReportTheJob() {
    Reservation task = startTask();
    commander.onElected();
    sendHeartbeat(INCARNATION, 4, firstToken, runningStatus(task));
    machine.commandChannel().clearCommandDue();
    commander.onJobCancelled("run-of-another-job");
    assertFalse(machine.commandChannel().isCommandDue());
    commander.onJobCancelled(job.spec().uid());
    assertTrue(machine.commandChannel().isCommandDue());
  }

  /** Searches skipped the machine while it sent no heartbeat, though it had free capacity. */
  @Test
  void skippedMachineInvalidatesFailedSearchesOnceItIsSchedulable() {
    Job waitingJob = TestFixtures.job(2, JobKind.SERVICE, 1, 1);
    FailedSearchCache failedSearches = fleet.indexes().capacityIndex().failedSearches();
    failedSearches.recordFailure(waitingJob, "a");
    sendHeartbeat(INCARNATION, 2, firstToken);
    assertTrue(
        failedSearches.isRuledOut(waitingJob, "a"),
        "ruling invalidated although no search skipped the machine");
    machine.onSkippedBySearch();
    sendHeartbeat(INCARNATION, 3, firstToken);
    assertFalse(failedSearches.isRuledOut(waitingJob, "a"));
    assertFalse(machine.isSkippedBySearch());
  }

  /** Leases that may have expired are searched from the front of this list. */
  @Test
  void machinesAreOrderedByLeaseStart() {
    MachineState other = fleet.getOrRegister(new Machine("n-2", "n-2:1", "g4", "a", false));
    fleet.renewLease(machine);
    context.advanceBy(1000);
    fleet.renewLease(other);
    context.advanceBy(20_000);
    fleet.renewLease(machine);
    context.advanceBy(5000);
    assertEquals(List.of(other), fleet.machinesWithLeaseOlderThan(10_000));
    assertEquals(List.of(machine, other), fleet.machinesWithLeaseOlderThan(1000));
  }

  /**
   * The search for expired leases ends at the first machine whose lease was renewed recently. A
   * machine that begins an incarnation must therefore go to the end of the list; at the front it
   * would hide the expired leases of the others.
   */
  @Test
  void machineThatBeginsAnIncarnationIsLastInLeaseOrder() {
    MachineState other = fleet.getOrRegister(new Machine("n-2", "n-2:1", "g4", "a", false));
    fleet.renewLease(machine);
    context.advanceBy(1000);
    fleet.renewLease(other);
    context.advanceBy(20_000);
    fleet.recordHeartbeat(machine, heartbeat(INCARNATION + 1, 1, firstToken));
    assertEquals(List.of(other), fleet.machinesWithLeaseOlderThan(10_000));
  }

  /** A search skipped the machine as its lease might have expired; the response makes it usable. */
  @Test
  void skippedMachineWithExpiredLeaseInvalidatesFailedSearchesOnceItsLeaseIsRenewed() {
    context.advanceBy(context.workerLeaseMs() + context.stepMs());
    assertFalse(liveness.isSchedulable(machine));
    machine.onSkippedBySearch();
    sendHeartbeat(INCARNATION, 2, firstToken);
    assertTrue(liveness.isSchedulable(machine));
    assertFalse(machine.isSkippedBySearch());
  }

  /** Tasks of another incarnation are other executions, even if the reported tasks are equal. */
  @Test
  void unchangedTasksOfALaterIncarnationAreReconciled() {
    Reservation task = startTask();
    sendHeartbeat(INCARNATION, 4, firstToken, runningStatus(task));
    sendHeartbeat(INCARNATION + 1, 1, firstToken);
    assertNull(job.reservations().get(0));
  }

  @Test
  void olderHeartbeatThatArrivesLaterIsIgnored() {
    Reservation task = startTask();
    sendHeartbeat(INCARNATION, 2, firstToken + 100);
    assertEquals(
        task, job.reservations().get(0), "settled by a heartbeat with an older sequence number");
    sendHeartbeat(INCARNATION + 1, 1, firstToken, runningStatus(task));
    sendHeartbeat(INCARNATION, 9, firstToken + 100);
    assertEquals(task, job.reservations().get(0), "settled by a heartbeat of an older incarnation");
  }

  @Test
  void missingTaskIsSettledOnlyOnceItsStartIsOutdated() {
    Reservation task = startTask();
    sendHeartbeat(INCARNATION, 4, firstToken);
    assertEquals(task, job.reservations().get(0), "settled while the start may still be in flight");
    assertTrue(
        machine.commandChannel().fencingToken() > task.startToken(),
        "no higher token was issued to outdate the start");
    sendHeartbeat(INCARNATION, 5, machine.commandChannel().fencingToken());
    assertNull(job.reservations().get(0));
  }

  @Test
  void missingTaskOfALaterIncarnationIsSettled() {
    startTask();
    sendHeartbeat(INCARNATION + 1, 1, firstToken);
    assertNull(job.reservations().get(0));
  }

  /** A leader elected before that write would start the task again. */
  @Test
  void endedTaskCountsForTheQuotaUntilItsEndIsWritten() {
    Reservation task = startTask();
    sendHeartbeat(INCARNATION, 4, firstToken, doneStatus(task));
    assertNull(job.reservations().get(0));
    assertEquals(1, job.quotaTaskCount());
    jobs.write(job, RequestPriority.BATCH);
    assertEquals(1, job.quotaTaskCount());
    replyToStoreCall(new Reply.Committed(6));
    assertEquals(0, job.quotaTaskCount());
  }

  /** Once the worker has cleared the task, a delayed duplicate of its start would run it again. */
  @Test
  void endedTaskIsClearedOnlyAfterItsEndIsWritten() {
    Reservation task = startTask();
    Attempt attempt = task.toAttempt();
    assertEquals(List.of(), sendHeartbeat(INCARNATION, 4, firstToken, doneStatus(task)));
    jobs.write(job, RequestPriority.BATCH);
    long callId = drainEffects(Effect.CallStore.class).get(0).callId();
    assertEquals(List.of(), sendHeartbeat(INCARNATION, 5, firstToken, doneStatus(task)));
    context.completeCall(callId, new Reply.Committed(6));
    assertEquals(
        List.of(new WorkerCommand.Clear(attempt)),
        sendHeartbeat(INCARNATION, 6, firstToken, doneStatus(task)));
  }

  /**
   * An earlier leader stopped one task of a gang. If the others are not stopped soon, the new
   * checkpoint fails and all tasks fall back to the previous one.
   */
  @Test
  void checkpointBegunByAnEarlierLeaderIsContinued() {
    job = jobs.add(TestFixtures.gang(2, 2, 1, 30, true), 2);
    Reservation stopped = jobs.propose(job, 0, 1, machine);
    Reservation other = jobs.propose(job, 1, 1, machine);
    jobs.write(job, RequestPriority.START);
    replyToStoreCall(new Reply.Committed(5));
    sendHeartbeat(INCARNATION, 2, firstToken);
    TaskStatus checkpointingStatus =
        new TaskStatus(stopped.toAttempt(), TaskStatus.State.CHECKPOINTING, null, false);
    double graceS = job.spec().saveDurationS();
    assertEquals(
        List.of(
            new WorkerCommand.Kill(stopped.toAttempt(), graceS),
            new WorkerCommand.Kill(other.toAttempt(), graceS)),
        sendHeartbeat(INCARNATION, 3, firstToken, checkpointingStatus, runningStatus(other)));
  }

  /** The write was sent twice; the first copy was applied before the size limit was lowered. */
  @Test
  void rejectedRetryOfAWriteIsReadBackAsItMayHaveBeenApplied() {
    Reservation task = jobs.propose(job, 0, 1, machine);
    StoredRecord.Allocation record = AllocationRecordBuilder.build(job);
    jobs.write(job, RequestPriority.START);
    replyToStoreCall(new Reply.Unanswered());
    context.advanceBy(1000);
    jobs.tick();
    store.sendQueued();
    replyToStoreCall(new Reply.Refused(400));
    replyToStoreCall(new Reply.Value(record, 5));
    assertTrue(task.isCommitted());
    assertEquals(5, job.writes().version());
  }

  /** Status 400 is final: the task becomes pending again. */
  @Test
  void writeRejectedAsTooLargeIsNotRetried() {
    jobs.propose(job, 0, 1, machine);
    jobs.write(job, RequestPriority.START);
    replyToStoreCall(new Reply.Refused(400));
    replyToStoreCall(new Reply.Value(null, 0));
    assertTrue(job.reservations().isEmpty());
    assertTrue(job.tasks().isPending(0));
    assertFalse(job.writes().isInFlight());
    assertFalse(job.canWrite(context.nowMs()), "the job may be written again without a delay");
    jobs.tick();
    assertTrue(drainEffects(Effect.CallStore.class).isEmpty());
  }

  @Test
  void tokenOfALaterTermEndsLeadership() {
    sendHeartbeat(INCARNATION, 2, election.firstFencingTokenOfNextTerm());
    assertFalse(election.isLeading());
  }

  @Test
  void unansweredCommandIsOutdatedByAHigherToken() {
    Reservation task = reserveTask();
    machine.requestCommand();
    commander.tick();
    Effect.SendCommands sent = drainEffects(Effect.SendCommands.class).get(0);
    assertEquals(ImmutableList.of(new WorkerCommand.Run(task.toAttempt())), sent.commands());
    context.completeCall(sent.callId(), new Reply.Unanswered());
    assertTrue(machine.commandChannel().fencingToken() > sent.fencingToken());
  }

  /**
   * Without one of these conditions a leader could write after it was deposed, over a newer version
   * or after a cancellation.
   */
  @Test
  void reservationIsWrittenOnlyIfLeaderVersionAndCancellationAreUnchanged() {
    reserveTask();
    jobs.propose(job, 1, 2, machine);
    jobs.write(job, RequestPriority.START);
    StoreRequest.Transaction write =
        (StoreRequest.Transaction) drainEffects(Effect.CallStore.class).get(0).request();
    String uid = job.spec().uid();
    assertEquals(
        ImmutableList.of(
            election.leaderCondition(),
            new StoreRequest.Condition(StoreKeys.allocation(uid), 5),
            new StoreRequest.Condition(StoreKeys.cancellation(uid), 0)),
        write.conditions());
    assertEquals(new StoreRequest.Condition(StoreKeys.LEADER, 1), election.leaderCondition());
  }
}
