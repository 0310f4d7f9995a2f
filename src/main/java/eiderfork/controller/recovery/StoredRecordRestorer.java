package eiderfork.controller.recovery;

import eiderfork.controller.autoscaling.CloudProvisioner;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.model.Job;
import eiderfork.model.StoredRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Puts committed records into a leader's memory, each where it belongs. */
public final class StoredRecordRestorer {
  private static final Logger LOG = LoggerFactory.getLogger(StoredRecordRestorer.class);

  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final CloudProvisioner cloud;
  private final CancellationTracker cancellations;
  private final ClusterVersion version;

  /** Makes a restorer into these parts of the leader's memory. */
  public StoredRecordRestorer(
      JobRegistry jobs,
      MachineRegistry fleet,
      CloudProvisioner cloud,
      CancellationTracker cancellations,
      ClusterVersion version) {
    this.jobs = jobs;
    this.fleet = fleet;
    this.cloud = cloud;
    this.cancellations = cancellations;
    this.version = version;
  }

  /** Restores one record; an allocation only where its job is restored already. */
  void restore(Reply.Item item) {
    StoredRecord record = item.record();
    if (record instanceof StoredRecord.Unreadable unreadable) {
      freezeUnreadable(item.key(), unreadable);
    } else if (record instanceof StoredRecord.JobSpec spec) {
      addJob(spec.job(), item.version());
    } else if (record instanceof StoredRecord.Allocation allocation) {
      restoreAllocation(item, allocation);
    } else if (record instanceof StoredRecord.Cancellation cancellation) {
      cancellations.recordStored(cancellation.uid());
    } else if (record instanceof StoredRecord.ScaleOutIntent intent) {
      cloud.scaleOut().restore(intent);
    } else if (record instanceof StoredRecord.ScaleInIntent intent) {
      cloud.scaleIn().restore(item.key(), intent);
    } else if (record instanceof StoredRecord.StoredVersion stored) {
      version.recordStored(stored, item.version());
    } else if (record instanceof StoredRecord.MachineTypes types) {
      fleet.updateTypes(types.types());
    }
  }

  private void restoreAllocation(Reply.Item item, StoredRecord.Allocation allocation) {
    JobState job = jobs.get(StoreKeys.withoutPrefix(item.key()));
    if (job != null) {
      jobs.restoreAllocation(job, allocation, item.version(), fleet);
    }
  }

  /**
   * Adds a submitted job. Jobs and cancellations are read side by side, so that a job may come
   * after its own cancellation.
   *
   * @param order the revision of the submission, by which jobs are ordered
   */
  void addJob(Job job, long order) {
    jobs.add(job, order);
    if (cancellations.contains(job.uid())) {
      jobs.markCancelled(job.uid());
    }
  }

  /** Freezes the job of a record that can't be read; all others go on without it. */
  void freezeUnreadable(String key, StoredRecord.Unreadable record) {
    LOG.error("record-unreadable key={} reason={}", key, record.reason());
    if (key.startsWith(StoreKeys.JOB_PREFIX) || key.startsWith(StoreKeys.ALLOC_PREFIX)) {
      jobs.freeze(StoreKeys.withoutPrefix(key));
    }
  }
}
