package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes jobs that are over out of the leader's memory and out of the keys that a new leader reads.
 * What stays of a job is one small record of its final state, by which any node answers for it.
 *
 * <p>A batch of jobs is moved in one transaction, under the condition that this node leads, that
 * each job's alloc record is the one in memory, and that no archived record is there. The archived
 * record is never removed, and every write that could bring the job back, carried out however late,
 * has the condition that it is not there.
 */
final class JobArchiver {
  private static final Logger LOG = LoggerFactory.getLogger(JobArchiver.class);

  /** The archived record, and the job's own, alloc and cancellation records, which go. */
  private static final int MOST_CHANGES_PER_JOB = 4;

  private static final long TELL_MS = 60_000;

  private final ControllerContext context;
  private final StoreClient gate;
  private final LeaderElection term;
  private final ClusterVersion version;
  private final JobRegistry jobs;
  private final CancellationTracker cancellations;
  private final FinishedJobSweeper sweep;

  private int mostPerBatch;
  private boolean moving;
  private long nextTryMs;
  private long toldMs;
  private long archivedSinceTold;
  private long generation;

  JobArchiver(
      ControllerContext context,
      StoreClient gate,
      LeaderElection term,
      ClusterVersion version,
      JobRegistry jobs,
      CancellationTracker cancellations,
      FinishedJobSweeper sweep) {
    this.context = context;
    this.gate = gate;
    this.term = term;
    this.version = version;
    this.jobs = jobs;
    this.cancellations = cancellations;
    this.sweep = sweep;
    mostPerBatch = context.settings.alwaysTxnOps() / MOST_CHANGES_PER_JOB;
  }

  /** A term begins or ends. */
  void clear() {
    generation++;
    moving = false;
    nextTryMs = 0;
  }

  /** Moves a batch where one is due and writes are left over; only a rebuilt leader does. */
  void tick() {
    // A member of an older version would deny a job that was archived.
    if (!version.isSettledOn(ClusterVersion.ARCHIVED_JOBS)) {
      return;
    }
    tell();
    if (context.nowMs >= nextTryMs) {
      moveNext();
    }
  }

  private void moveNext() {
    if (moving || !gate.hasSpareWrites(changesOfBatch())) {
      return;
    }
    List<JobState> batch = due();
    if (batch.isEmpty()) {
      nextTryMs = context.nowMs + context.stepMs() / 5;
    } else {
      move(batch);
    }
  }

  private int changesOfBatch() {
    return mostPerBatch * MOST_CHANGES_PER_JOB;
  }

  private List<JobState> due() {
    long stayMs = (long) (1000 * context.settings.operator().endedJobsStayS());
    // While some are not in memory for want of room, all that are there make room for them.
    int most = sweep.isOpen() ? 0 : context.settings.operator().mostEndedJobs();
    int excess = jobs.ended().size() - most;
    List<JobState> batch = new ArrayList<>();
    for (FinishedJobs.Ended ended : jobs.ended().oldestFirst()) {
      boolean isDue = excess-- > 0 || context.nowMs - ended.sinceMs() >= stayMs;
      if (!isDue || batch.size() >= mostPerBatch) {
        break;
      }
      if (ended.entry().isArchivable()) {
        batch.add(ended.entry());
      }
    }
    return batch;
  }

  private void move(List<JobState> batch) {
    ImmutableList.Builder<StoreRequest.Condition> conditions = ImmutableList.builder();
    ImmutableList.Builder<StoreRequest.Change> changes = ImmutableList.builder();
    conditions.add(term.condition());
    for (JobState entry : batch) {
      String uid = entry.job.uid();
      conditions.add(new StoreRequest.Condition(StoreKeys.alloc(uid), entry.allocVersion));
      conditions.add(new StoreRequest.Condition(StoreKeys.ended(uid), 0));
      changes.add(StoreRequest.Change.put(StoreKeys.ended(uid), finalState(entry)));
      changes.add(StoreRequest.Change.remove(StoreKeys.job(uid)));
      if (entry.allocVersion > 0) {
        changes.add(StoreRequest.Change.remove(StoreKeys.alloc(uid)));
      }
      if (entry.aborted) {
        changes.add(StoreRequest.Change.remove(StoreKeys.abort(uid)));
      }
    }
    moving = true;
    long of = generation;
    gate.send(
        new StoreRequest.Transact(conditions.build(), changes.build()),
        RequestPriority.CLEANUP,
        reply -> {
          if (of == generation) {
            moving = false;
            answered(batch, reply);
          }
        });
  }

  private static StoredRecord.EndedJob finalState(JobState entry) {
    JobStatus status = entry.status();
    return new StoredRecord.EndedJob(status.stance(), status.done());
  }

  private void answered(List<JobState> batch, Reply reply) {
    if (reply instanceof Reply.Committed) {
      batch.forEach(this::archived);
      moveNext();
    } else if (reply instanceof Reply.Conflict conflict) {
      conflict(batch, conflict);
    } else {
      // It may be carried out yet: the next try then finds the archived records there.
      nextTryMs = context.nowMs + context.stepMs();
      if (reply instanceof Reply.Refused refused && refused.isMalformed()) {
        mostPerBatch = Math.max(1, mostPerBatch / 2);
      }
    }
  }

  private void conflict(List<JobState> batch, Reply.Conflict conflict) {
    if (conflict.failed().contains(StoreKeys.LEADER)) {
      term.conditionFailed();
      return;
    }
    for (JobState entry : batch) {
      String uid = entry.job.uid();
      if (conflict.failed().contains(StoreKeys.ended(uid))) {
        // An earlier copy of a move was carried out without an answer, or this is a late copy.
        archived(entry);
        jobs.removeCopy(entry);
      } else if (conflict.failed().contains(StoreKeys.alloc(uid))) {
        LOG.error("alloc of {} is not what this leader holds; the job is not archived", uid);
        jobs.ended().remove(uid);
      }
    }
  }

  private void archived(JobState entry) {
    archivedSinceTold++;
    jobs.forget(entry);
    cancellations.archived(entry.job.uid());
  }

  private void tell() {
    if (context.nowMs - toldMs < TELL_MS) {
      return;
    }
    toldMs = context.nowMs;
    LOG.info(
        "jobs: {} alive, {} over in memory, {} archived since this was last told",
        jobs.active().size(),
        jobs.ended().size(),
        archivedSinceTold);
    archivedSinceTold = 0;
  }
}
