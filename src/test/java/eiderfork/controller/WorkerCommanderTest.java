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
import eiderfork.controller.store.RequestPriority;
import eiderfork.model.Attempt;
import eiderfork.model.Command;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.StoredRecord;
import eiderfork.model.TaskStatus;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * The guards between a leader and one worker, each looked at alone: in the histories of other tests
 * another guard often stands behind the one that fails.
 */
class WorkerCommanderTest extends LeaderAndWorkerFixture {
  WorkerCommanderTest() {
    super(3);
  }

  @Test
  void aStartIsSentOnlyAfterItsReservationIsCommitted() {
    Reservation task = jobs.propose(job, 0, 1, machine);
    jobs.write(job, RequestPriority.START);
    long call = effects(Effect.AskState.class).get(0).call();
    assertEquals(List.of(), report(SESSION, 2, firstToken));
    context.answered(call, new Reply.Committed(5));
    assertEquals(List.of(new Command.Run(task.id())), report(SESSION, 3, firstToken));
  }

  /** Most reports say what the one before said; memory holds their tasks once. */
  @Test
  void theSameTasksOnceMoreAreOnlyASignOfLife() {
    Reservation task = started();
    ImmutableList<TaskStatus> tasks = machine.report().tasks();
    context.nowMs += 3000;
    assertEquals(List.of(), report(SESSION, 4, firstToken, running(task)));
    assertSame(tasks, machine.report().tasks());
    assertEquals(4, machine.report().seq());
    assertEquals(context.nowMs, machine.session.heardMs());
    assertEquals(context.nowMs, machine.session.leaseFromMs());
  }

  @Test
  void theSameTasksAreLookedAtAgainOnceSomethingElseIsWanted() {
    Reservation task = started();
    report(SESSION, 4, firstToken, running(task));
    assertTrue(machine.agrees);
    Reservation second = jobs.propose(job, 1, 2, machine);
    jobs.write(job, RequestPriority.START);
    answer(new Reply.Committed(6));
    assertEquals(
        List.of(new Command.Run(second.id())), report(SESSION, 5, firstToken, running(task)));
    report(SESSION, 6, firstToken, running(task), running(second));
    assertTrue(machine.agrees);
    jobs.markAborted(job.job.uid());
    assertEquals(
        List.of(new Command.Kill(task.id(), 0), new Command.Kill(second.id(), 0)),
        report(SESSION, 7, firstToken, running(task), running(second)));
  }

  @Test
  void theSameTasksAreStoppedOnceTheyAreSettledOrToBeMoved() {
    Reservation task = started();
    report(SESSION, 4, firstToken, running(task));
    task.stop();
    machine.setUrgent();
    assertEquals(
        List.of(new Command.Kill(task.id(), 0)), report(SESSION, 5, firstToken, running(task)));
    task.goOn();
    report(SESSION, 6, firstToken, running(task));
    assertTrue(machine.agrees);
    fleet.settleAll(machine);
    assertEquals(
        List.of(new Command.Kill(task.id(), 0)), report(SESSION, 7, firstToken, running(task)));
  }

  /** A start that was lost is sent again, though the machine says the same as before. */
  @Test
  void theSameTasksAreLookedAtWhileOneThatIsReservedIsMissing() {
    Reservation task = started();
    Reservation second = jobs.propose(job, 1, 2, machine);
    jobs.write(job, RequestPriority.START);
    answer(new Reply.Committed(6));
    List<Command> start = List.of(new Command.Run(second.id()));
    assertEquals(start, report(SESSION, 5, firstToken, running(task)));
    assertEquals(start, report(SESSION, 6, firstToken, running(task)));
  }

  /** Before memory holds the jobs, only what machines show tells where a cancelled one runs. */
  @Test
  void aCancellationBeforeMemoryIsRebuiltReachesTheMachinesThatShowTheJob() {
    Reservation task = started();
    workers.elected();
    report(SESSION, 4, firstToken, running(task));
    machine.clearUrgent();
    workers.cancelled("run-of-another-job");
    assertFalse(machine.isUrgent());
    workers.cancelled(job.job.uid());
    assertTrue(machine.isUrgent());
  }

  /** Searches knew nothing of a machine that was silent, though it had room. */
  @Test
  void aMachineThatASearchPassedOverContradictsItOnceItIsUsable() {
    Job waits = TestFixtures.job(2, JobKind.SERVICE, 1, 1);
    FailedSearchCache proved = fleet.sets().roomIndex().failedSearches();
    proved.note(waits, "a");
    report(SESSION, 2, firstToken);
    assertTrue(proved.knows(waits, "a"), "nothing has changed");
    machine.passedOver = true;
    report(SESSION, 3, firstToken);
    assertFalse(proved.knows(waits, "a"));
    assertFalse(machine.passedOver);
  }

  /** Whose lease may have lapsed is looked for from the front of this order. */
  @Test
  void machinesStandInTheOrderOfTheirLeases() {
    MachineState other = fleet.known(new Machine("n-2", "n-2:1", "g4", "a", false));
    fleet.answered(machine);
    context.nowMs += 1000;
    fleet.answered(other);
    context.nowMs += 20_000;
    fleet.answered(machine);
    context.nowMs += 5000;
    assertEquals(List.of(other), fleet.notRenewedFor(10_000));
    assertEquals(List.of(machine, other), fleet.notRenewedFor(1000));
  }

  /**
   * The first of this order whose lease was renewed lately ends the search, so a machine that
   * begins a session goes behind all others; in front it would hide their lapses.
   */
  @Test
  void aMachineThatBeginsASessionStandsLast() {
    MachineState other = fleet.known(new Machine("n-2", "n-2:1", "g4", "a", false));
    fleet.answered(machine);
    context.nowMs += 1000;
    fleet.answered(other);
    context.nowMs += 20_000;
    fleet.reported(machine, reportOf(SESSION + 1, 1, firstToken));
    assertEquals(List.of(other), fleet.notRenewedFor(10_000));
  }

  /** It was passed over since its lease might have been over, and is usable with this answer. */
  @Test
  void aSearchThatPassedOverALapsedMachineIsContradictedWithTheAnswerThatRenewsIt() {
    context.nowMs += context.leaseMs() + context.stepMs();
    assertFalse(liveness.usable(machine));
    machine.passedOver = true;
    report(SESSION, 2, firstToken);
    assertTrue(liveness.usable(machine));
    assertFalse(machine.passedOver);
  }

  /** Tasks of another session are other runs, though they look alike. */
  @Test
  void theSameTasksInALaterSessionAreLookedAt() {
    Reservation task = started();
    report(SESSION, 4, firstToken, running(task));
    report(SESSION + 1, 1, firstToken);
    assertNull(job.placed.get(0));
  }

  @Test
  void anOlderReportThatComesLaterChangesNothing() {
    Reservation task = started();
    report(SESSION, 2, firstToken + 100);
    assertEquals(task, job.placed.get(0), "an older sequence number");
    report(SESSION + 1, 1, firstToken, running(task));
    report(SESSION, 9, firstToken + 100);
    assertEquals(task, job.placed.get(0), "an older session");
  }

  @Test
  void aTaskThatIsMissingIsBelievedGoneOnlyWhereItsStartCanNotFollow() {
    Reservation task = started();
    report(SESSION, 4, firstToken);
    assertEquals(task, job.placed.get(0), "the start may still be under way");
    assertTrue(machine.token > task.sentToken, "a higher token outdates the start");
    report(SESSION, 5, machine.token);
    assertNull(job.placed.get(0));
  }

  @Test
  void aTaskThatIsMissingInALaterSessionIsGone() {
    started();
    report(SESSION + 1, 1, firstToken);
    assertNull(job.placed.get(0));
  }

  /** A leader that takes over before the write would start the task again. */
  @Test
  void anEndCountsForTheQuotaUntilItIsWritten() {
    Reservation task = started();
    report(SESSION, 4, firstToken, done(task));
    assertNull(job.placed.get(0));
    assertEquals(1, job.counted());
    jobs.write(job, RequestPriority.BATCH);
    assertEquals(1, job.counted());
    answer(new Reply.Committed(6));
    assertEquals(0, job.counted());
  }

  /** Once cleared, a late copy of its start would run the task again. */
  @Test
  void anEndIsClearedOnlyAfterItIsWritten() {
    Reservation task = started();
    Attempt attempt = task.id();
    assertEquals(List.of(), report(SESSION, 4, firstToken, done(task)));
    jobs.write(job, RequestPriority.BATCH);
    long call = effects(Effect.AskState.class).get(0).call();
    assertEquals(List.of(), report(SESSION, 5, firstToken, done(task)));
    context.answered(call, new Reply.Committed(6));
    assertEquals(List.of(new Command.Clear(attempt)), report(SESSION, 6, firstToken, done(task)));
  }

  /**
   * The leader before told one task of a gang to save. If the others are not told soon, the save
   * fails and all fall back to their checkpoint.
   */
  @Test
  void aSaveThatAnOlderLeaderBeganIsGoneOnWith() {
    job = jobs.add(TestFixtures.gang(2, 2, 1, 30, true), 2);
    Reservation told = jobs.propose(job, 0, 1, machine);
    Reservation other = jobs.propose(job, 1, 1, machine);
    jobs.write(job, RequestPriority.START);
    answer(new Reply.Committed(5));
    report(SESSION, 2, firstToken);
    TaskStatus saving = new TaskStatus(told.id(), TaskStatus.State.SAVING, null, false);
    double graceS = job.job.saveS();
    assertEquals(
        List.of(new Command.Kill(told.id(), graceS), new Command.Kill(other.id(), graceS)),
        report(SESSION, 3, firstToken, saving, running(other)));
  }

  /** The write went out twice; the first copy was applied before the limits fell. */
  @Test
  void aWriteThatIsTooLargeMayHaveBeenAppliedBefore() {
    Reservation task = jobs.propose(job, 0, 1, machine);
    StoredRecord.Alloc record = job.toRecord();
    jobs.write(job, RequestPriority.START);
    answer(new Reply.Unanswered());
    context.nowMs += 1000;
    jobs.tick();
    gate.pump();
    answer(new Reply.Refused(400));
    answer(new Reply.Value(record, 5));
    assertTrue(task.committed);
    assertEquals(5, job.allocVersion);
  }

  /** 400 is final: what was to be reserved waits for its turn again. */
  @Test
  void aWriteThatIsTooLargeIsNotRepeated() {
    jobs.propose(job, 0, 1, machine);
    jobs.write(job, RequestPriority.START);
    answer(new Reply.Refused(400));
    answer(new Reply.Value(null, 0));
    assertTrue(job.placed.isEmpty());
    assertTrue(job.waiting.get(0));
    assertFalse(job.writing);
    assertFalse(job.mayWrite(context.nowMs), "not at once");
    jobs.tick();
    assertTrue(effects(Effect.AskState.class).isEmpty());
  }

  @Test
  void aTokenOfALaterTermEndsThisOne() {
    report(SESSION, 2, term.endOfTokens());
    assertFalse(term.leading());
  }

  @Test
  void anUnansweredCommandIsOutdatedByAHigherToken() {
    Reservation task = reserved();
    machine.setUrgent();
    workers.tick();
    Effect.AskCommands sent = effects(Effect.AskCommands.class).get(0);
    assertEquals(ImmutableList.of(new Command.Run(task.id())), sent.commands());
    context.answered(sent.call(), new Reply.Unanswered());
    assertTrue(machine.token > sent.token());
  }

  /** Without any one of them a leader that is deposed, late or cancelled against would write. */
  @Test
  void aReservationIsWrittenUnderTheLeadItsOwnVersionAndNoCancellation() {
    reserved();
    jobs.propose(job, 1, 2, machine);
    jobs.write(job, RequestPriority.START);
    StoreRequest.Transact write =
        (StoreRequest.Transact) effects(Effect.AskState.class).get(0).op();
    String uid = job.job.uid();
    assertEquals(
        ImmutableList.of(
            term.condition(),
            new StoreRequest.Condition(StoreKeys.alloc(uid), 5),
            new StoreRequest.Condition(StoreKeys.abort(uid), 0)),
        write.conditions());
    assertEquals(new StoreRequest.Condition(StoreKeys.LEADER, 1), term.condition());
  }
}
