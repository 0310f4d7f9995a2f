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
  private final StoreClient gate;

  StoredJobReader(StoreClient gate) {
    this.gate = gate;
  }

  /**
   * Reads a job's state: null where the service did not say, empty for no such job.
   *
   * <p>A job may be archived between two of the reads, which takes its records away. So the
   * cancellation is read before the alloc record, and the archive last, wherever the alloc record
   * was not there.
   */
  void status(String uid, RequestPriority urgency, Consumer<Optional<JobStatus>> then) {
    gate.send(
        new StoreRequest.Get(StoreKeys.job(uid)),
        urgency,
        reply -> {
          if (!(reply instanceof Reply.Value spec)
              || spec.record() instanceof StoredRecord.Unreadable) {
            then.accept(null);
          } else if (!(spec.record() instanceof StoredRecord.JobSpec it)) {
            archived(uid, urgency, then);
          } else {
            aborted(uid, urgency, aborted -> status(it.job(), aborted, urgency, then));
          }
        });
  }

  private void status(
      Job job, Boolean aborted, RequestPriority urgency, Consumer<Optional<JobStatus>> then) {
    if (aborted == null) {
      then.accept(null);
      return;
    }
    alloc(
        job,
        urgency,
        (alloc, version) -> {
          if (alloc == null) {
            then.accept(null);
          } else if (version > 0) {
            then.accept(Optional.of(status(job, alloc, aborted)));
          } else {
            archived(
                job.uid(),
                urgency,
                archived ->
                    then.accept(
                        archived == null || archived.isPresent()
                            ? archived
                            : Optional.of(status(job, alloc, aborted))));
          }
        });
  }

  /** Reads the final state of an archived job: null where the service did not say. */
  void archived(String uid, RequestPriority urgency, Consumer<Optional<JobStatus>> then) {
    gate.send(
        new StoreRequest.Get(StoreKeys.ended(uid)),
        urgency,
        reply -> {
          if (!(reply instanceof Reply.Value value)
              || value.record() instanceof StoredRecord.Unreadable) {
            then.accept(null);
          } else if (value.record() instanceof StoredRecord.EndedJob it) {
            then.accept(Optional.of(new JobStatus(uid, it.stance(), it.done(), 0)));
          } else {
            then.accept(Optional.empty());
          }
        });
  }

  /** A job's state by its records. */
  static JobStatus status(Job job, StoredRecord.Alloc alloc, boolean aborted) {
    int reserved = 0;
    for (StoredRecord.Span span : alloc.reserved()) {
      reserved += span.to() - span.from() + 1;
    }
    if (aborted) {
      return new JobStatus(job.uid(), JobStatus.Stance.ABORTED, JobState.committedDone(alloc), 0);
    }
    return JobState.status(job, alloc, reserved);
  }

  /** Takes a job's alloc record and its version; null where the service did not say. */
  interface AllocTaker {
    void take(StoredRecord.Alloc alloc, long version);
  }

  /** Reads the alloc record of a job, the empty one where there is none. */
  void alloc(Job job, RequestPriority urgency, AllocTaker then) {
    gate.send(
        new StoreRequest.Get(StoreKeys.alloc(job.uid())),
        urgency,
        reply -> {
          if (!(reply instanceof Reply.Value value)
              || value.record() instanceof StoredRecord.Unreadable) {
            then.take(null, 0);
          } else if (value.record() instanceof StoredRecord.Alloc alloc) {
            then.take(alloc, value.version());
          } else {
            then.take(StoredRecord.Alloc.EMPTY, 0);
          }
        });
  }

  private void aborted(String uid, RequestPriority urgency, Consumer<Boolean> then) {
    gate.send(
        new StoreRequest.Get(StoreKeys.abort(uid)),
        urgency,
        reply -> then.accept(reply instanceof Reply.Value value ? value.record() != null : null));
  }
}
