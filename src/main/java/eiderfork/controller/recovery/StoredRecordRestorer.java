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

/** Restores committed records into the parts of a leader's memory to which they belong. */
public final class StoredRecordRestorer {
  private static final Logger LOG = LoggerFactory.getLogger(StoredRecordRestorer.class);

  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final CloudProvisioner cloud;
  private final CancellationTracker cancellations;
  private final ClusterVersion version;

  /** Creates a restorer for these parts of the leader's memory. */
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

  /** Restores one record. An allocation is ignored unless its job has been restored. */
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
   * Adds a submitted job. Jobs and cancellations are read independently, so a job may arrive after
   * its own cancellation.
   *
   * @param revision the revision of the submission, by which jobs are ordered
   */
  void addJob(Job job, long revision) {
    jobs.add(job, revision);
    if (cancellations.contains(job.uid())) {
      jobs.markCancelled(job.uid());
    }
  }

  /** Freezes the job of a record that cannot be read. All other jobs are unaffected. */
  void freezeUnreadable(String key, StoredRecord.Unreadable record) {
    LOG.error("record-unreadable key={} reason={}", key, record.reason());
    if (key.startsWith(StoreKeys.JOB_PREFIX) || key.startsWith(StoreKeys.ALLOCATION_PREFIX)) {
      jobs.freeze(StoreKeys.withoutPrefix(key));
    }
  }
}
