package eiderfork.controller.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.TestFixtures;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.recovery.CommittedChangeApplier;
import eiderfork.controller.recovery.FinishedJobLoader;
import eiderfork.controller.recovery.StoredRecordRestorer;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineIndexes;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.scheduling.RoundTrigger;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The move of ended jobs by itself: under which conditions it is written, and what its ends do. */
class JobArchiverTransactionTest {
  private static final Job DONE = TestFixtures.job(1, JobKind.ARRAY, 2, 1);
  private static final Job CANCELLED = TestFixtures.job(2, JobKind.SERVICE, 2, 1);

  private final ControllerContext context =
      new ControllerContext(TestFixtures.archivingSettings(1), new Random(1), 1_000_000);
  private final StoreClient store = new StoreClient(context);
  private final LeaderElection election = new LeaderElection(context, store, null);
  private final ClusterVersion version = new ClusterVersion(context, store, election);
  private final JobRegistry jobs = new JobRegistry(context, store, election, version);
  private final CancellationTracker cancellations =
      new CancellationTracker(context, jobs::markCancelled);
  private final FinishedJobLoader finishedJobLoader =
      new FinishedJobLoader(context, election, jobs, null, cancellations, null);
  private final JobArchiver archiver =
      new JobArchiver(context, store, election, version, jobs, cancellations, finishedJobLoader);
  private final JobState done = jobs.add(DONE, 3);
  private final JobState cancelled = jobs.add(CANCELLED, 4);

  JobArchiverTransactionTest() {
    store.actAsLeader();
    version.recordStored(new StoredRecord.StoredVersion(ClusterVersion.CURRENT), 2);
    StoredRecord.Allocation ended =
        new StoredRecord.Allocation(
            1, true, ImmutableList.of(), ImmutableList.of(new StoredRecord.TaskRange(0, 1)));
    jobs.restoreAllocation(done, ended, 9, new MachineRegistry(context, jobs));
    cancellations.recordStored(CANCELLED.uid());
  }

  /** The calls that the next tick after some time makes. */
  private List<Effect.CallStore> tick() {
    context.advanceBy(2000);
    archiver.tick();
    return context.drainEffects().stream().map(Effect.CallStore.class::cast).toList();
  }

  private static StoreRequest.Transaction write(List<Effect.CallStore> calls) {
    assertEquals(1, calls.size());
    return (StoreRequest.Transaction) calls.get(0).request();
  }

  /** Each condition stands against a write or a leader that is late; see the class itself. */
  @Test
  void batchIsMovedOnConditionThatNothingHasChanged() {
    StoreRequest.Transaction write = write(tick());
    assertEquals(
        ImmutableList.of(
            election.leaderCondition(),
            new StoreRequest.Condition(StoreKeys.alloc(CANCELLED.uid()), 0),
            new StoreRequest.Condition(StoreKeys.ended(CANCELLED.uid()), 0),
            new StoreRequest.Condition(StoreKeys.alloc(DONE.uid()), 9),
            new StoreRequest.Condition(StoreKeys.ended(DONE.uid()), 0)),
        sortedByJob(write.conditions()));
    assertEquals(6, write.changes().size());
    assertTrue(
        write
            .changes()
            .containsAll(
                List.of(
                    StoreRequest.Change.put(
                        StoreKeys.ended(DONE.uid()),
                        new StoredRecord.ArchivedJob(JobStatus.Phase.DONE, 2)),
                    StoreRequest.Change.remove(StoreKeys.job(DONE.uid())),
                    StoreRequest.Change.remove(StoreKeys.alloc(DONE.uid())),
                    StoreRequest.Change.put(
                        StoreKeys.ended(CANCELLED.uid()),
                        new StoredRecord.ArchivedJob(JobStatus.Phase.ABORTED, 0)),
                    StoreRequest.Change.remove(StoreKeys.job(CANCELLED.uid())),
                    StoreRequest.Change.remove(StoreKeys.cancellation(CANCELLED.uid())))));
    assertTrue(tick().isEmpty(), "one move is under way at a time");
  }

  /** The jobs may be moved in any order; the leader's condition comes first. */
  private static List<StoreRequest.Condition> sortedByJob(List<StoreRequest.Condition> conditions) {
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
  void jobsStayInMemoryUntilTheMoveIsKnownToBeApplied() {
    List<Effect.CallStore> first = tick();
    context.completeCall(first.get(0).callId(), new Reply.Unanswered());
    assertNotNull(jobs.get(DONE.uid()));
    List<Effect.CallStore> second = tick();
    Reply there =
        new Reply.Conflict(
            ImmutableList.of(
                StoreKeys.alloc(DONE.uid()),
                StoreKeys.ended(DONE.uid()),
                StoreKeys.ended(CANCELLED.uid())));
    context.completeCall(second.get(0).callId(), there);
    assertNull(jobs.get(DONE.uid()));
    assertNull(jobs.get(CANCELLED.uid()));
    assertTrue(!cancellations.contains(CANCELLED.uid()));
    assertEquals(0, jobs.finishedJobs().size());
  }

  /** Its record is not what this leader thinks, so nothing is concluded from what it thinks. */
  @Test
  void jobWithAnUnexpectedAllocationIsNotArchived() {
    List<Effect.CallStore> calls = tick();
    Reply changed = new Reply.Conflict(ImmutableList.of(StoreKeys.alloc(DONE.uid())));
    context.completeCall(calls.get(0).callId(), changed);
    assertNotNull(jobs.get(DONE.uid()));
    StoreRequest.Transaction again = write(tick());
    assertTrue(again.changes().stream().noneMatch(it -> it.key().endsWith(DONE.uid())));
  }

  @Test
  void replyFromAnEarlierTermIsIgnored() {
    List<Effect.CallStore> calls = tick();
    archiver.reset();
    context.completeCall(calls.get(0).callId(), new Reply.Committed(20));
    assertNotNull(jobs.get(DONE.uid()));
  }

  /** A write in flight may still change the job, or commit a reservation. */
  @Test
  void jobWithOpenStateIsNotArchivable() {
    assertTrue(done.isArchivable());
    done.writes().onWriteBegun(done.writes().committed(), context.nowMs());
    assertTrue(!done.isArchivable());
    done.writes().onNotApplied();
    assertTrue(done.isArchivable());
    MachineState machine = new MachineState("n-1", 0, new MachineIndexes(), context.nowMs());
    Reservation open = new Reservation(done, 0, 1, machine);
    done.tasks().reserve(open);
    assertTrue(!done.isArchivable());
    done.tasks().settle(open, true);
    assertTrue(!done.isArchivable());
    done.tasks().onSettlementsCommitted(List.of(open));
    assertTrue(done.isArchivable());
    done.freeze();
    assertTrue(!done.isArchivable());
  }

  /** A delayed watch shows a job and its archival together, after memory has evicted it. */
  @Test
  void removalSeenByTheWatchEvictsTheJob() {
    StoredRecordRestorer restorer =
        new StoredRecordRestorer(jobs, null, null, cancellations, version);
    CommittedChangeApplier changes =
        new CommittedChangeApplier(restorer, jobs, cancellations, null, new RoundTrigger());
    changes.apply(new Reply.Item(StoreKeys.job(DONE.uid()), null, 20));
    assertNull(jobs.get(DONE.uid()));
    changes.apply(new Reply.Item(StoreKeys.cancellation(CANCELLED.uid()), null, 20));
    assertTrue(!cancellations.contains(CANCELLED.uid()));
  }

  /** Past the operators' number the oldest go, however short their stay. */
  @Test
  void oldestFinishedJobsAreArchivedPastTheConfiguredMaximum() {
    ControllerContext few =
        new ControllerContext(TestFixtures.archivingSettings(3600, 1), new Random(1), 0);
    assertEquals(1, few.settings.operator().maxEndedJobs());
    context.advanceBy(2000);
    JobArchiver limited =
        new JobArchiver(few, store, election, version, jobs, cancellations, finishedJobLoader);
    limited.tick();
    StoreRequest.Transaction write =
        write(context.drainEffects().stream().map(Effect.CallStore.class::cast).toList());
    assertEquals(1, write.changes().stream().filter(it -> it.record() != null).count());
  }
}
