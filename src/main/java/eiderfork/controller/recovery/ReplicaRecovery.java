package eiderfork.controller.recovery;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.standby.StandbyReplica;
import eiderfork.model.StoredRecord;
import java.util.function.LongConsumer;

/** Recovers a new leader's state from its replica of the store. */
public final class ReplicaRecovery {
  /**
   * The maximum number of jobs restored per tick. It is low enough that even on a slow core
   * workers, which wait for responses meanwhile, keep their leases.
   */
  private static final int JOBS_PER_TICK = 1500;

  private static final ImmutableList<String> RANGES_AFTER_JOBS =
      ImmutableList.of(StoreKeys.SCALE_OUT_INTENT_PREFIX, StoreKeys.SCALE_IN_INTENT_PREFIX);

  private final RangeReader reader;
  private final StoredRecordRestorer restorer;
  private final CancellationTracker cancellations;
  private final FinishedJobLoader finishedJobLoader;

  /** Creates a recovery, which starts when {@link #restore} is called. */
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
   * Restores the contents of the replica in the order in which a full read would read the keys, and
   * then clears the replica. Cancellations are restored at once, so that workers get responses;
   * jobs are spread over several ticks.
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
        String nextAfterKey = lastKey;
        reader.runAtNextTick(() -> restoreJobs(replica, nextAfterKey, onComplete));
        return;
      }
      lastKey = job.key();
      if (restoreJob(replica, job)) {
        restored++;
      }
    }
    finish(replica, onComplete);
  }

  /**
   * Restores a job with its allocation, unless the job is finished; those are left to the {@link
   * FinishedJobLoader}.
   *
   * @return whether the job was restored
   */
  private boolean restoreJob(StandbyReplica replica, Reply.Item job) {
    String uid = StoreKeys.withoutPrefix(job.key());
    Reply.Item allocation = replica.item(StoreKeys.ALLOCATION_PREFIX, StoreKeys.allocation(uid));
    if (isFinished(uid, allocation)) {
      finishedJobLoader.requestFullLoad();
      return false;
    }
    restorer.restore(job);
    if (allocation != null) {
      restorer.restore(allocation);
    }
    return true;
  }

  /**
   * Returns whether a job is done, or is cancelled without any unsettled reservation, so that
   * nothing is left to do for it.
   */
  private boolean isFinished(String uid, Reply.Item allocationItem) {
    StoredRecord.Allocation allocation = StoredRecord.Allocation.EMPTY;
    if (allocationItem != null
        && allocationItem.record() instanceof StoredRecord.Allocation stored) {
      allocation = stored;
    }
    boolean cancelled = cancellations.contains(uid);
    return allocation.done() || cancelled && allocation.reserved().isEmpty();
  }

  private void finish(StandbyReplica replica, LongConsumer onComplete) {
    RANGES_AFTER_JOBS.forEach(prefix -> restoreRange(replica, prefix));
    long revision = replica.revision();
    replica.clear("this node leads");
    onComplete.accept(revision);
  }
}
