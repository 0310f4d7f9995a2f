package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.core.message.Keys;
import eiderfork.core.message.Reply;
import eiderfork.core.message.StateOp;
import eiderfork.core.message.UserAnswer;
import eiderfork.core.state.StateGate;
import eiderfork.core.state.Urgency;
import eiderfork.model.Job;
import eiderfork.model.Record;
import java.util.function.Consumer;

/** Writes the cancellations that users ask for, under the condition that the job is not done. */
final class JobCancellation {
  /** The alloc key may change in between; a few tries outlast that. */
  private static final int ABORT_TRIES = 5;

  private final StateGate gate;
  private final JobTable jobs;
  private final StoredJobs storedJobs;

  JobCancellation(StateGate gate, JobTable jobs, StoredJobs storedJobs) {
    this.gate = gate;
    this.jobs = jobs;
    this.storedJobs = storedJobs;
  }

  /**
   * Cancels a job unless it is done.
   *
   * @param fromMemory whether memory holds all that is committed
   */
  void abort(String uid, boolean fromMemory, Consumer<UserAnswer> answer) {
    JobEntry entry = jobs.get(uid);
    if (fromMemory && entry != null && entry.over() && entry.isKnownUnarchived()) {
      answer.accept(UserAnswer.ok(entry.status()));
      return;
    }
    if (entry != null) {
      entry.aborting = true;
    }
    gate.send(
        new StateOp.Get(Keys.job(uid)),
        Urgency.ABORT,
        reply -> {
          if (!(reply instanceof Reply.Value spec) || spec.record() instanceof Record.Unreadable) {
            abortFailed(uid, answer);
          } else if (!(spec.record() instanceof Record.JobSpec it)) {
            answerArchived(uid, UserAnswer.refused(404, "no such job"), answer);
          } else {
            tryAbort(it.job(), 0, answer);
          }
        });
  }

  /** Answers with the final state of an archived job, or with {@code otherwise}. */
  private void answerArchived(String uid, UserAnswer otherwise, Consumer<UserAnswer> answer) {
    storedJobs.archived(
        uid,
        Urgency.ABORT,
        status -> {
          if (status == null) {
            abortFailed(uid, answer);
          } else {
            answer.accept(status.map(UserAnswer::ok).orElse(otherwise));
          }
        });
  }

  private void abortFailed(String uid, Consumer<UserAnswer> answer) {
    JobEntry entry = jobs.get(uid);
    if (entry != null) {
      entry.aborting = false;
    }
    answer.accept(UserAnswer.unavailable());
  }

  private void tryAbort(Job job, int tries, Consumer<UserAnswer> answer) {
    String uid = job.uid();
    storedJobs.alloc(
        job,
        Urgency.ABORT,
        (alloc, version) -> {
          if (alloc == null || tries >= ABORT_TRIES) {
            abortFailed(uid, answer);
            return;
          }
          if (alloc.done()) {
            answer.accept(UserAnswer.ok(JobEntry.status(job, alloc, 0)));
            return;
          }
          gate.send(
              new StateOp.Transact(
                  ImmutableList.of(
                      new StateOp.Condition(Keys.abort(uid), 0),
                      new StateOp.Condition(Keys.alloc(uid), version),
                      // Archived, the job has no alloc record, as one that never started.
                      new StateOp.Condition(Keys.ended(uid), 0)),
                  ImmutableList.of(StateOp.Change.put(Keys.abort(uid), new Record.Aborted(uid)))),
              Urgency.ABORT,
              reply -> {
                if (reply instanceof Reply.Conflict conflict
                    && conflict.failed().contains(Keys.ended(uid))) {
                  answerArchived(uid, UserAnswer.unavailable(), answer);
                  return;
                }
                boolean there =
                    reply instanceof Reply.Conflict conflict
                        && conflict.failed().contains(Keys.abort(uid));
                if (reply instanceof Reply.Committed || there) {
                  jobs.markAborted(uid);
                  answer.accept(UserAnswer.ok(StoredJobs.status(job, alloc, true)));
                } else if (reply instanceof Reply.Conflict) {
                  tryAbort(job, tries + 1, answer);
                } else {
                  abortFailed(uid, answer);
                }
              });
        });
  }
}
