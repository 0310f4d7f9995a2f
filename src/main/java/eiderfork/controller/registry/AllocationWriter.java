package eiderfork.controller.registry;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the allocations of jobs. Each job has at most one compare-and-swap transaction in flight,
 * which is retried under the same conditions until it is known whether it was applied.
 */
final class AllocationWriter {
  private static final Logger LOG = LoggerFactory.getLogger(AllocationWriter.class);

  /**
   * A write in flight, with the reservations that it commits and the settlements that it records
   * once it is applied.
   */
  private record PendingWrite(
      JobState job,
      StoredRecord.Allocation allocation,
      ImmutableList<Reservation> proposed,
      ImmutableList<Reservation> settled,
      RequestPriority priority) {
    String uid() {
      return job.spec().uid();
    }
  }

  /** A request that is sent again once its job's backoff is over. */
  private record Retry(JobState job, Runnable request) {}

  private final ControllerContext context;
  private final StoreClient store;
  private final LeaderElection election;
  private final ClusterVersion version;
  private final JobRegistry jobs;
  private final List<Retry> retries = new ArrayList<>();

  AllocationWriter(
      ControllerContext context,
      StoreClient store,
      LeaderElection election,
      ClusterVersion version,
      JobRegistry jobs) {
    this.context = context;
    this.store = store;
    this.election = election;
    this.version = version;
    this.jobs = jobs;
  }

  /** Sends the retries that are due. */
  void tick() {
    if (retries.isEmpty()) {
      return;
    }
    List<Retry> scheduled = List.copyOf(retries);
    retries.clear();
    for (Retry retry : scheduled) {
      if (retry.job.writes().isRetryDue(context.nowMs())) {
        retry.request.run();
      } else {
        retries.add(retry);
      }
    }
  }

  /** Writes all changes of a job's allocation in one transaction. */
  void write(JobState job, RequestPriority priority) {
    StoredRecord.Allocation allocation = AllocationRecordBuilder.build(job);
    ImmutableList<Reservation> proposed =
        job.reservations().values().stream()
            .filter(reservation -> !reservation.isCommitted())
            .collect(ImmutableList.toImmutableList());
    ImmutableList<Reservation> settled = ImmutableList.copyOf(job.tasks().uncommittedSettlements());
    job.writes().onWriteBegun(allocation, context.nowMs());
    send(new PendingWrite(job, allocation, proposed, settled, priority));
  }

  /**
   * Removes the job record that a delayed duplicate of an archived job's submission has created.
   */
  void removeStaleSpec(JobState job) {
    String key = StoreKeys.job(job.spec().uid());
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(
                election.leaderCondition(), new StoreRequest.Condition(key, job.specVersion())),
            ImmutableList.of(StoreRequest.Change.remove(key))),
        RequestPriority.CLEANUP,
        reply -> {});
  }

  private void send(PendingWrite write) {
    if (isStale(write)) {
      return;
    }
    StoreRequest.Change change =
        StoreRequest.Change.put(
            StoreKeys.allocation(write.uid()), toShortestReadableForm(write.allocation));
    store.send(
        new StoreRequest.Transaction(conditions(write.job), ImmutableList.of(change)),
        write.priority,
        reply -> onReply(write, reply));
  }

  private boolean isStale(PendingWrite write) {
    return !isInMemory(write.job) || !election.isLeading();
  }

  private boolean isInMemory(JobState job) {
    return jobs.get(job.spec().uid()) == job;
  }

  /** Returns the record in the shortest form that every member can read. */
  private StoredRecord toShortestReadableForm(StoredRecord.Allocation allocation) {
    if (version.isSupportedByAll(ClusterVersion.BITMAP_ALLOCS)) {
      return new StoredRecord.BitmapAllocation(allocation);
    }
    return version.isSupportedByAll(ClusterVersion.PACKED_ALLOCS)
        ? new StoredRecord.PackedAllocation(allocation)
        : allocation;
  }

  private ImmutableList<StoreRequest.Condition> conditions(JobState job) {
    String uid = job.spec().uid();
    long committedVersion = job.writes().version();
    ImmutableList.Builder<StoreRequest.Condition> conditions = ImmutableList.builder();
    conditions.add(election.leaderCondition());
    conditions.add(new StoreRequest.Condition(StoreKeys.allocation(uid), committedVersion));
    conditions.add(new StoreRequest.Condition(StoreKeys.cancellation(uid), 0));
    if (committedVersion == 0) {
      // Version 0 also matches an archived job, which has no allocation; it must not start again.
      conditions.add(new StoreRequest.Condition(StoreKeys.archivedJob(uid), 0));
    }
    return conditions.build();
  }

  private void onReply(PendingWrite write, Reply reply) {
    if (!isInMemory(write.job)) {
      return;
    }
    if (reply instanceof Reply.Committed committed) {
      onApplied(write, committed.revision());
    } else if (reply instanceof Reply.Conflict conflict) {
      onConflict(write, conflict);
    } else if (reply instanceof Reply.Refused refused && refused.isMalformed()) {
      onTooLarge(write);
    } else {
      // The write may still be applied. A retry under the same conditions is safe.
      retryLater(write.job, () -> send(write));
    }
  }

  private void retryLater(JobState job, Runnable request) {
    job.writes().scheduleRetry(context.nowMs(), context.random);
    retries.add(new Retry(job, request));
  }

  private void onApplied(PendingWrite write, long committedVersion) {
    JobState job = write.job;
    job.writes().onApplied(write.allocation, committedVersion);
    for (Reservation reservation : write.proposed) {
      reservation.onCommitted();
      if (job.tasks().holds(reservation)) {
        reservation.machine().requestCommand();
      }
    }
    job.tasks().onSettlementsCommitted(write.settled);
    jobs.refreshIndexes(job);
    if (write.allocation.done()) {
      LOG.debug("job-done job={}", write.uid());
    }
    if (job.isCancelled()) {
      jobs.dropUncommittedReservations(job);
    }
    jobs.retireIfTerminal(job);
  }

  private void onConflict(PendingWrite write, Reply.Conflict conflict) {
    String uid = write.uid();
    if (conflict.failedKeys().contains(StoreKeys.LEADER)) {
      election.onLeaderConditionFailed();
    } else if (conflict.failedKeys().contains(StoreKeys.archivedJob(uid))) {
      LOG.info("archived-job-resubmitted job={}", uid);
      jobs.evict(write.job);
      removeStaleSpec(write.job);
    } else if (conflict.failedKeys().contains(StoreKeys.allocation(uid))) {
      onAllocationChanged(write, conflict.failedKeys().contains(StoreKeys.cancellation(uid)));
    } else {
      onCancelled(write.job);
    }
  }

  /**
   * Handles a conflict on the allocation key. Only the leader writes this key, so an earlier copy
   * of this write must have been applied; if the stored record is a different one, the leader
   * resigns.
   */
  private void onAllocationChanged(PendingWrite write, boolean isCancelled) {
    readBack(
        write,
        stored -> {
          if (!applyIfStored(write, stored)) {
            resignOnMismatch(write);
          } else if (isCancelled) {
            jobs.markCancelled(write.uid());
          }
        });
  }

  private void resignOnMismatch(PendingWrite write) {
    LOG.error("allocation-mismatch job={} action=resign", write.uid());
    election.resign(0);
  }

  private void onCancelled(JobState job) {
    job.writes().onNotApplied();
    jobs.markCancelled(job.spec().uid());
    jobs.dropUncommittedReservations(job);
    jobs.retireIfTerminal(job);
  }

  /**
   * Handles a record that is larger than the store now accepts. An earlier copy of the write may
   * have been applied before the limit was lowered, but none can be applied after this reply.
   */
  private void onTooLarge(PendingWrite write) {
    readBack(
        write,
        stored -> {
          if (stored.version() == write.job.writes().version()) {
            withdrawOversizeWrite(write);
          } else if (!applyIfStored(write, stored)) {
            resignOnMismatch(write);
          }
        });
  }

  private void readBack(PendingWrite write, Consumer<Reply.Value> onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.allocation(write.uid())),
        RequestPriority.START,
        reply -> {
          if (isStale(write)) {
            return;
          }
          if (reply instanceof Reply.Value stored) {
            onComplete.accept(stored);
          } else {
            retryLater(write.job, () -> readBack(write, onComplete));
          }
        });
  }

  private boolean applyIfStored(PendingWrite write, Reply.Value stored) {
    if (!write.allocation.equals(stored.record())) {
      return false;
    }
    onApplied(write, stored.version());
    return true;
  }

  /**
   * Returns the tasks of the proposed reservations to pending and schedules a new write, which
   * begins once the oversize backoff is over.
   */
  private void withdrawOversizeWrite(PendingWrite write) {
    JobState job = write.job;
    LOG.info("allocation-too-large job={}", write.uid());
    job.writes().onTooLarge(context.nowMs(), context.random);
    for (Reservation reservation : write.proposed) {
      if (job.tasks().holds(reservation) && !job.isCancelled()) {
        jobs.withdrawProposal(reservation);
      }
    }
    if (job.isCancelled()) {
      jobs.dropUncommittedReservations(job);
    } else {
      job.writes().onChanged();
      jobs.refreshIndexes(job);
    }
    jobs.retireIfTerminal(job);
  }
}
