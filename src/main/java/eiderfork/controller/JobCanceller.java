package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.message.UserResponse;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.StoredRecord;
import java.util.function.Consumer;

/** Writes the cancellations that users ask for, under the condition that the job is not done. */
final class JobCanceller {
  /** The alloc key may change in between; a few tries outlast that. */
  private static final int ABORT_TRIES = 5;

  private final StoreClient gate;
  private final JobRegistry jobs;
  private final StoredJobReader storedJobs;

  JobCanceller(StoreClient gate, JobRegistry jobs, StoredJobReader storedJobs) {
    this.gate = gate;
    this.jobs = jobs;
    this.storedJobs = storedJobs;
  }

  /**
   * Cancels a job unless it is done.
   *
   * @param fromMemory whether memory holds all that is committed
   */
  void abort(String uid, boolean fromMemory, Consumer<UserResponse> answer) {
    JobState entry = jobs.get(uid);
    if (fromMemory && entry != null && entry.over() && entry.isKnownUnarchived()) {
      answer.accept(UserResponse.ok(entry.status()));
      return;
    }
    if (entry != null) {
      entry.aborting = true;
    }
    gate.send(
        new StoreRequest.Get(StoreKeys.job(uid)),
        RequestPriority.ABORT,
        reply -> {
          if (!(reply instanceof Reply.Value spec)
              || spec.record() instanceof StoredRecord.Unreadable) {
            abortFailed(uid, answer);
          } else if (!(spec.record() instanceof StoredRecord.JobSpec it)) {
            answerArchived(uid, UserResponse.refused(404, "no such job"), answer);
          } else {
            tryAbort(it.job(), 0, answer);
          }
        });
  }

  /** Answers with the final state of an archived job, or with {@code otherwise}. */
  private void answerArchived(String uid, UserResponse otherwise, Consumer<UserResponse> answer) {
    storedJobs.archived(
        uid,
        RequestPriority.ABORT,
        status -> {
          if (status == null) {
            abortFailed(uid, answer);
          } else {
            answer.accept(status.map(UserResponse::ok).orElse(otherwise));
          }
        });
  }

  private void abortFailed(String uid, Consumer<UserResponse> answer) {
    JobState entry = jobs.get(uid);
    if (entry != null) {
      entry.aborting = false;
    }
    answer.accept(UserResponse.unavailable());
  }

  private void tryAbort(Job job, int tries, Consumer<UserResponse> answer) {
    String uid = job.uid();
    storedJobs.alloc(
        job,
        RequestPriority.ABORT,
        (alloc, version) -> {
          if (alloc == null || tries >= ABORT_TRIES) {
            abortFailed(uid, answer);
            return;
          }
          if (alloc.done()) {
            answer.accept(UserResponse.ok(JobState.status(job, alloc, 0)));
            return;
          }
          gate.send(
              new StoreRequest.Transact(
                  ImmutableList.of(
                      new StoreRequest.Condition(StoreKeys.abort(uid), 0),
                      new StoreRequest.Condition(StoreKeys.alloc(uid), version),
                      // Archived, the job has no alloc record, as one that never started.
                      new StoreRequest.Condition(StoreKeys.ended(uid), 0)),
                  ImmutableList.of(
                      StoreRequest.Change.put(
                          StoreKeys.abort(uid), new StoredRecord.Aborted(uid)))),
              RequestPriority.ABORT,
              reply -> {
                if (reply instanceof Reply.Conflict conflict
                    && conflict.failed().contains(StoreKeys.ended(uid))) {
                  answerArchived(uid, UserResponse.unavailable(), answer);
                  return;
                }
                boolean there =
                    reply instanceof Reply.Conflict conflict
                        && conflict.failed().contains(StoreKeys.abort(uid));
                if (reply instanceof Reply.Committed || there) {
                  jobs.markAborted(uid);
                  answer.accept(UserResponse.ok(StoredJobReader.status(job, alloc, true)));
                } else if (reply instanceof Reply.Conflict) {
                  tryAbort(job, tries + 1, answer);
                } else {
                  abortFailed(uid, answer);
                }
              });
        });
  }
}
