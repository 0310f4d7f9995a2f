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
      ImmutableList.of(StoreKeys.ABORT, StoreKeys.VERSION, StoreKeys.TYPES);

  /** How many jobs of a copy are taken up at a tick: some hundred milliseconds of a slow core. */
  private static final int COPIED_JOBS_PER_TICK = 1500;

  private static final ImmutableList<String> READ_AFTER_JOBS =
      ImmutableList.of(StoreKeys.RENT, StoreKeys.RETURN);

  private final ControllerContext context;
  private final StoreClient gate;
  private final LeaderElection term;
  private final RangeReader reader;
  private final JobPageReader pages;
  private final FinishedJobSweeper sweep;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final CloudProvisioner cloud;
  private final Autoscaler planner;
  private final ReadBarrier readBarrier;
  private final CancellationTracker cancellations;
  private final ClusterVersion version;
  private final Standby standby;
  private final Consumer<Boolean> rebuilt;
  private final Runnable kick;

  /**
   * @param rebuilt is called once memory holds all that was committed, with whether a copy of it
   *     was used
   * @param kick is called where a round has something new to place
   */
  LeaderRecovery(
      ControllerContext context,
      StoreClient gate,
      LeaderElection term,
      RangeReader reader,
      JobPageReader pages,
      FinishedJobSweeper sweep,
      JobRegistry jobs,
      MachineRegistry fleet,
      CloudProvisioner cloud,
      Autoscaler planner,
      ReadBarrier readBarrier,
      CancellationTracker cancellations,
      ClusterVersion version,
      Standby standby,
      Consumer<Boolean> rebuilt,
      Runnable kick) {
    this.context = context;
    this.gate = gate;
    this.term = term;
    this.reader = reader;
    this.pages = pages;
    this.sweep = sweep;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cloud = cloud;
    this.planner = planner;
    this.readBarrier = readBarrier;
    this.cancellations = cancellations;
    this.version = version;
    this.standby = standby;
    this.rebuilt = rebuilt;
    this.kick = kick;
  }

  /**
   * Brings memory up to what was committed in earlier terms, from a copy that is proved whole or by
   * reading everything, and follows what comes.
   */
  void rebuild() {
    long number = term.number();
    StandbyReplica copy = standby.copy();
    if (!copy.isFollowing()) {
      readEverything(number);
      return;
    }
    copy.catchUp(
        term.leaderRevision(),
        whole -> {
          if (whole) {
            takeCopy(copy, number);
          } else {
            readEverything(number);
          }
        });
  }

  /**
   * Takes a copy up in the order in which its keys would be read. Cancellations come at once, so
   * that workers who wait are answered; jobs come some at a tick, since all of them at once once
   * kept the workers of a large cell waiting for longer than a read does.
   */
  private void takeCopy(StandbyReplica copy, long number) {
    copy.items(StoreKeys.ABORT).forEach(this::restore);
    cancellations.caughtUp(copy.caughtUpMs(StoreKeys.ABORT));
    copy.items(StoreKeys.VERSION).forEach(this::restore);
    copy.items(StoreKeys.TYPES).forEach(this::restore);
    reader.later(() -> takeJobs(copy, number, StoreKeys.JOB));
  }

  /** Takes up some of a copy's jobs; those that are over are left to the sweep. */
  private void takeJobs(StandbyReplica copy, long number, String after) {
    int taken = 0;
    String last = after;
    for (Reply.Item item : copy.itemsAfter(StoreKeys.JOB, after)) {
      if (taken >= COPIED_JOBS_PER_TICK) {
        String goOn = last;
        reader.later(() -> takeJobs(copy, number, goOn));
        return;
      }
      last = item.key();
      Reply.Item alloc = copy.item(StoreKeys.ALLOC, StoreKeys.alloc(StoreKeys.tail(item.key())));
      if (isOver(item, alloc)) {
        sweep.leave();
      } else {
        taken++;
        restore(item);
        if (alloc != null) {
          restore(alloc);
        }
      }
    }
    READ_AFTER_JOBS.forEach(prefix -> copy.items(prefix).forEach(this::restore));
    long revision = copy.revision();
    copy.clear("this node leads");
    allRead(number, revision, true);
  }

  /** Whether nothing is to be done about a job any more, and nothing known of its machines. */
  private boolean isOver(Reply.Item job, Reply.Item alloc) {
    boolean stored = alloc != null && alloc.record() instanceof StoredRecord.Alloc;
    StoredRecord.Alloc held =
        stored ? (StoredRecord.Alloc) alloc.record() : StoredRecord.Alloc.EMPTY;
    boolean cancelled = cancellations.contains(StoreKeys.tail(job.key()));
    return held.done() || cancelled && held.reserved().isEmpty();
  }

  private void readEverything(long number) {
    readAll(
        READ_BEFORE_JOBS,
        number,
        revision ->
            rebuildJobs(
                "",
                number,
                () -> readAll(READ_AFTER_JOBS, number, later -> allRead(number, revision, false))));
  }

  /** Reads the keys under one prefix after the other; {@code then} takes the first revision. */
  private void readAll(ImmutableList<String> prefixes, long number, LongConsumer then) {
    String prefix = prefixes.get(0);
    ImmutableList<String> others = prefixes.subList(1, prefixes.size());
    long askedMs = context.nowMs;
    reader.scan(
        prefix,
        "",
        number,
        this::restore,
        revision -> {
          if (prefix.equals(StoreKeys.ABORT)) {
            // Pages are read one after the other, so only the first moment is sure.
            cancellations.caughtUp(askedMs);
          }
          if (others.isEmpty()) {
            then.accept(revision);
          } else {
            readAll(others, number, later -> then.accept(revision));
          }
        });
  }

  /** Reads jobs a page at a time, and keeps of those that are over what memory has room for. */
  private void rebuildJobs(String after, long number, Runnable then) {
    pages.read(
        after,
        number,
        RequestPriority.START,
        page -> {
          page.jobs().forEach(this::restore);
          page.allocs().forEach(this::restore);
          sweep.trim(page, after);
          if (page.next() == null) {
            then.run();
          } else {
            rebuildJobs(page.next(), number, then);
          }
        });
  }

  private void allRead(long number, long revision, boolean copied) {
    readBarrier.start(revision);
    jobs.noteImages(fleet);
    LOG.info("rebuilt: {} jobs, {} machines", jobs.size(), fleet.machines().size());
    rebuilt.accept(copied);
    follow(StoreKeys.JOB, number, revision);
    follow(StoreKeys.ABORT, number, revision);
    kick.run();
  }

  private void restore(Reply.Item item) {
    StoredRecord record = item.record();
    if (record instanceof StoredRecord.Unreadable it) {
      unreadable(item.key(), it);
    } else if (record instanceof StoredRecord.JobSpec spec) {
      add(spec.job(), item.version());
    } else if (record instanceof StoredRecord.Alloc alloc) {
      JobState entry = jobs.get(StoreKeys.tail(item.key()));
      if (entry != null) {
        jobs.restore(entry, alloc, item.version(), fleet);
      }
    } else if (record instanceof StoredRecord.Aborted aborted) {
      cancellations.read(aborted.uid());
    } else if (record instanceof StoredRecord.Rent rent) {
      cloud.rents().restore(rent);
    } else if (record instanceof StoredRecord.Return back) {
      cloud.returns().restore(item.key(), back);
    } else if (record instanceof StoredRecord.StoredVersion stored) {
      version.read(stored, item.version());
    } else if (record instanceof StoredRecord.Types types) {
      fleet.types(types.types());
    }
  }

  /** Follows what other nodes write: submissions and cancellations. */
  private void follow(String prefix, long number, long revision) {
    long askedMs = context.nowMs;
    gate.send(
        // Short, so that a lost reply does not leave memory behind for long.
        new StoreRequest.Watch(prefix, revision, 2 * context.stepMs()),
        RequestPriority.SUBMIT,
        reply -> {
          if (!reader.leads(number)) {
            return;
          }
          if (reply instanceof Reply.Changes changes) {
            changes.items().forEach(this::changed);
            if (prefix.equals(StoreKeys.ABORT)) {
              cancellations.caughtUp(askedMs);
              // The service forgets old changes; the readBarrier asks after none that came before.
              readBarrier.start(changes.revision());
            }
            follow(prefix, number, changes.revision());
          } else if (StoreClient.mustReadAnew(reply)) {
            reader.scan(prefix, "", number, this::changed, seen -> follow(prefix, number, seen));
          } else {
            reader.later(() -> follow(prefix, number, revision));
          }
        });
  }

  /** A job that memory can't hold truly is frozen, and the rest goes on without it. */
  private void unreadable(String key, StoredRecord.Unreadable record) {
    LOG.error("{} can't be read and is left as it is: {}", key, record.why());
    if (key.startsWith(StoreKeys.JOB) || key.startsWith(StoreKeys.ALLOC)) {
      jobs.freeze(StoreKeys.tail(key));
    }
  }

  /** Takes what another node wrote. */
  void changed(Reply.Item item) {
    if (item.record() == null) {
      removed(item.key());
    } else if (item.record() instanceof StoredRecord.Unreadable it) {
      unreadable(item.key(), it);
    } else if (item.record() instanceof StoredRecord.JobSpec spec) {
      if (jobs.get(spec.job().uid()) == null) {
        add(spec.job(), item.version());
        planner.arrived(spec.job());
        kick.run();
      }
    } else if (item.record() instanceof StoredRecord.Aborted aborted) {
      cancellations.read(aborted.uid());
    }
  }

  /** Records of jobs and cancellations are removed only where the job is archived. */
  private void removed(String key) {
    if (key.startsWith(StoreKeys.ABORT)) {
      cancellations.archived(StoreKeys.tail(key));
    } else if (key.startsWith(StoreKeys.JOB) && jobs.get(StoreKeys.tail(key)) != null) {
      jobs.forget(jobs.get(StoreKeys.tail(key)));
    }
  }

  /** The two watches run side by side, so a job may come after its own cancellation. */
  private void add(Job job, long order) {
    jobs.add(job, order);
    if (cancellations.contains(job.uid())) {
      jobs.markAborted(job.uid());
    }
  }
}
