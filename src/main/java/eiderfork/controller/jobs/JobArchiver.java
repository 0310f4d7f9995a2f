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
 * Removes terminal jobs from the leader's memory and from the keys that a new leader reads. What
 * stays of a job is one small record of its final state, from which any node answers queries.
 *
 * <p>A batch of jobs is moved in one transaction, on the condition that this node leads, that each
 * job's allocation is the one in memory, and that no archived record exists. The archived record is
 * never removed, and every write that could bring the job back, applied however late, is
 * conditional on its absence.
 */
public final class JobArchiver {
  private static final Logger LOG = LoggerFactory.getLogger(JobArchiver.class);

  /** One put of the archived record; removals of the spec, the allocation and the cancellation. */
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
  private boolean moveInFlight;
  private long nextMoveMs;
  private long lastLoggedMs;
  private long archivedSinceLog;
  private long generation;

  /** Makes an archiver; {@code finishedJobLoader} brings it the jobs that memory does not hold. */
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

  /** Forgets moves in flight; called when a term begins or ends. */
  public void reset() {
    generation++;
    moveInFlight = false;
    nextMoveMs = 0;
  }

  /**
   * Moves a batch if one is due and the write rate allows it; called on a recovered leader only.
   */
  public void tick() {
    // A member of an older version would answer 404 for an archived job.
    if (!version.isMinimumVersion(ClusterVersion.ARCHIVED_JOBS)) {
      return;
    }
    logCounts();
    if (context.nowMs() >= nextMoveMs) {
      moveNextBatch();
    }
  }

  private void moveNextBatch() {
    if (moveInFlight || !store.hasSpareWriteCapacity(maxChangesPerBatch())) {
      return;
    }
    List<JobState> batch = dueJobs();
    if (batch.isEmpty()) {
      nextMoveMs = context.nowMs() + context.stepMs() / 5;
    } else {
      moveBatch(batch);
    }
  }

  private int maxChangesPerBatch() {
    return maxJobsPerBatch * MAX_CHANGES_PER_JOB;
  }

  private List<JobState> dueJobs() {
    long retentionMs = (long) (1000 * context.settings.operator().endedJobRetentionS());
    // While some are not in memory for lack of space, all that are make space for them.
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

  private void moveBatch(List<JobState> batch) {
    moveInFlight = true;
    long sentGeneration = generation;
    store.send(
        moveTransaction(batch),
        RequestPriority.CLEANUP,
        reply -> {
          if (sentGeneration == generation) {
            moveInFlight = false;
            onReply(batch, reply);
          }
        });
  }

  private StoreRequest.Transaction moveTransaction(List<JobState> batch) {
    ImmutableList.Builder<StoreRequest.Condition> conditions = ImmutableList.builder();
    ImmutableList.Builder<StoreRequest.Change> changes = ImmutableList.builder();
    conditions.add(election.leaderCondition());
    for (JobState job : batch) {
      String uid = job.spec().uid();
      conditions.add(new StoreRequest.Condition(StoreKeys.alloc(uid), job.writes().version()));
      conditions.add(new StoreRequest.Condition(StoreKeys.ended(uid), 0));
      changes.add(StoreRequest.Change.put(StoreKeys.ended(uid), toArchivedJob(job)));
      changes.add(StoreRequest.Change.remove(StoreKeys.job(uid)));
      if (job.writes().version() > 0) {
        changes.add(StoreRequest.Change.remove(StoreKeys.alloc(uid)));
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
      moveNextBatch();
    } else if (reply instanceof Reply.Conflict conflict) {
      onConflict(batch, conflict);
    } else {
      // It may still be applied: then the next move finds the archived records.
      nextMoveMs = context.nowMs() + context.stepMs();
      if (reply instanceof Reply.Refused refused && refused.isMalformed()) {
        maxJobsPerBatch = Math.max(1, maxJobsPerBatch / 2);
      }
    }
  }

  private void onConflict(List<JobState> batch, Reply.Conflict conflict) {
    if (conflict.failedKeys().contains(StoreKeys.LEADER)) {
      election.leaderConditionFailed();
      return;
    }
    for (JobState job : batch) {
      String uid = job.spec().uid();
      if (conflict.failedKeys().contains(StoreKeys.ended(uid))) {
        // An earlier move was applied without a reply, or this job is a late copy.
        onArchived(job);
        jobs.removeStaleSpec(job);
      } else if (conflict.failedKeys().contains(StoreKeys.alloc(uid))) {
        LOG.error("allocation-mismatch job={} action=not-archived", uid);
        jobs.finishedJobs().remove(uid);
      }
    }
  }

  private void onArchived(JobState job) {
    archivedSinceLog++;
    jobs.evict(job);
    cancellations.jobArchived(job.spec().uid());
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
