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

/**
 * Tests the archival transaction in isolation: its conditions, and the handling of each outcome.
 */
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
    StoredRecord.Allocation completedAllocation =
        new StoredRecord.Allocation(
            1, true, ImmutableList.of(), ImmutableList.of(new StoredRecord.TaskRange(0, 1)));
    jobs.restoreAllocation(done, completedAllocation, 9, new MachineRegistry(context, jobs));
    cancellations.recordStored(CANCELLED.uid());
  }

  /** Advances the time by 2 s and returns the store calls of the next tick. */
  private List<Effect.CallStore> tickAndDrainCalls() {
    context.advanceBy(2000);
    archiver.tick();
    return context.drainEffects().stream().map(Effect.CallStore.class::cast).toList();
  }

  private static StoreRequest.Transaction onlyTransaction(List<Effect.CallStore> calls) {
    assertEquals(1, calls.size());
    return (StoreRequest.Transaction) calls.get(0).request();
  }

  /** Each condition guards against a late write or a deposed leader; see {@link JobArchiver}. */
  @Test
  void batchIsArchivedOnConditionThatNothingHasChanged() {
    StoreRequest.Transaction transaction = onlyTransaction(tickAndDrainCalls());
    assertEquals(
        ImmutableList.of(
            election.leaderCondition(),
            new StoreRequest.Condition(StoreKeys.allocation(CANCELLED.uid()), 0),
            new StoreRequest.Condition(StoreKeys.archivedJob(CANCELLED.uid()), 0),
            new StoreRequest.Condition(StoreKeys.allocation(DONE.uid()), 9),
            new StoreRequest.Condition(StoreKeys.archivedJob(DONE.uid()), 0)),
        sortedByJob(transaction.conditions()));
    assertEquals(6, transaction.changes().size());
    assertTrue(
        transaction
            .changes()
            .containsAll(
                List.of(
                    StoreRequest.Change.put(
                        StoreKeys.archivedJob(DONE.uid()),
                        new StoredRecord.ArchivedJob(JobStatus.Phase.DONE, 2)),
                    StoreRequest.Change.remove(StoreKeys.job(DONE.uid())),
                    StoreRequest.Change.remove(StoreKeys.allocation(DONE.uid())),
                    StoreRequest.Change.put(
                        StoreKeys.archivedJob(CANCELLED.uid()),
                        new StoredRecord.ArchivedJob(JobStatus.Phase.ABORTED, 0)),
                    StoreRequest.Change.remove(StoreKeys.job(CANCELLED.uid())),
                    StoreRequest.Change.remove(StoreKeys.cancellation(CANCELLED.uid())))));
    assertTrue(tickAndDrainCalls().isEmpty(), "only one transaction may be in flight");
  }

  /**
   * Sorts the conditions by job, as jobs may be archived in any order; the condition on the leader
   * comes first.
   */
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
  void jobsStayInMemoryUntilTheTransactionIsKnownToBeApplied() {
    List<Effect.CallStore> firstCalls = tickAndDrainCalls();
    context.completeCall(firstCalls.get(0).callId(), new Reply.Unanswered());
    assertNotNull(jobs.get(DONE.uid()));
    List<Effect.CallStore> secondCalls = tickAndDrainCalls();
    Reply conflict =
        new Reply.Conflict(
            ImmutableList.of(
                StoreKeys.allocation(DONE.uid()),
                StoreKeys.archivedJob(DONE.uid()),
                StoreKeys.archivedJob(CANCELLED.uid())));
    context.completeCall(secondCalls.get(0).callId(), conflict);
    assertNull(jobs.get(DONE.uid()));
    assertNull(jobs.get(CANCELLED.uid()));
    assertTrue(!cancellations.contains(CANCELLED.uid()));
    assertEquals(0, jobs.finishedJobs().size());
  }

  /**
   * A job whose stored allocation differs from the one in memory must not be archived, since this
   * leader's view of it is wrong.
   */
  @Test
  void jobWithAnUnexpectedAllocationIsNotArchived() {
    List<Effect.CallStore> calls = tickAndDrainCalls();
    Reply changed = new Reply.Conflict(ImmutableList.of(StoreKeys.allocation(DONE.uid())));
    context.completeCall(calls.get(0).callId(), changed);
    assertNotNull(jobs.get(DONE.uid()));
    StoreRequest.Transaction retried = onlyTransaction(tickAndDrainCalls());
    assertTrue(retried.changes().stream().noneMatch(change -> change.key().endsWith(DONE.uid())));
  }

  @Test
  void replyFromAnEarlierTermIsIgnored() {
    List<Effect.CallStore> calls = tickAndDrainCalls();
    archiver.reset();
    context.completeCall(calls.get(0).callId(), new Reply.Committed(20));
    assertNotNull(jobs.get(DONE.uid()));
  }

  /**
   * A job is not archivable while a write in flight may still change it or commit a reservation.
   */
  @Test
  void jobWithOpenStateIsNotArchivable() {
    assertTrue(done.isArchivable());
    done.writes().onWriteBegun(done.writes().committed(), context.nowMs());
    assertTrue(!done.isArchivable());
    done.writes().onNotApplied();
    assertTrue(done.isArchivable());
    MachineState machine = new MachineState("n-1", 0, new MachineIndexes(), context.nowMs());
    Reservation reservation = new Reservation(done, 0, 1, machine);
    done.tasks().reserve(reservation);
    assertTrue(!done.isArchivable());
    done.tasks().settle(reservation, true);
    assertTrue(!done.isArchivable());
    done.tasks().onSettlementsCommitted(List.of(reservation));
    assertTrue(done.isArchivable());
    done.freeze();
    assertTrue(!done.isArchivable());
  }

  /**
   * Checks that the removal of a job's record evicts it. A delayed watch reports the job and its
   * archival together, after memory has evicted it.
   */
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

  /**
   * Beyond the configured maximum, the oldest finished jobs are archived before their retention
   * ends.
   */
  @Test
  void oldestFinishedJobsAreArchivedPastTheConfiguredMaximum() {
    ControllerContext limitedContext =
        new ControllerContext(TestFixtures.archivingSettings(3600, 1), new Random(1), 0);
    assertEquals(1, limitedContext.settings.operator().maxEndedJobs());
    context.advanceBy(2000);
    JobArchiver limitedArchiver =
        new JobArchiver(
            limitedContext, store, election, version, jobs, cancellations, finishedJobLoader);
    limitedArchiver.tick();
    StoreRequest.Transaction transaction =
        onlyTransaction(context.drainEffects().stream().map(Effect.CallStore.class::cast).toList());
    assertEquals(
        1, transaction.changes().stream().filter(change -> change.record() != null).count());
  }
}
