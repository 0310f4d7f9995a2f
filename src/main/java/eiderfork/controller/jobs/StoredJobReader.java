package eiderfork.controller.jobs;

import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads the records of single jobs from the store. */
final class StoredJobReader {
  /** An allocation record and the version of its key, which is 0 if there is no record. */
  record StoredAllocation(StoredRecord.Allocation allocation, long version) {}

  private final StoreClient store;

  StoredJobReader(StoreClient store) {
    this.store = store;
  }

  /**
   * Reads a job's status.
   *
   * <p>The job may be archived between two of the reads, which removes its other records. So the
   * cancellation is read before the allocation, and if there is no allocation record, the archived
   * record is read last.
   */
  void readStatus(String uid, RequestPriority priority, Consumer<JobLookup> onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.job(uid)),
        priority,
        reply -> {
          if (!isReadable(reply)) {
            onComplete.accept(new JobLookup.Unavailable());
          } else if (recordOf(reply) instanceof StoredRecord.JobSpec spec) {
            readCancellation(spec.job(), priority, onComplete);
          } else {
            readArchivedStatus(uid, priority, onComplete);
          }
        });
  }

  private void readCancellation(Job job, RequestPriority priority, Consumer<JobLookup> onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.cancellation(job.uid())),
        priority,
        reply -> {
          if (reply instanceof Reply.Value value) {
            boolean isCancelled = value.record() != null;
            readAllocationStatus(job, isCancelled, priority, onComplete);
          } else {
            onComplete.accept(new JobLookup.Unavailable());
          }
        });
  }

  private void readAllocationStatus(
      Job job, boolean isCancelled, RequestPriority priority, Consumer<JobLookup> onComplete) {
    readAllocation(
        job.uid(),
        priority,
        stored -> {
          if (stored.isEmpty()) {
            onComplete.accept(new JobLookup.Unavailable());
            return;
          }
          JobLookup found =
              new JobLookup.Found(statusOf(job, stored.get().allocation(), isCancelled));
          if (stored.get().version() > 0) {
            onComplete.accept(found);
          } else {
            readArchivedStatus(
                job.uid(),
                priority,
                archived ->
                    onComplete.accept(archived instanceof JobLookup.NotFound ? found : archived));
          }
        });
  }

  /**
   * Returns the status by a job's records. They do not show which reserved tasks are running, so
   * all of them count as running.
   */
  private static JobStatus statusOf(
      Job job, StoredRecord.Allocation allocation, boolean isCancelled) {
    return isCancelled
        ? JobStatus.cancelled(job.uid(), allocation.finishedTaskCount())
        : JobStatus.of(job, allocation, allocation.reservedTaskCount());
  }

  /** Reads the final status of a job from its archived record, if there is one. */
  void readArchivedStatus(String uid, RequestPriority priority, Consumer<JobLookup> onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.archivedJob(uid)),
        priority,
        reply -> {
          if (!isReadable(reply)) {
            onComplete.accept(new JobLookup.Unavailable());
          } else if (recordOf(reply) instanceof StoredRecord.ArchivedJob archived) {
            onComplete.accept(new JobLookup.Found(JobStatus.archived(uid, archived)));
          } else {
            onComplete.accept(new JobLookup.NotFound());
          }
        });
  }

  /** Reads a job's allocation; empty if the record could not be read. */
  void readAllocation(
      String uid, RequestPriority priority, Consumer<Optional<StoredAllocation>> onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.allocation(uid)),
        priority,
        reply -> onComplete.accept(toStoredAllocation(reply)));
  }

  private static Optional<StoredAllocation> toStoredAllocation(Reply reply) {
    if (!isReadable(reply)) {
      return Optional.empty();
    }
    if (reply instanceof Reply.Value value
        && value.record() instanceof StoredRecord.Allocation allocation) {
      return Optional.of(new StoredAllocation(allocation, value.version()));
    }
    return Optional.of(new StoredAllocation(StoredRecord.Allocation.EMPTY, 0));
  }

  private static boolean isReadable(Reply reply) {
    return reply instanceof Reply.Value value
        && !(value.record() instanceof StoredRecord.Unreadable);
  }

  private static StoredRecord recordOf(Reply reply) {
    return ((Reply.Value) reply).record();
  }
}
