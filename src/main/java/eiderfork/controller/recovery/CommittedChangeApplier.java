package eiderfork.controller.recovery;

import eiderfork.controller.autoscaling.Autoscaler;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.scheduling.RoundTrigger;
import eiderfork.model.Job;
import eiderfork.model.StoredRecord;

/** Applies the submissions and cancellations that other nodes commit to the leader's memory. */
public final class CommittedChangeApplier {
  private final StoredRecordRestorer restorer;
  private final JobRegistry jobs;
  private final CancellationTracker cancellations;
  private final Autoscaler autoscaler;
  private final RoundTrigger rounds;

  /** Creates an applier for these parts of the leader's memory. */
  public CommittedChangeApplier(
      StoredRecordRestorer restorer,
      JobRegistry jobs,
      CancellationTracker cancellations,
      Autoscaler autoscaler,
      RoundTrigger rounds) {
    this.restorer = restorer;
    this.jobs = jobs;
    this.cancellations = cancellations;
    this.autoscaler = autoscaler;
    this.rounds = rounds;
  }

  /** Applies one change. A change that memory already contains has no effect. */
  public void apply(Reply.Item change) {
    if (change.record() == null) {
      applyRemoval(change.key());
    } else if (change.record() instanceof StoredRecord.Unreadable unreadable) {
      restorer.freezeUnreadable(change.key(), unreadable);
    } else if (change.record() instanceof StoredRecord.JobSpec spec) {
      applySubmission(spec.job(), change.version());
    } else if (change.record() instanceof StoredRecord.Cancellation cancellation) {
      cancellations.recordStored(cancellation.uid());
    }
  }

  private void applySubmission(Job job, long version) {
    if (jobs.get(job.uid()) == null) {
      restorer.addJob(job, version);
      autoscaler.recordArrival(job);
      rounds.request();
    }
  }

  /**
   * Removes an archived job from memory; records of jobs and cancellations are removed from the
   * store only when the job is archived.
   */
  private void applyRemoval(String key) {
    String uid = StoreKeys.withoutPrefix(key);
    if (key.startsWith(StoreKeys.CANCELLATION_PREFIX)) {
      cancellations.recordArchived(uid);
    } else if (key.startsWith(StoreKeys.JOB_PREFIX) && jobs.get(uid) != null) {
      jobs.evict(jobs.get(uid));
    }
  }
}
