package eiderfork.controller;

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

/** Reads jobs and what became of them from the state service. */
final class StoredJobReader {
  private final StoreClient store;

  StoredJobReader(StoreClient store) {
    this.store = store;
  }

  /**
   * Reads a job's state: null where the service did not say, empty for no such job.
   *
   * <p>A job may be archived between two of the reads, which takes its records away. So the
   * cancellation is read before the alloc record, and the archive last, wherever the alloc record
   * was not there.
   */
  void status(String uid, RequestPriority urgency, Consumer<Optional<JobStatus>> onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.job(uid)),
        urgency,
        reply -> {
          if (!(reply instanceof Reply.Value spec)
              || spec.record() instanceof StoredRecord.Unreadable) {
            onComplete.accept(null);
          } else if (!(spec.record() instanceof StoredRecord.JobSpec jobSpec)) {
            readArchivedStatus(uid, urgency, onComplete);
          } else {
            readCancelled(
                uid, urgency, aborted -> status(jobSpec.job(), aborted, urgency, onComplete));
          }
        });
  }

  private void status(
      Job job, Boolean aborted, RequestPriority urgency, Consumer<Optional<JobStatus>> onComplete) {
    if (aborted == null) {
      onComplete.accept(null);
      return;
    }
    readAllocation(
        job,
        urgency,
        (allocation, version) -> {
          if (allocation == null) {
            onComplete.accept(null);
          } else if (version > 0) {
            onComplete.accept(Optional.of(status(job, allocation, aborted)));
          } else {
            readArchivedStatus(
                job.uid(),
                urgency,
                archived ->
                    onComplete.accept(
                        archived == null || archived.isPresent()
                            ? archived
                            : Optional.of(status(job, allocation, aborted))));
          }
        });
  }

  /** Reads the final state of an archived job: null where the service did not say. */
  void readArchivedStatus(
      String uid, RequestPriority urgency, Consumer<Optional<JobStatus>> onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.ended(uid)),
        urgency,
        reply -> {
          if (!(reply instanceof Reply.Value value)
              || value.record() instanceof StoredRecord.Unreadable) {
            onComplete.accept(null);
          } else if (value.record() instanceof StoredRecord.ArchivedJob archived) {
            onComplete.accept(
                Optional.of(new JobStatus(uid, archived.phase(), archived.doneTasks(), 0)));
          } else {
            onComplete.accept(Optional.empty());
          }
        });
  }

  /** A job's state by its records. */
  static JobStatus status(Job job, StoredRecord.Allocation allocation, boolean aborted) {
    int reserved = 0;
    for (StoredRecord.ReservedRange span : allocation.reserved()) {
      reserved += span.to() - span.from() + 1;
    }
    if (aborted) {
      return new JobStatus(
          job.uid(), JobStatus.Phase.ABORTED, JobState.countFinishedTasks(allocation), 0);
    }
    return JobState.status(job, allocation, reserved);
  }

  /** Takes a job's alloc record and its version; null where the service did not say. */
  interface AllocationCallback {
    void accept(StoredRecord.Allocation allocation, long version);
  }

  /** Reads the alloc record of a job, the empty one where there is none. */
  void readAllocation(Job job, RequestPriority urgency, AllocationCallback then) {
    store.send(
        new StoreRequest.Get(StoreKeys.alloc(job.uid())),
        urgency,
        reply -> {
          if (!(reply instanceof Reply.Value value)
              || value.record() instanceof StoredRecord.Unreadable) {
            then.accept(null, 0);
          } else if (value.record() instanceof StoredRecord.Allocation allocation) {
            then.accept(allocation, value.version());
          } else {
            then.accept(StoredRecord.Allocation.EMPTY, 0);
          }
        });
  }

  private void readCancelled(String uid, RequestPriority urgency, Consumer<Boolean> onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.cancellation(uid)),
        urgency,
        reply ->
            onComplete.accept(reply instanceof Reply.Value value ? value.record() != null : null));
  }
}
