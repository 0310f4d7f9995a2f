package eiderfork.controller.jobs;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.recovery.FinishedJobLoader;
import eiderfork.controller.registry.FinishedJobs;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Archives terminal jobs: removes them from the leader's memory and from the keys that a new leader
 * reads. Only a small record of the final state remains, from which any node answers queries.
 *
 * <p>A batch of jobs is archived in one transaction, on the conditions that this node leads, that
 * each job's allocation is the one in memory, and that no archived record exists. The archived
 * record is never removed, and every write that could recreate the job, even if it is applied late,
 * is conditional on the absence of this record.
 */
public final class JobArchiver {
  private static final Logger LOG = LoggerFactory.getLogger(JobArchiver.class);

  /** The put of the archived record and the removals of the spec, allocation and cancellation. */
  private static final int MAX_CHANGES_PER_JOB = 4;

  private static final long LOG_INTERVAL_MS = 60_000;

  private final ControllerContext context;
  private final StoreClient store;
  private final LeaderElection election;
  private final ClusterVersion version;
  private final JobRegistry jobs;
  private final CancellationTracker cancellations;
  private final FinishedJobLoader finishedJobLoader;

  private int maxJobsPerBatch;
  private boolean transactionInFlight;
  private long nextArchivalMs;
  private long lastLoggedMs;
  private long archivedSinceLog;
  private long generation;

  /**
   * Creates an archiver; {@code finishedJobLoader} loads the finished jobs that memory does not
   * hold.
   */
  public JobArchiver(
      ControllerContext context,
      StoreClient store,
      LeaderElection election,
      ClusterVersion version,
      JobRegistry jobs,
      CancellationTracker cancellations,
      FinishedJobLoader finishedJobLoader) {
    this.context = context;
    this.store = store;
    this.election = election;
    this.version = version;
    this.jobs = jobs;
    this.cancellations = cancellations;
    this.finishedJobLoader = finishedJobLoader;
    maxJobsPerBatch = context.settings.safeTransactionOps() / MAX_CHANGES_PER_JOB;
  }

  /** Ignores the transaction in flight; called when a term begins or ends. */
  public void reset() {
    generation++;
    transactionInFlight = false;
    nextArchivalMs = 0;
  }

  /**
   * Archives a batch if one is due and the write rate allows it; called only on a leader that has
   * completed its recovery.
   */
  public void tick() {
    // A node of an older version would answer queries for an archived job with 404.
    if (!version.isMinimumVersion(ClusterVersion.ARCHIVED_JOBS)) {
      return;
    }
    logCounts();
    if (context.nowMs() >= nextArchivalMs) {
      archiveNextBatch();
    }
  }

  private void archiveNextBatch() {
    if (transactionInFlight || !store.hasSpareWriteCapacity(maxChangesPerBatch())) {
      return;
    }
    List<JobState> batch = selectDueJobs();
    if (batch.isEmpty()) {
      nextArchivalMs = context.nowMs() + context.stepMs() / 5;
    } else {
      archiveBatch(batch);
    }
  }

  private int maxChangesPerBatch() {
    return maxJobsPerBatch * MAX_CHANGES_PER_JOB;
  }

  private List<JobState> selectDueJobs() {
    long retentionMs = (long) (1000 * context.settings.operator().endedJobRetentionS());
    // While memory has no space for some finished jobs, archive all that it holds to make space.
    int maxFinished =
        finishedJobLoader.isIncomplete() ? 0 : context.settings.operator().maxEndedJobs();
    int excess = jobs.finishedJobs().size() - maxFinished;
    List<JobState> batch = new ArrayList<>();
    for (FinishedJobs.FinishedJob finished : jobs.finishedJobs().oldestFirst()) {
      boolean isDue = excess-- > 0 || context.nowMs() - finished.finishedMs() >= retentionMs;
      if (!isDue || batch.size() >= maxJobsPerBatch) {
        break;
      }
      if (finished.job().isArchivable()) {
        batch.add(finished.job());
      }
    }
    return batch;
  }

  private void archiveBatch(List<JobState> batch) {
    transactionInFlight = true;
    long sentGeneration = generation;
    store.send(
        archivalTransaction(batch),
        RequestPriority.CLEANUP,
        reply -> {
          if (sentGeneration == generation) {
            transactionInFlight = false;
            onReply(batch, reply);
          }
        });
  }

  private StoreRequest.Transaction archivalTransaction(List<JobState> batch) {
    ImmutableList.Builder<StoreRequest.Condition> conditions = ImmutableList.builder();
    ImmutableList.Builder<StoreRequest.Change> changes = ImmutableList.builder();
    conditions.add(election.leaderCondition());
    for (JobState job : batch) {
      String uid = job.spec().uid();
      conditions.add(new StoreRequest.Condition(StoreKeys.allocation(uid), job.writes().version()));
      conditions.add(new StoreRequest.Condition(StoreKeys.archivedJob(uid), 0));
      changes.add(StoreRequest.Change.put(StoreKeys.archivedJob(uid), toArchivedJob(job)));
      changes.add(StoreRequest.Change.remove(StoreKeys.job(uid)));
      if (job.writes().version() > 0) {
        changes.add(StoreRequest.Change.remove(StoreKeys.allocation(uid)));
      }
      if (job.isCancelled()) {
        changes.add(StoreRequest.Change.remove(StoreKeys.cancellation(uid)));
      }
    }
    return new StoreRequest.Transaction(conditions.build(), changes.build());
  }

  private static StoredRecord.ArchivedJob toArchivedJob(JobState job) {
    JobStatus status = job.status();
    return new StoredRecord.ArchivedJob(status.phase(), status.doneTasks());
  }

  private void onReply(List<JobState> batch, Reply reply) {
    if (reply instanceof Reply.Committed) {
      batch.forEach(this::onArchived);
      archiveNextBatch();
    } else if (reply instanceof Reply.Conflict conflict) {
      onConflict(batch, conflict);
    } else {
      // The transaction may still be applied; then the next attempt finds the archived records.
      nextArchivalMs = context.nowMs() + context.stepMs();
      if (reply instanceof Reply.Refused refused && refused.isMalformed()) {
        maxJobsPerBatch = Math.max(1, maxJobsPerBatch / 2);
      }
    }
  }

  private void onConflict(List<JobState> batch, Reply.Conflict conflict) {
    if (conflict.failedKeys().contains(StoreKeys.LEADER)) {
      election.onLeaderConditionFailed();
      return;
    }
    for (JobState job : batch) {
      String uid = job.spec().uid();
      if (conflict.failedKeys().contains(StoreKeys.archivedJob(uid))) {
        // An earlier transaction was applied without a reply, or a late write recreated the job.
        onArchived(job);
        jobs.removeStaleSpec(job);
      } else if (conflict.failedKeys().contains(StoreKeys.allocation(uid))) {
        LOG.error("allocation-mismatch job={} action=not-archived", uid);
        jobs.finishedJobs().remove(uid);
      }
    }
  }

  private void onArchived(JobState job) {
    archivedSinceLog++;
    jobs.evict(job);
    cancellations.recordArchived(job.spec().uid());
  }

  private void logCounts() {
    if (context.nowMs() - lastLoggedMs < LOG_INTERVAL_MS) {
      return;
    }
    lastLoggedMs = context.nowMs();
    LOG.info(
        "job-counts active={} finishedInMemory={} archivedSinceLast={}",
        jobs.activeJobs().size(),
        jobs.finishedJobs().size(),
        archivedSinceLog);
    archivedSinceLog = 0;
  }
}
