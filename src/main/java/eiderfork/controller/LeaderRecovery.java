package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.recovery.JobPageReader;
import eiderfork.controller.recovery.RangeReader;
import eiderfork.controller.standby.Standby;
import eiderfork.controller.standby.StandbyReplica;
import eiderfork.controller.store.ReadBarrier;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.StoredRecord;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings a new leader's memory up to what is committed, part by part, and keeps it so: jobs and
 * cancellations are written by other nodes, too.
 */
final class LeaderRecovery {
  private static final Logger LOG = LoggerFactory.getLogger(LeaderRecovery.class);

  /** Cancellations come first: no worker's lease is renewed before they are known. */
  private static final ImmutableList<String> READ_BEFORE_JOBS =
      ImmutableList.of(
          StoreKeys.CANCELLATION_PREFIX, StoreKeys.CLUSTER_VERSION, StoreKeys.MACHINE_TYPES);

  /** How many jobs of a copy are taken up at a tick: some hundred milliseconds of a slow core. */
  private static final int COPIED_JOBS_PER_TICK = 1500;

  private static final ImmutableList<String> READ_AFTER_JOBS =
      ImmutableList.of(StoreKeys.RENT_PREFIX, StoreKeys.RETURN_PREFIX);

  private final ControllerContext context;
  private final StoreClient store;
  private final LeaderElection election;
  private final RangeReader reader;
  private final JobPageReader jobPageReader;
  private final FinishedJobSweeper sweeper;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final CloudProvisioner cloud;
  private final Autoscaler autoscaler;
  private final ReadBarrier readBarrier;
  private final CancellationTracker cancellations;
  private final ClusterVersion version;
  private final Standby standby;
  private final Consumer<Boolean> onRecovered;
  private final Runnable requestRound;

  /**
   * @param onRecovered is called once memory holds all that was committed, with whether a copy of
   *     it was used
   * @param requestRound is called where a round has something new to place
   */
  LeaderRecovery(
      ControllerContext context,
      StoreClient store,
      LeaderElection election,
      RangeReader reader,
      JobPageReader jobPageReader,
      FinishedJobSweeper sweeper,
      JobRegistry jobs,
      MachineRegistry fleet,
      CloudProvisioner cloud,
      Autoscaler autoscaler,
      ReadBarrier readBarrier,
      CancellationTracker cancellations,
      ClusterVersion version,
      Standby standby,
      Consumer<Boolean> onRecovered,
      Runnable requestRound) {
    this.context = context;
    this.store = store;
    this.election = election;
    this.reader = reader;
    this.jobPageReader = jobPageReader;
    this.sweeper = sweeper;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cloud = cloud;
    this.autoscaler = autoscaler;
    this.readBarrier = readBarrier;
    this.cancellations = cancellations;
    this.version = version;
    this.standby = standby;
    this.onRecovered = onRecovered;
    this.requestRound = requestRound;
  }

  /**
   * Brings memory up to what was committed in earlier terms, from a copy that is proved whole or by
   * reading everything, and follows what comes.
   */
  void recover() {
    long leadingTerm = election.currentTerm();
    StandbyReplica replica = standby.copy();
    if (!replica.isFollowing()) {
      readEverything(leadingTerm);
      return;
    }
    replica.catchUp(
        election.leaderRevision(),
        whole -> {
          if (whole) {
            restoreFromReplica(replica, leadingTerm);
          } else {
            readEverything(leadingTerm);
          }
        });
  }

  /**
   * Takes a copy up in the order in which its keys would be read. Cancellations come at once, so
   * that workers who wait are answered; jobs come some at a tick, since all of them at once once
   * kept the workers of a large cell waiting for longer than a read does.
   */
  private void restoreFromReplica(StandbyReplica replica, long leadingTerm) {
    replica.items(StoreKeys.CANCELLATION_PREFIX).forEach(this::restore);
    cancellations.recordCaughtUp(replica.caughtUpMs(StoreKeys.CANCELLATION_PREFIX));
    replica.items(StoreKeys.CLUSTER_VERSION).forEach(this::restore);
    replica.items(StoreKeys.MACHINE_TYPES).forEach(this::restore);
    reader.runAtNextTick(() -> restoreJobs(replica, leadingTerm, StoreKeys.JOB_PREFIX));
  }

  /** Takes up some of a copy's jobs; those that are over are left to the sweep. */
  private void restoreJobs(StandbyReplica replica, long leadingTerm, String afterKey) {
    int taken = 0;
    String last = afterKey;
    for (Reply.Item item : replica.itemsAfter(StoreKeys.JOB_PREFIX, afterKey)) {
      if (taken >= COPIED_JOBS_PER_TICK) {
        String goOn = last;
        reader.runAtNextTick(() -> restoreJobs(replica, leadingTerm, goOn));
        return;
      }
      last = item.key();
      Reply.Item alloc =
          replica.item(
              StoreKeys.ALLOC_PREFIX, StoreKeys.alloc(StoreKeys.withoutPrefix(item.key())));
      if (isOver(item, alloc)) {
        sweeper.restart();
      } else {
        taken++;
        restore(item);
        if (alloc != null) {
          restore(alloc);
        }
      }
    }
    READ_AFTER_JOBS.forEach(prefix -> replica.items(prefix).forEach(this::restore));
    long revision = replica.revision();
    replica.clear("this node leads");
    finishRecovery(leadingTerm, revision, true);
  }

  /** Whether nothing is to be done about a job any more, and nothing known of its machines. */
  private boolean isOver(Reply.Item job, Reply.Item alloc) {
    boolean stored = alloc != null && alloc.record() instanceof StoredRecord.Allocation;
    StoredRecord.Allocation held =
        stored ? (StoredRecord.Allocation) alloc.record() : StoredRecord.Allocation.EMPTY;
    boolean cancelled = cancellations.contains(StoreKeys.withoutPrefix(job.key()));
    return held.done() || cancelled && held.reserved().isEmpty();
  }

  private void readEverything(long leadingTerm) {
    readAll(
        READ_BEFORE_JOBS,
        leadingTerm,
        revision ->
            readJobs(
                "",
                leadingTerm,
                () ->
                    readAll(
                        READ_AFTER_JOBS,
                        leadingTerm,
                        later -> finishRecovery(leadingTerm, revision, false))));
  }

  /**
   * Reads the keys under one prefix after the other; {@code onComplete} takes the first revision.
   */
  private void readAll(ImmutableList<String> prefixes, long leadingTerm, LongConsumer onComplete) {
    String prefix = prefixes.get(0);
    ImmutableList<String> others = prefixes.subList(1, prefixes.size());
    long requestedMs = context.nowMs;
    reader.scan(
        prefix,
        "",
        leadingTerm,
        this::restore,
        revision -> {
          if (prefix.equals(StoreKeys.CANCELLATION_PREFIX)) {
            // Pages are read one after the other, so only the first moment is sure.
            cancellations.recordCaughtUp(requestedMs);
          }
          if (others.isEmpty()) {
            onComplete.accept(revision);
          } else {
            readAll(others, leadingTerm, later -> onComplete.accept(revision));
          }
        });
  }

  /** Reads jobs a page at a time, and keeps of those that are over what memory has room for. */
  private void readJobs(String afterJob, long leadingTerm, Runnable onComplete) {
    jobPageReader.read(
        afterJob,
        leadingTerm,
        RequestPriority.START,
        page -> {
          page.jobs().forEach(this::restore);
          page.allocs().forEach(this::restore);
          sweeper.evictExcess(page, afterJob);
          if (page.continueAfter() == null) {
            onComplete.run();
          } else {
            readJobs(page.continueAfter(), leadingTerm, onComplete);
          }
        });
  }

  private void finishRecovery(long leadingTerm, long revision, boolean copied) {
    readBarrier.advanceTo(revision);
    jobs.restoreCachedImages(fleet);
    LOG.info("rebuilt: {} jobs, {} machines", jobs.size(), fleet.machines().size());
    onRecovered.accept(copied);
    follow(StoreKeys.JOB_PREFIX, leadingTerm, revision);
    follow(StoreKeys.CANCELLATION_PREFIX, leadingTerm, revision);
    requestRound.run();
  }

  private void restore(Reply.Item item) {
    StoredRecord record = item.record();
    if (record instanceof StoredRecord.Unreadable it) {
      handleUnreadable(item.key(), it);
    } else if (record instanceof StoredRecord.JobSpec spec) {
      addJob(spec.job(), item.version());
    } else if (record instanceof StoredRecord.Allocation allocation) {
      JobState job = jobs.get(StoreKeys.withoutPrefix(item.key()));
      if (job != null) {
        jobs.restoreAllocation(job, allocation, item.version(), fleet);
      }
    } else if (record instanceof StoredRecord.Cancellation aborted) {
      cancellations.read(aborted.uid());
    } else if (record instanceof StoredRecord.ScaleOutIntent rent) {
      cloud.rents().restore(rent);
    } else if (record instanceof StoredRecord.ScaleInIntent back) {
      cloud.returns().restore(item.key(), back);
    } else if (record instanceof StoredRecord.StoredVersion stored) {
      version.recordStored(stored, item.version());
    } else if (record instanceof StoredRecord.MachineTypes types) {
      fleet.updateTypes(types.types());
    }
  }

  /** Follows what other nodes write: submissions and cancellations. */
  private void follow(String prefix, long leadingTerm, long revision) {
    long requestedMs = context.nowMs;
    store.send(
        // Short, so that a lost reply does not leave memory behind for long.
        new StoreRequest.Watch(prefix, revision, 2 * context.stepMs()),
        RequestPriority.SUBMIT,
        reply -> {
          if (!reader.isLeadingTerm(leadingTerm)) {
            return;
          }
          if (reply instanceof Reply.Changes changes) {
            changes.items().forEach(this::applyChange);
            if (prefix.equals(StoreKeys.CANCELLATION_PREFIX)) {
              cancellations.recordCaughtUp(requestedMs);
              // The service forgets old changes; the readBarrier asks after none that came before.
              readBarrier.advanceTo(changes.revision());
            }
            follow(prefix, leadingTerm, changes.revision());
          } else if (StoreClient.requiresFullRead(reply)) {
            reader.scan(
                prefix,
                "",
                leadingTerm,
                this::applyChange,
                seen -> follow(prefix, leadingTerm, seen));
          } else {
            reader.runAtNextTick(() -> follow(prefix, leadingTerm, revision));
          }
        });
  }

  /** A job that memory can't hold truly is frozen, and the rest goes on without it. */
  private void handleUnreadable(String key, StoredRecord.Unreadable record) {
    LOG.error("{} can't be read and is left as it is: {}", key, record.reason());
    if (key.startsWith(StoreKeys.JOB_PREFIX) || key.startsWith(StoreKeys.ALLOC_PREFIX)) {
      jobs.freeze(StoreKeys.withoutPrefix(key));
    }
  }

  /** Takes what another node wrote. */
  void applyChange(Reply.Item item) {
    if (item.record() == null) {
      applyRemoval(item.key());
    } else if (item.record() instanceof StoredRecord.Unreadable it) {
      handleUnreadable(item.key(), it);
    } else if (item.record() instanceof StoredRecord.JobSpec spec) {
      if (jobs.get(spec.job().uid()) == null) {
        addJob(spec.job(), item.version());
        autoscaler.recordArrival(spec.job());
        requestRound.run();
      }
    } else if (item.record() instanceof StoredRecord.Cancellation aborted) {
      cancellations.read(aborted.uid());
    }
  }

  /** Records of jobs and cancellations are removed only where the job is archived. */
  private void applyRemoval(String key) {
    if (key.startsWith(StoreKeys.CANCELLATION_PREFIX)) {
      cancellations.jobArchived(StoreKeys.withoutPrefix(key));
    } else if (key.startsWith(StoreKeys.JOB_PREFIX)
        && jobs.get(StoreKeys.withoutPrefix(key)) != null) {
      jobs.evict(jobs.get(StoreKeys.withoutPrefix(key)));
    }
  }

  /** The two watches run side by side, so a job may come after its own cancellation. */
  private void addJob(Job job, long order) {
    jobs.add(job, order);
    if (cancellations.contains(job.uid())) {
      jobs.markCancelled(job.uid());
    }
  }
}
