package eiderfork.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.core.context.Context;
import eiderfork.core.message.Effect;
import eiderfork.core.message.Keys;
import eiderfork.core.message.Reply;
import eiderfork.core.message.StateOp;
import eiderfork.core.state.StateGate;
import eiderfork.core.state.Term;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.Record;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The move of ended jobs by itself: under which conditions it is written, and what its ends do. */
class JobArchiveMoveTest {
  private static final Job DONE = Samples.job(1, JobKind.ARRAY, 2, 1);
  private static final Job CANCELLED = Samples.job(2, JobKind.SERVICE, 2, 1);

  private final Context context = new Context(Samples.archivingAfter(1), new Random(1), 1_000_000);
  private final StateGate gate = new StateGate(context);
  private final Term term = new Term(context, gate, null);
  private final ClusterVersion version = new ClusterVersion(context, gate, term);
  private final JobTable jobs = new JobTable(context, gate, term, version);
  private final Cancellations cancellations = new Cancellations(context, jobs::markAborted);
  private final EndedJobSweep sweep =
      new EndedJobSweep(context, term, jobs, null, cancellations, null);
  private final JobArchive archive =
      new JobArchive(context, gate, term, version, jobs, cancellations, sweep);
  private final JobEntry done = jobs.add(DONE, 3);
  private final JobEntry cancelled = jobs.add(CANCELLED, 4);

  JobArchiveMoveTest() {
    gate.leading(true);
    version.read(new Record.StoredVersion(ClusterVersion.CURRENT), 2);
    Record.Alloc ended =
        new Record.Alloc(1, true, ImmutableList.of(), ImmutableList.of(new Record.Range(0, 1)));
    jobs.restore(done, ended, 9, new Fleet(context, jobs));
    cancellations.read(CANCELLED.uid());
  }

  /** The calls that the next tick after some time makes. */
  private List<Effect.AskState> tick() {
    context.nowMs += 2000;
    archive.tick();
    return context.takeEffects().stream().map(Effect.AskState.class::cast).toList();
  }

  private static StateOp.Transact write(List<Effect.AskState> calls) {
    assertEquals(1, calls.size());
    return (StateOp.Transact) calls.get(0).op();
  }

  /** Each condition stands against a write or a leader that is late; see the class itself. */
  @Test
  void jobsMoveTogetherUnderTheConditionsThatNothingOfThemHasChanged() {
    StateOp.Transact write = write(tick());
    assertEquals(
        ImmutableList.of(
            term.condition(),
            new StateOp.Condition(Keys.alloc(CANCELLED.uid()), 0),
            new StateOp.Condition(Keys.ended(CANCELLED.uid()), 0),
            new StateOp.Condition(Keys.alloc(DONE.uid()), 9),
            new StateOp.Condition(Keys.ended(DONE.uid()), 0)),
        sortedByJob(write.conditions()));
    assertEquals(6, write.changes().size());
    assertTrue(
        write
            .changes()
            .containsAll(
                List.of(
                    StateOp.Change.put(
                        Keys.ended(DONE.uid()), new Record.EndedJob(JobStatus.Stance.DONE, 2)),
                    StateOp.Change.remove(Keys.job(DONE.uid())),
                    StateOp.Change.remove(Keys.alloc(DONE.uid())),
                    StateOp.Change.put(
                        Keys.ended(CANCELLED.uid()),
                        new Record.EndedJob(JobStatus.Stance.ABORTED, 0)),
                    StateOp.Change.remove(Keys.job(CANCELLED.uid())),
                    StateOp.Change.remove(Keys.abort(CANCELLED.uid())))));
    assertTrue(tick().isEmpty(), "one move is under way at a time");
  }

  /** The jobs may be moved in any order; the leader's condition comes first. */
  private static List<StateOp.Condition> sortedByJob(List<StateOp.Condition> conditions) {
    if (!conditions.get(1).key().endsWith(DONE.uid())) {
      return conditions;
    }
    return ImmutableList.of(
        conditions.get(0),
        conditions.get(3),
        conditions.get(4),
        conditions.get(1),
        conditions.get(2));
  }

  @Test
  void memoryAnswersUntilTheMoveIsKnownToBeCarriedOut() {
    List<Effect.AskState> first = tick();
    context.answered(first.get(0).call(), new Reply.Unanswered());
    assertNotNull(jobs.get(DONE.uid()));
    List<Effect.AskState> second = tick();
    Reply there =
        new Reply.Conflict(
            ImmutableList.of(
                Keys.alloc(DONE.uid()), Keys.ended(DONE.uid()), Keys.ended(CANCELLED.uid())));
    context.answered(second.get(0).call(), there);
    assertNull(jobs.get(DONE.uid()));
    assertNull(jobs.get(CANCELLED.uid()));
    assertTrue(!cancellations.contains(CANCELLED.uid()));
    assertEquals(0, jobs.ended().size());
  }

  /** Its record is not what this leader thinks, so nothing is concluded from what it thinks. */
  @Test
  void aJobWithAnotherAllocRecordStays() {
    List<Effect.AskState> calls = tick();
    Reply changed = new Reply.Conflict(ImmutableList.of(Keys.alloc(DONE.uid())));
    context.answered(calls.get(0).call(), changed);
    assertNotNull(jobs.get(DONE.uid()));
    StateOp.Transact again = write(tick());
    assertTrue(again.changes().stream().noneMatch(it -> it.key().endsWith(DONE.uid())));
  }

  @Test
  void theAnswerOfAnEarlierTermChangesNothing() {
    List<Effect.AskState> calls = tick();
    archive.clear();
    context.answered(calls.get(0).call(), new Reply.Committed(20));
    assertNotNull(jobs.get(DONE.uid()));
  }

  /** A write under way may still say something else of the job, or bring a reservation. */
  @Test
  void aJobWithSomethingOpenStays() {
    assertTrue(done.isArchivable());
    done.writing = true;
    assertTrue(!done.isArchivable());
    done.writing = false;
    MachineEntry machine = new MachineEntry("n-1", 0, new MachineSets(), context.nowMs);
    Reservation open = new Reservation(done, 0, 1, machine);
    done.uncommitted.add(open);
    assertTrue(!done.isArchivable());
    done.uncommitted.clear();
    done.placed.put(0, open);
    assertTrue(!done.isArchivable());
    done.placed.clear();
    done.freeze();
    assertTrue(!done.isArchivable());
  }

  /** A watch that was held up brings a job and its move at once, after memory has let it go. */
  @Test
  void whatAWatchShowsAsRemovedLeavesMemory() {
    CommittedState committed =
        new CommittedState(
            context,
            gate,
            term,
            null,
            null,
            null,
            jobs,
            null,
            null,
            null,
            null,
            cancellations,
            version,
            null,
            null,
            null);
    committed.changed(new Reply.Item(Keys.job(DONE.uid()), null, 20));
    assertNull(jobs.get(DONE.uid()));
    committed.changed(new Reply.Item(Keys.abort(CANCELLED.uid()), null, 20));
    assertTrue(!cancellations.contains(CANCELLED.uid()));
  }

  /** Past the operators' number the oldest go, however short their stay. */
  @Test
  void memoryHoldsNoMoreEndedJobsThanTheOperatorsSay() {
    Context few = new Context(Samples.archiving(3600, 1), new Random(1), 0);
    assertEquals(1, few.settings.operator().mostEndedJobs());
    context.nowMs += 2000;
    JobArchive limited = new JobArchive(few, gate, term, version, jobs, cancellations, sweep);
    limited.tick();
    StateOp.Transact write =
        write(context.takeEffects().stream().map(Effect.AskState.class::cast).toList());
    assertEquals(1, write.changes().stream().filter(it -> it.record() != null).count());
  }
}
