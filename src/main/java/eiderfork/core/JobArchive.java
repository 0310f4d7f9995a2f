package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.core.context.Context;
import eiderfork.core.message.Keys;
import eiderfork.core.message.Reply;
import eiderfork.core.message.StateOp;
import eiderfork.core.state.StateGate;
import eiderfork.core.state.Term;
import eiderfork.core.state.Urgency;
import eiderfork.model.JobStatus;
import eiderfork.model.Record;
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
final class JobArchive {
  private static final Logger LOG = LoggerFactory.getLogger(JobArchive.class);

  /** The archived record, and the job's own, alloc and cancellation records, which go. */
  private static final int MOST_CHANGES_PER_JOB = 4;

  private static final long TELL_MS = 60_000;

  private final Context context;
  private final StateGate gate;
  private final Term term;
  private final ClusterVersion version;
  private final JobTable jobs;
  private final Cancellations cancellations;
  private final EndedJobSweep sweep;

  private int mostPerBatch;
  private boolean moving;
  private long nextTryMs;
  private long toldMs;
  private long archivedSinceTold;
  private long generation;

  JobArchive(
      Context context,
      StateGate gate,
      Term term,
      ClusterVersion version,
      JobTable jobs,
      Cancellations cancellations,
      EndedJobSweep sweep) {
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
    List<JobEntry> batch = due();
    if (batch.isEmpty()) {
      nextTryMs = context.nowMs + context.stepMs() / 5;
    } else {
      move(batch);
    }
  }

  private int changesOfBatch() {
    return mostPerBatch * MOST_CHANGES_PER_JOB;
  }

  private List<JobEntry> due() {
    long stayMs = (long) (1000 * context.settings.operator().endedJobsStayS());
    // While some are not in memory for want of room, all that are there make room for them.
    int most = sweep.isOpen() ? 0 : context.settings.operator().mostEndedJobs();
    int excess = jobs.ended().size() - most;
    List<JobEntry> batch = new ArrayList<>();
    for (EndedJobs.Ended ended : jobs.ended().oldestFirst()) {
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

  private void move(List<JobEntry> batch) {
    ImmutableList.Builder<StateOp.Condition> conditions = ImmutableList.builder();
    ImmutableList.Builder<StateOp.Change> changes = ImmutableList.builder();
    conditions.add(term.condition());
    for (JobEntry entry : batch) {
      String uid = entry.job.uid();
      conditions.add(new StateOp.Condition(Keys.alloc(uid), entry.allocVersion));
      conditions.add(new StateOp.Condition(Keys.ended(uid), 0));
      changes.add(StateOp.Change.put(Keys.ended(uid), finalState(entry)));
      changes.add(StateOp.Change.remove(Keys.job(uid)));
      if (entry.allocVersion > 0) {
        changes.add(StateOp.Change.remove(Keys.alloc(uid)));
      }
      if (entry.aborted) {
        changes.add(StateOp.Change.remove(Keys.abort(uid)));
      }
    }
    moving = true;
    long of = generation;
    gate.send(
        new StateOp.Transact(conditions.build(), changes.build()),
        Urgency.CLEANUP,
        reply -> {
          if (of == generation) {
            moving = false;
            answered(batch, reply);
          }
        });
  }

  private static Record.EndedJob finalState(JobEntry entry) {
    JobStatus status = entry.status();
    return new Record.EndedJob(status.stance(), status.done());
  }

  private void answered(List<JobEntry> batch, Reply reply) {
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

  private void conflict(List<JobEntry> batch, Reply.Conflict conflict) {
    if (conflict.failed().contains(Keys.LEADER)) {
      term.conditionFailed();
      return;
    }
    for (JobEntry entry : batch) {
      String uid = entry.job.uid();
      if (conflict.failed().contains(Keys.ended(uid))) {
        // An earlier copy of a move was carried out without an answer, or this is a late copy.
        archived(entry);
        jobs.removeCopy(entry);
      } else if (conflict.failed().contains(Keys.alloc(uid))) {
        LOG.error("alloc of {} is not what this leader holds; the job is not archived", uid);
        jobs.ended().remove(uid);
      }
    }
  }

  private void archived(JobEntry entry) {
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
