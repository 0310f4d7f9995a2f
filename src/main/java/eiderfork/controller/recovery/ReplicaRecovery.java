package eiderfork.controller.recovery;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.standby.StandbyReplica;
import eiderfork.model.StoredRecord;
import java.util.function.LongConsumer;

/** Brings a new leader's memory up to what is committed from its replica of the store. */
public final class ReplicaRecovery {
  /** Few enough that workers, who wait for replies meanwhile, keep their leases on a slow core. */
  private static final int JOBS_PER_TICK = 1500;

  private static final ImmutableList<String> AFTER_JOBS =
      ImmutableList.of(StoreKeys.RENT_PREFIX, StoreKeys.RETURN_PREFIX);

  private final RangeReader reader;
  private final StoredRecordRestorer restorer;
  private final CancellationTracker cancellations;
  private final FinishedJobLoader finishedJobLoader;

  /** Makes the recovery; it begins with {@link #restore}. */
  public ReplicaRecovery(
      RangeReader reader,
      StoredRecordRestorer restorer,
      CancellationTracker cancellations,
      FinishedJobLoader finishedJobLoader) {
    this.reader = reader;
    this.restorer = restorer;
    this.cancellations = cancellations;
    this.finishedJobLoader = finishedJobLoader;
  }

  /**
   * Restores what the replica holds, in the order in which its keys would be read, and clears it.
   * Cancellations are restored at once, so that workers get replies; jobs are spread over ticks.
   *
   * @param onComplete takes the revision up to which everything is restored
   */
  void restore(StandbyReplica replica, LongConsumer onComplete) {
    restoreRange(replica, StoreKeys.CANCELLATION_PREFIX);
    cancellations.recordCaughtUp(replica.caughtUpMs(StoreKeys.CANCELLATION_PREFIX));
    restoreRange(replica, StoreKeys.CLUSTER_VERSION);
    restoreRange(replica, StoreKeys.MACHINE_TYPES);
    reader.runAtNextTick(() -> restoreJobs(replica, StoreKeys.JOB_PREFIX, onComplete));
  }

  private void restoreRange(StandbyReplica replica, String prefix) {
    replica.items(prefix).forEach(restorer::restore);
  }

  private void restoreJobs(StandbyReplica replica, String afterKey, LongConsumer onComplete) {
    int restored = 0;
    String lastKey = afterKey;
    for (Reply.Item job : replica.itemsAfter(StoreKeys.JOB_PREFIX, afterKey)) {
      if (restored >= JOBS_PER_TICK) {
        String continueAfter = lastKey;
        reader.runAtNextTick(() -> restoreJobs(replica, continueAfter, onComplete));
        return;
      }
      lastKey = job.key();
      if (restoreJob(replica, job)) {
        restored++;
      }
    }
    finish(replica, onComplete);
  }

  /** Restores a job with its allocation; one that is over is left to the loader. */
  private boolean restoreJob(StandbyReplica replica, Reply.Item job) {
    String uid = StoreKeys.withoutPrefix(job.key());
    Reply.Item allocation = replica.item(StoreKeys.ALLOC_PREFIX, StoreKeys.alloc(uid));
    if (isOver(uid, allocation)) {
      finishedJobLoader.restart();
      return false;
    }
    restorer.restore(job);
    if (allocation != null) {
      restorer.restore(allocation);
    }
    return true;
  }

  /** Whether nothing is left to do about a job, and none of its reservations is unsettled. */
  private boolean isOver(String uid, Reply.Item allocationItem) {
    StoredRecord.Allocation allocation = StoredRecord.Allocation.EMPTY;
    if (allocationItem != null
        && allocationItem.record() instanceof StoredRecord.Allocation stored) {
      allocation = stored;
    }
    boolean cancelled = cancellations.contains(uid);
    return allocation.done() || cancelled && allocation.reserved().isEmpty();
  }

  private void finish(StandbyReplica replica, LongConsumer onComplete) {
    AFTER_JOBS.forEach(prefix -> restoreRange(replica, prefix));
    long revision = replica.revision();
    replica.clear("this node leads");
    onComplete.accept(revision);
  }
}
