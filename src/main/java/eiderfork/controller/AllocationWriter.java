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
  private record Write(
      JobState entry,
      StoredRecord.Alloc record,
      ImmutableList<Reservation> proposed,
      ImmutableList<Reservation> settled,
      RequestPriority urgency) {}

  private final ControllerContext context;
  private final StoreClient gate;
  private final LeaderElection term;
  private final ClusterVersion version;
  private final JobRegistry jobs;

  /** What is tried again once its backoff is over. */
  private final List<Runnable> repeats = new ArrayList<>();

  AllocationWriter(
      ControllerContext context,
      StoreClient gate,
      LeaderElection term,
      ClusterVersion version,
      JobRegistry jobs) {
    this.context = context;
    this.gate = gate;
    this.term = term;
    this.version = version;
    this.jobs = jobs;
  }

  /** Writes what changed of a job, in one conditional write. */
  void write(JobState entry, RequestPriority urgency) {
    StoredRecord.Alloc record = entry.toRecord();
    ImmutableList.Builder<Reservation> proposed = ImmutableList.builder();
    for (Reservation p : entry.placed.values()) {
      if (!p.committed) {
        proposed.add(p);
      }
    }
    ImmutableList<Reservation> settled = ImmutableList.copyOf(entry.uncommitted);
    entry.dirty = false;
    entry.writing = true;
    entry.ending = record.done();
    entry.writtenMs = context.nowMs;
    send(new Write(entry, record, proposed.build(), settled, urgency));
  }

  void tick() {
    if (!repeats.isEmpty()) {
      List<Runnable> due = new ArrayList<>(repeats);
      repeats.clear();
      due.forEach(Runnable::run);
    }
  }

  private boolean isStale(Write write) {
    return jobs.get(write.entry.job.uid()) != write.entry || !term.leading();
  }

  private void send(Write write) {
    if (isStale(write)) {
      return;
    }
    String uid = write.entry.job.uid();
    StoreRequest.Change change =
        StoreRequest.Change.put(StoreKeys.alloc(uid), inNewestForm(write.record));
    gate.send(
        new StoreRequest.Transact(conditions(write.entry), ImmutableList.of(change)),
        write.urgency,
        reply -> answered(write, reply));
  }

  /** The record in the shortest form that every member reads. */
  private StoredRecord inNewestForm(StoredRecord.Alloc record) {
    if (version.allows(ClusterVersion.BITMAP_ALLOCS)) {
      return new StoredRecord.BitmapAlloc(record);
    }
    return version.allows(ClusterVersion.PACKED_ALLOCS)
        ? new StoredRecord.PackedAlloc(record)
        : record;
  }

  private ImmutableList<StoreRequest.Condition> conditions(JobState entry) {
    String uid = entry.job.uid();
    ImmutableList.Builder<StoreRequest.Condition> conditions = ImmutableList.builder();
    conditions.add(term.condition());
    conditions.add(new StoreRequest.Condition(StoreKeys.alloc(uid), entry.allocVersion));
    conditions.add(new StoreRequest.Condition(StoreKeys.abort(uid), 0));
    if (entry.allocVersion == 0) {
      // An archived job has no alloc record either; nothing of it may start again.
      conditions.add(new StoreRequest.Condition(StoreKeys.ended(uid), 0));
    }
    return conditions.build();
  }

  /** Removes the record that a late copy of an archived job's submission has left. */
  void removeCopy(JobState entry) {
    String key = StoreKeys.job(entry.job.uid());
    gate.send(
        new StoreRequest.Transact(
            ImmutableList.of(term.condition(), new StoreRequest.Condition(key, entry.order)),
            ImmutableList.of(StoreRequest.Change.remove(key))),
        RequestPriority.CLEANUP,
        reply -> {});
  }

  private void answered(Write write, Reply reply) {
    if (jobs.get(write.entry.job.uid()) != write.entry) {
      return;
    }
    if (reply instanceof Reply.Committed committed) {
      applied(write, committed.revision());
    } else if (reply instanceof Reply.Conflict conflict) {
      conflict(write, conflict);
    } else if (reply instanceof Reply.Refused refused && refused.isMalformed()) {
      tooLarge(write);
    } else {
      // It may still apply: the same write under the same conditions is safe to repeat.
      repeat(write.entry, () -> send(write));
    }
  }

  private void repeat(JobState entry, Runnable again) {
    entry.writeNotBeforeMs = context.nowMs + entry.writeBackoff.next(context.random);
    repeats.add(
        new Runnable() {
          @Override
          public void run() {
            if (context.nowMs < entry.writeNotBeforeMs) {
              repeats.add(this);
            } else {
              again.run();
            }
          }
        });
  }

  private void applied(Write write, long stamp) {
    JobState entry = write.entry;
    entry.writing = false;
    entry.ending = false;
    entry.writeBackoff.reset();
    entry.committed = write.record;
    entry.allocVersion = stamp;
    for (Reservation p : write.proposed) {
      p.committed = true;
      if (entry.placed.get(p.index) == p) {
        p.machine.setUrgent();
      }
    }
    write.settled.forEach(entry.uncommitted::remove);
    jobs.changed(entry);
    if (write.record.done()) {
      LOG.debug("job {} is done", entry.job.uid());
    }
    if (entry.aborted) {
      jobs.dropUncommitted(entry);
    }
    jobs.retireIfOver(entry);
  }

  private void conflict(Write write, Reply.Conflict conflict) {
    JobState entry = write.entry;
    String uid = entry.job.uid();
    if (conflict.failed().contains(StoreKeys.LEADER)) {
      term.conditionFailed();
      return;
    }
    if (conflict.failed().contains(StoreKeys.ended(uid))) {
      LOG.info("{} is archived; a late copy of its submission brought it back", uid);
      jobs.forget(entry);
      removeCopy(entry);
      return;
    }
    if (conflict.failed().contains(StoreKeys.alloc(uid))) {
      // Only the leader writes this key, so an earlier copy of this write has been applied.
      boolean aborted = conflict.failed().contains(StoreKeys.abort(uid));
      readStored(
          write,
          value -> {
            if (!appliedAsRead(write, value)) {
              LOG.error("alloc of {} is not what this leader wrote", uid);
              term.resign(0);
            } else if (aborted) {
              jobs.markAborted(uid);
            }
          });
      return;
    }
    entry.writing = false;
    entry.ending = false;
    jobs.markAborted(uid);
    jobs.dropUncommitted(entry);
    jobs.retireIfOver(entry);
  }

  /**
   * The record is larger than the service takes now. An earlier copy of the write may have been
   * applied before the limit fell, but none can be after this answer.
   */
  private void tooLarge(Write write) {
    readStored(
        write,
        value -> {
          if (value.version() == write.entry.allocVersion) {
            notApplied(write);
          } else if (!appliedAsRead(write, value)) {
            LOG.error("alloc of {} is not what this leader wrote", write.entry.job.uid());
            term.resign(0);
          }
        });
  }

  private void readStored(Write write, java.util.function.Consumer<Reply.Value> then) {
    gate.send(
        new StoreRequest.Get(StoreKeys.alloc(write.entry.job.uid())),
        RequestPriority.START,
        reply -> {
          if (isStale(write)) {
            return;
          }
          if (reply instanceof Reply.Value value) {
            then.accept(value);
          } else {
            repeat(write.entry, () -> readStored(write, then));
          }
        });
  }

  private boolean appliedAsRead(Write write, Reply.Value value) {
    if (!write.record.equals(value.record())) {
      return false;
    }
    applied(write, value.version());
    return true;
  }

  /**
   * What was to be reserved waits for its turn again. The job is written anew once more of its
   * tasks have ended, or after a while.
   */
  private void notApplied(Write write) {
    JobState entry = write.entry;
    LOG.info("alloc of {} is too large to be written", entry.job.uid());
    entry.writing = false;
    entry.ending = false;
    entry.blockWrites(context.nowMs + entry.sizeBackoff.next(context.random));
    for (Reservation p : write.proposed) {
      if (entry.placed.get(p.index) == p && !entry.aborted) {
        jobs.withdraw(p);
      }
    }
    if (entry.aborted) {
      jobs.dropUncommitted(entry);
    } else {
      entry.dirty = true;
      jobs.changed(entry);
    }
    jobs.retireIfOver(entry);
  }
}
