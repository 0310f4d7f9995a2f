package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.core.context.Context;
import eiderfork.core.message.Keys;
import eiderfork.core.message.Reply;
import eiderfork.core.message.StateOp;
import eiderfork.core.standby.CommittedCopy;
import eiderfork.core.standby.Standby;
import eiderfork.core.state.JobPages;
import eiderfork.core.state.ReadBarrier;
import eiderfork.core.state.StateGate;
import eiderfork.core.state.StateReader;
import eiderfork.core.state.Term;
import eiderfork.core.state.Urgency;
import eiderfork.model.Job;
import eiderfork.model.Record;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings a new leader's memory up to what is committed, part by part, and keeps it so: jobs and
 * cancellations are written by other nodes, too.
 */
final class CommittedState {
  private static final Logger LOG = LoggerFactory.getLogger(CommittedState.class);

  /** Cancellations come first: no worker's lease is renewed before they are known. */
  private static final ImmutableList<String> READ_BEFORE_JOBS =
      ImmutableList.of(Keys.ABORT, Keys.VERSION, Keys.TYPES);

  /** How many jobs of a copy are taken up at a tick: some hundred milliseconds of a slow core. */
  private static final int COPIED_JOBS_PER_TICK = 1500;

  private static final ImmutableList<String> READ_AFTER_JOBS =
      ImmutableList.of(Keys.RENT, Keys.RETURN);

  private final Context context;
  private final StateGate gate;
  private final Term term;
  private final StateReader reader;
  private final JobPages pages;
  private final EndedJobSweep sweep;
  private final JobTable jobs;
  private final Fleet fleet;
  private final Cloud cloud;
  private final Planner planner;
  private final ReadBarrier readBarrier;
  private final Cancellations cancellations;
  private final ClusterVersion version;
  private final Standby standby;
  private final Consumer<Boolean> rebuilt;
  private final Runnable kick;

  /**
   * @param rebuilt is called once memory holds all that was committed, with whether a copy of it
   *     was used
   * @param kick is called where a round has something new to place
   */
  CommittedState(
      Context context,
      StateGate gate,
      Term term,
      StateReader reader,
      JobPages pages,
      EndedJobSweep sweep,
      JobTable jobs,
      Fleet fleet,
      Cloud cloud,
      Planner planner,
      ReadBarrier readBarrier,
      Cancellations cancellations,
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
    CommittedCopy copy = standby.copy();
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
  private void takeCopy(CommittedCopy copy, long number) {
    copy.items(Keys.ABORT).forEach(this::restore);
    cancellations.caughtUp(copy.caughtUpMs(Keys.ABORT));
    copy.items(Keys.VERSION).forEach(this::restore);
    copy.items(Keys.TYPES).forEach(this::restore);
    reader.later(() -> takeJobs(copy, number, Keys.JOB));
  }

  /** Takes up some of a copy's jobs; those that are over are left to the sweep. */
  private void takeJobs(CommittedCopy copy, long number, String after) {
    int taken = 0;
    String last = after;
    for (Reply.Item item : copy.itemsAfter(Keys.JOB, after)) {
      if (taken >= COPIED_JOBS_PER_TICK) {
        String goOn = last;
        reader.later(() -> takeJobs(copy, number, goOn));
        return;
      }
      last = item.key();
      Reply.Item alloc = copy.item(Keys.ALLOC, Keys.alloc(Keys.tail(item.key())));
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
    boolean stored = alloc != null && alloc.record() instanceof Record.Alloc;
    Record.Alloc held = stored ? (Record.Alloc) alloc.record() : Record.Alloc.EMPTY;
    boolean cancelled = cancellations.contains(Keys.tail(job.key()));
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
          if (prefix.equals(Keys.ABORT)) {
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
        Urgency.START,
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
    follow(Keys.JOB, number, revision);
    follow(Keys.ABORT, number, revision);
    kick.run();
  }

  private void restore(Reply.Item item) {
    Record record = item.record();
    if (record instanceof Record.Unreadable it) {
      unreadable(item.key(), it);
    } else if (record instanceof Record.JobSpec spec) {
      add(spec.job(), item.version());
    } else if (record instanceof Record.Alloc alloc) {
      JobEntry entry = jobs.get(Keys.tail(item.key()));
      if (entry != null) {
        jobs.restore(entry, alloc, item.version(), fleet);
      }
    } else if (record instanceof Record.Aborted aborted) {
      cancellations.read(aborted.uid());
    } else if (record instanceof Record.Rent rent) {
      cloud.rents().restore(rent);
    } else if (record instanceof Record.Return back) {
      cloud.returns().restore(item.key(), back);
    } else if (record instanceof Record.StoredVersion stored) {
      version.read(stored, item.version());
    } else if (record instanceof Record.Types types) {
      fleet.types(types.types());
    }
  }

  /** Follows what other nodes write: submissions and cancellations. */
  private void follow(String prefix, long number, long revision) {
    long askedMs = context.nowMs;
    gate.send(
        // Short, so that a lost reply does not leave memory behind for long.
        new StateOp.Watch(prefix, revision, 2 * context.stepMs()),
        Urgency.SUBMIT,
        reply -> {
          if (!reader.leads(number)) {
            return;
          }
          if (reply instanceof Reply.Changes changes) {
            changes.items().forEach(this::changed);
            if (prefix.equals(Keys.ABORT)) {
              cancellations.caughtUp(askedMs);
              // The service forgets old changes; the readBarrier asks after none that came before.
              readBarrier.start(changes.revision());
            }
            follow(prefix, number, changes.revision());
          } else if (StateGate.mustReadAnew(reply)) {
            reader.scan(prefix, "", number, this::changed, seen -> follow(prefix, number, seen));
          } else {
            reader.later(() -> follow(prefix, number, revision));
          }
        });
  }

  /** A job that memory can't hold truly is frozen, and the rest goes on without it. */
  private void unreadable(String key, Record.Unreadable record) {
    LOG.error("{} can't be read and is left as it is: {}", key, record.why());
    if (key.startsWith(Keys.JOB) || key.startsWith(Keys.ALLOC)) {
      jobs.freeze(Keys.tail(key));
    }
  }

  /** Takes what another node wrote. */
  void changed(Reply.Item item) {
    if (item.record() == null) {
      removed(item.key());
    } else if (item.record() instanceof Record.Unreadable it) {
      unreadable(item.key(), it);
    } else if (item.record() instanceof Record.JobSpec spec) {
      if (jobs.get(spec.job().uid()) == null) {
        add(spec.job(), item.version());
        planner.arrived(spec.job());
        kick.run();
      }
    } else if (item.record() instanceof Record.Aborted aborted) {
      cancellations.read(aborted.uid());
    }
  }

  /** Records of jobs and cancellations are removed only where the job is archived. */
  private void removed(String key) {
    if (key.startsWith(Keys.ABORT)) {
      cancellations.archived(Keys.tail(key));
    } else if (key.startsWith(Keys.JOB) && jobs.get(Keys.tail(key)) != null) {
      jobs.forget(jobs.get(Keys.tail(key)));
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
