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
  private static final int MAX_ATTEMPTS = 5;

  private final StoreClient store;
  private final JobRegistry jobs;
  private final StoredJobReader storedJobs;

  JobCanceller(StoreClient store, JobRegistry jobs, StoredJobReader storedJobs) {
    this.store = store;
    this.jobs = jobs;
    this.storedJobs = storedJobs;
  }

  /**
   * Cancels a job unless it is done.
   *
   * @param fromMemory whether memory holds all that is committed
   */
  void cancel(String uid, boolean fromMemory, Consumer<UserResponse> answer) {
    JobState job = jobs.get(uid);
    if (fromMemory && job != null && job.isTerminal() && job.isKnownNotArchived()) {
      answer.accept(UserResponse.ok(job.status()));
      return;
    }
    if (job != null) {
      job.cancelling = true;
    }
    store.send(
        new StoreRequest.Get(StoreKeys.job(uid)),
        RequestPriority.ABORT,
        reply -> {
          if (!(reply instanceof Reply.Value spec)
              || spec.record() instanceof StoredRecord.Unreadable) {
            onFailed(uid, answer);
          } else if (!(spec.record() instanceof StoredRecord.JobSpec jobSpec)) {
            respondWithArchivedStatus(uid, UserResponse.refused(404, "no such job"), answer);
          } else {
            tryCancel(jobSpec.job(), 0, answer);
          }
        });
  }

  /** Answers with the final state of an archived job, or with {@code otherwise}. */
  private void respondWithArchivedStatus(
      String uid, UserResponse otherwise, Consumer<UserResponse> answer) {
    storedJobs.readArchivedStatus(
        uid,
        RequestPriority.ABORT,
        status -> {
          if (status == null) {
            onFailed(uid, answer);
          } else {
            answer.accept(status.map(UserResponse::ok).orElse(otherwise));
          }
        });
  }

  private void onFailed(String uid, Consumer<UserResponse> answer) {
    JobState job = jobs.get(uid);
    if (job != null) {
      job.cancelling = false;
    }
    answer.accept(UserResponse.unavailable());
  }

  private void tryCancel(Job job, int tries, Consumer<UserResponse> answer) {
    String uid = job.uid();
    storedJobs.readAllocation(
        job,
        RequestPriority.ABORT,
        (allocation, version) -> {
          if (allocation == null || tries >= MAX_ATTEMPTS) {
            onFailed(uid, answer);
            return;
          }
          if (allocation.done()) {
            answer.accept(UserResponse.ok(JobState.status(job, allocation, 0)));
            return;
          }
          store.send(
              new StoreRequest.Transaction(
                  ImmutableList.of(
                      new StoreRequest.Condition(StoreKeys.cancellation(uid), 0),
                      new StoreRequest.Condition(StoreKeys.alloc(uid), version),
                      // Archived, the job has no alloc record, as one that never started.
                      new StoreRequest.Condition(StoreKeys.ended(uid), 0)),
                  ImmutableList.of(
                      StoreRequest.Change.put(
                          StoreKeys.cancellation(uid), new StoredRecord.Cancellation(uid)))),
              RequestPriority.ABORT,
              reply -> {
                if (reply instanceof Reply.Conflict conflict
                    && conflict.failedKeys().contains(StoreKeys.ended(uid))) {
                  respondWithArchivedStatus(uid, UserResponse.unavailable(), answer);
                  return;
                }
                boolean there =
                    reply instanceof Reply.Conflict conflict
                        && conflict.failedKeys().contains(StoreKeys.cancellation(uid));
                if (reply instanceof Reply.Committed || there) {
                  jobs.markCancelled(uid);
                  answer.accept(UserResponse.ok(StoredJobReader.status(job, allocation, true)));
                } else if (reply instanceof Reply.Conflict) {
                  tryCancel(job, tries + 1, answer);
                } else {
                  onFailed(uid, answer);
                }
              });
        });
  }
}
