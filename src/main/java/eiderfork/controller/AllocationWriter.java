package eiderfork.controller;

import com.google.common.collect.ImmutableList;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the alloc records of jobs: one conditional write at a time for a job, repeated under the
 * same conditions until it is known whether it was applied.
 */
final class AllocationWriter {
  private static final Logger LOG = LoggerFactory.getLogger(AllocationWriter.class);

  /** A write under way, and what memory holds as settled or reserved once it is applied. */
  private record PendingWrite(
      JobState job,
      StoredRecord.Allocation allocation,
      ImmutableList<Reservation> proposed,
      ImmutableList<Reservation> settled,
      RequestPriority urgency) {}

  private final ControllerContext context;
  private final StoreClient store;
  private final LeaderElection election;
  private final ClusterVersion version;
  private final JobRegistry jobs;

  /** What is tried again once its backoff is over. */
  private final List<Runnable> retries = new ArrayList<>();

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

  /** Writes what changed of a job, in one conditional write. */
  void write(JobState job, RequestPriority urgency) {
    StoredRecord.Allocation record = job.toAllocation();
    ImmutableList.Builder<Reservation> proposed = ImmutableList.builder();
    for (Reservation reservation : job.reservations.values()) {
      if (!reservation.committed) {
        proposed.add(reservation);
      }
    }
    ImmutableList<Reservation> settled = ImmutableList.copyOf(job.uncommittedSettlements);
    job.dirty = false;
    job.writeInFlight = true;
    job.completionWriteInFlight = record.done();
    job.lastWriteMs = context.nowMs;
    send(new PendingWrite(job, record, proposed.build(), settled, urgency));
  }

  void tick() {
    if (!retries.isEmpty()) {
      List<Runnable> due = new ArrayList<>(retries);
      retries.clear();
      due.forEach(Runnable::run);
    }
  }

  private boolean isStale(PendingWrite write) {
    return jobs.get(write.job.spec.uid()) != write.job || !election.isLeading();
  }

  private void send(PendingWrite write) {
    if (isStale(write)) {
      return;
    }
    String uid = write.job.spec.uid();
    StoreRequest.Change change =
        StoreRequest.Change.put(StoreKeys.alloc(uid), toNewestForm(write.allocation));
    store.send(
        new StoreRequest.Transaction(conditions(write.job), ImmutableList.of(change)),
        write.urgency,
        reply -> onReply(write, reply));
  }

  /** The record in the shortest form that every member reads. */
  private StoredRecord toNewestForm(StoredRecord.Allocation record) {
    if (version.isSupportedByAll(ClusterVersion.BITMAP_ALLOCS)) {
      return new StoredRecord.BitmapAllocation(record);
    }
    return version.isSupportedByAll(ClusterVersion.PACKED_ALLOCS)
        ? new StoredRecord.PackedAllocation(record)
        : record;
  }

  private ImmutableList<StoreRequest.Condition> conditions(JobState job) {
    String uid = job.spec.uid();
    ImmutableList.Builder<StoreRequest.Condition> conditions = ImmutableList.builder();
    conditions.add(election.leaderCondition());
    conditions.add(new StoreRequest.Condition(StoreKeys.alloc(uid), job.allocationVersion));
    conditions.add(new StoreRequest.Condition(StoreKeys.cancellation(uid), 0));
    if (job.allocationVersion == 0) {
      // An archived job has no alloc record either; nothing of it may start again.
      conditions.add(new StoreRequest.Condition(StoreKeys.ended(uid), 0));
    }
    return conditions.build();
  }

  /** Removes the record that a late copy of an archived job's submission has left. */
  void removeStaleSpec(JobState job) {
    String key = StoreKeys.job(job.spec.uid());
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(
                election.leaderCondition(), new StoreRequest.Condition(key, job.specVersion)),
            ImmutableList.of(StoreRequest.Change.remove(key))),
        RequestPriority.CLEANUP,
        reply -> {});
  }

  private void onReply(PendingWrite write, Reply reply) {
    if (jobs.get(write.job.spec.uid()) != write.job) {
      return;
    }
    if (reply instanceof Reply.Committed committed) {
      onApplied(write, committed.revision());
    } else if (reply instanceof Reply.Conflict conflict) {
      onConflict(write, conflict);
    } else if (reply instanceof Reply.Refused refused && refused.isMalformed()) {
      onTooLarge(write);
    } else {
      // It may still apply: the same write under the same conditions is safe to repeat.
      retryLater(write.job, () -> send(write));
    }
  }

  private void retryLater(JobState job, Runnable retry) {
    job.writeRetryAtMs = context.nowMs + job.writeBackoff.nextPauseMs(context.random);
    retries.add(
        new Runnable() {
          @Override
          public void run() {
            if (context.nowMs < job.writeRetryAtMs) {
              retries.add(this);
            } else {
              retry.run();
            }
          }
        });
  }

  private void onApplied(PendingWrite write, long version) {
    JobState job = write.job;
    job.writeInFlight = false;
    job.completionWriteInFlight = false;
    job.writeBackoff.reset();
    job.committedAllocation = write.allocation;
    job.allocationVersion = version;
    for (Reservation reservation : write.proposed) {
      reservation.committed = true;
      if (job.reservations.get(reservation.taskIndex) == reservation) {
        reservation.machine.requestCommand();
      }
    }
    write.settled.forEach(job.uncommittedSettlements::remove);
    jobs.refreshIndexes(job);
    if (write.allocation.done()) {
      LOG.debug("job {} is done", job.spec.uid());
    }
    if (job.cancelled) {
      jobs.dropUncommittedReservations(job);
    }
    jobs.retireIfTerminal(job);
  }

  private void onConflict(PendingWrite write, Reply.Conflict conflict) {
    JobState job = write.job;
    String uid = job.spec.uid();
    if (conflict.failedKeys().contains(StoreKeys.LEADER)) {
      election.leaderConditionFailed();
      return;
    }
    if (conflict.failedKeys().contains(StoreKeys.ended(uid))) {
      LOG.info("{} is archived; a late copy of its submission brought it back", uid);
      jobs.evict(job);
      removeStaleSpec(job);
      return;
    }
    if (conflict.failedKeys().contains(StoreKeys.alloc(uid))) {
      // Only the leader writes this key, so an earlier copy of this write has been applied.
      boolean aborted = conflict.failedKeys().contains(StoreKeys.cancellation(uid));
      readBack(
          write,
          value -> {
            if (!applyIfStored(write, value)) {
              LOG.error("alloc of {} is not what this leader wrote", uid);
              election.resign(0);
            } else if (aborted) {
              jobs.markCancelled(uid);
            }
          });
      return;
    }
    job.writeInFlight = false;
    job.completionWriteInFlight = false;
    jobs.markCancelled(uid);
    jobs.dropUncommittedReservations(job);
    jobs.retireIfTerminal(job);
  }

  /**
   * The record is larger than the service takes now. An earlier copy of the write may have been
   * applied before the limit fell, but none can be after this answer.
   */
  private void onTooLarge(PendingWrite write) {
    readBack(
        write,
        value -> {
          if (value.version() == write.job.allocationVersion) {
            onNotApplied(write);
          } else if (!applyIfStored(write, value)) {
            LOG.error("alloc of {} is not what this leader wrote", write.job.spec.uid());
            election.resign(0);
          }
        });
  }

  private void readBack(PendingWrite write, java.util.function.Consumer<Reply.Value> onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.alloc(write.job.spec.uid())),
        RequestPriority.START,
        reply -> {
          if (isStale(write)) {
            return;
          }
          if (reply instanceof Reply.Value value) {
            onComplete.accept(value);
          } else {
            retryLater(write.job, () -> readBack(write, onComplete));
          }
        });
  }

  private boolean applyIfStored(PendingWrite write, Reply.Value value) {
    if (!write.allocation.equals(value.record())) {
      return false;
    }
    onApplied(write, value.version());
    return true;
  }

  /**
   * What was to be reserved waits for its turn again. The job is written anew once more of its
   * tasks have ended, or after a while.
   */
  private void onNotApplied(PendingWrite write) {
    JobState job = write.job;
    LOG.info("alloc of {} is too large to be written", job.spec.uid());
    job.writeInFlight = false;
    job.completionWriteInFlight = false;
    job.blockWritesUntil(context.nowMs + job.oversizeBackoff.nextPauseMs(context.random));
    for (Reservation reservation : write.proposed) {
      if (job.reservations.get(reservation.taskIndex) == reservation && !job.cancelled) {
        jobs.withdrawProposal(reservation);
      }
    }
    if (job.cancelled) {
      jobs.dropUncommittedReservations(job);
    } else {
      job.dirty = true;
      jobs.refreshIndexes(job);
    }
    jobs.retireIfTerminal(job);
  }
}
