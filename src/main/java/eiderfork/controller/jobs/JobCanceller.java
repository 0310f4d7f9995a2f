package eiderfork.controller.jobs;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.message.UserResponse;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import java.util.function.Consumer;

/** Writes the cancellations that users request, conditional on the job not being done. */
final class JobCanceller {
  /**
   * The maximum number of attempts. An attempt fails if the allocation changes between its read and
   * the write; a few attempts are enough to get past that.
   */
  private static final int MAX_ATTEMPTS = 5;

  private static final UserResponse NO_SUCH_JOB = UserResponse.refused(404, "no such job");

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
   * @param fromMemory whether memory holds all committed state
   */
  void cancel(String uid, boolean fromMemory, Consumer<UserResponse> onComplete) {
    JobState job = jobs.get(uid);
    if (fromMemory && job != null && job.isTerminal() && job.isKnownNotArchived()) {
      onComplete.accept(UserResponse.ok(job.status()));
      return;
    }
    if (job != null) {
      job.onCancellationBegun();
    }
    store.send(
        new StoreRequest.Get(StoreKeys.job(uid)),
        RequestPriority.ABORT,
        reply -> onSpecRead(uid, reply, onComplete));
  }

  private void onSpecRead(String uid, Reply reply, Consumer<UserResponse> onComplete) {
    if (!(reply instanceof Reply.Value value)
        || value.record() instanceof StoredRecord.Unreadable) {
      onFailed(uid, onComplete);
    } else if (value.record() instanceof StoredRecord.JobSpec spec) {
      tryCancel(spec.job(), 1, onComplete);
    } else {
      respondWithArchivedStatus(uid, NO_SUCH_JOB, onComplete);
    }
  }

  /** Responds with the final status of an archived job, or with {@code whenNotFound}. */
  private void respondWithArchivedStatus(
      String uid, UserResponse whenNotFound, Consumer<UserResponse> onComplete) {
    storedJobs.readArchivedStatus(
        uid,
        RequestPriority.ABORT,
        lookup -> {
          if (lookup instanceof JobLookup.Unavailable) {
            onFailed(uid, onComplete);
          } else {
            onComplete.accept(lookup.toResponse(whenNotFound));
          }
        });
  }

  private void onFailed(String uid, Consumer<UserResponse> onComplete) {
    JobState job = jobs.get(uid);
    if (job != null) {
      job.onCancellationFailed();
    }
    onComplete.accept(UserResponse.unavailable());
  }

  private void tryCancel(Job job, int attempt, Consumer<UserResponse> onComplete) {
    storedJobs.readAllocation(
        job.uid(),
        RequestPriority.ABORT,
        stored -> {
          if (stored.isEmpty() || attempt > MAX_ATTEMPTS) {
            onFailed(job.uid(), onComplete);
          } else if (stored.get().allocation().done()) {
            StoredRecord.Allocation allocation = stored.get().allocation();
            onComplete.accept(UserResponse.ok(JobStatus.of(job, allocation, 0)));
          } else {
            writeCancellation(job, stored.get(), attempt, onComplete);
          }
        });
  }

  private void writeCancellation(
      Job job,
      StoredJobReader.StoredAllocation stored,
      int attempt,
      Consumer<UserResponse> onComplete) {
    String uid = job.uid();
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(
                new StoreRequest.Condition(StoreKeys.cancellation(uid), 0),
                new StoreRequest.Condition(StoreKeys.allocation(uid), stored.version()),
                // An archived job has no allocation, and neither has a job that never started.
                new StoreRequest.Condition(StoreKeys.archivedJob(uid), 0)),
            ImmutableList.of(
                StoreRequest.Change.put(
                    StoreKeys.cancellation(uid), new StoredRecord.Cancellation(uid)))),
        RequestPriority.ABORT,
        reply -> onCancellationReply(job, stored, attempt, reply, onComplete));
  }

  private void onCancellationReply(
      Job job,
      StoredJobReader.StoredAllocation stored,
      int attempt,
      Reply reply,
      Consumer<UserResponse> onComplete) {
    String uid = job.uid();
    if (reply instanceof Reply.Committed) {
      onCancelled(uid, stored.allocation(), onComplete);
    } else if (!(reply instanceof Reply.Conflict conflict)) {
      onFailed(uid, onComplete);
    } else if (conflict.failedKeys().contains(StoreKeys.archivedJob(uid))) {
      respondWithArchivedStatus(uid, UserResponse.unavailable(), onComplete);
    } else if (conflict.failedKeys().contains(StoreKeys.cancellation(uid))) {
      onCancelled(uid, stored.allocation(), onComplete);
    } else {
      tryCancel(job, attempt + 1, onComplete);
    }
  }

  private void onCancelled(
      String uid, StoredRecord.Allocation allocation, Consumer<UserResponse> onComplete) {
    jobs.markCancelled(uid);
    onComplete.accept(UserResponse.ok(JobStatus.cancelled(uid, allocation.finishedTaskCount())));
  }
}
