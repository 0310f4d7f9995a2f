package eiderfork.core;

import eiderfork.core.message.Keys;
import eiderfork.core.message.Reply;
import eiderfork.core.message.StateOp;
import eiderfork.core.state.StateGate;
import eiderfork.core.state.Urgency;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;
import eiderfork.model.Record;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads jobs and what became of them from the state service. */
final class StoredJobs {
  private final StateGate gate;

  StoredJobs(StateGate gate) {
    this.gate = gate;
  }

  /**
   * Reads a job's state: null where the service did not say, empty for no such job.
   *
   * <p>A job may be archived between two of the reads, which takes its records away. So the
   * cancellation is read before the alloc record, and the archive last, wherever the alloc record
   * was not there.
   */
  void status(String uid, Urgency urgency, Consumer<Optional<JobStatus>> then) {
    gate.send(
        new StateOp.Get(Keys.job(uid)),
        urgency,
        reply -> {
          if (!(reply instanceof Reply.Value spec) || spec.record() instanceof Record.Unreadable) {
            then.accept(null);
          } else if (!(spec.record() instanceof Record.JobSpec it)) {
            archived(uid, urgency, then);
          } else {
            aborted(uid, urgency, aborted -> status(it.job(), aborted, urgency, then));
          }
        });
  }

  private void status(
      Job job, Boolean aborted, Urgency urgency, Consumer<Optional<JobStatus>> then) {
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
  void archived(String uid, Urgency urgency, Consumer<Optional<JobStatus>> then) {
    gate.send(
        new StateOp.Get(Keys.ended(uid)),
        urgency,
        reply -> {
          if (!(reply instanceof Reply.Value value)
              || value.record() instanceof Record.Unreadable) {
            then.accept(null);
          } else if (value.record() instanceof Record.EndedJob it) {
            then.accept(Optional.of(new JobStatus(uid, it.stance(), it.done(), 0)));
          } else {
            then.accept(Optional.empty());
          }
        });
  }

  /** A job's state by its records. */
  static JobStatus status(Job job, Record.Alloc alloc, boolean aborted) {
    int reserved = 0;
    for (Record.Span span : alloc.reserved()) {
      reserved += span.to() - span.from() + 1;
    }
    if (aborted) {
      return new JobStatus(job.uid(), JobStatus.Stance.ABORTED, JobEntry.committedDone(alloc), 0);
    }
    return JobEntry.status(job, alloc, reserved);
  }

  /** Takes a job's alloc record and its version; null where the service did not say. */
  interface AllocTaker {
    void take(Record.Alloc alloc, long version);
  }

  /** Reads the alloc record of a job, the empty one where there is none. */
  void alloc(Job job, Urgency urgency, AllocTaker then) {
    gate.send(
        new StateOp.Get(Keys.alloc(job.uid())),
        urgency,
        reply -> {
          if (!(reply instanceof Reply.Value value)
              || value.record() instanceof Record.Unreadable) {
            then.take(null, 0);
          } else if (value.record() instanceof Record.Alloc alloc) {
            then.take(alloc, value.version());
          } else {
            then.take(Record.Alloc.EMPTY, 0);
          }
        });
  }

  private void aborted(String uid, Urgency urgency, Consumer<Boolean> then) {
    gate.send(
        new StateOp.Get(Keys.abort(uid)),
        urgency,
        reply -> then.accept(reply instanceof Reply.Value value ? value.record() != null : null));
  }
}
