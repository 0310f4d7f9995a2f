package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.recovery.JobPageReader;
import eiderfork.controller.store.RequestPriority;
import eiderfork.model.StoredRecord;
import java.util.HashMap;
import java.util.Map;

/**
 * Brings ended jobs that a new leader found no room for in its memory back to it, some at a time,
 * so that they are archived, too. Meanwhile they are answered for from their records.
 */
final class FinishedJobSweeper {
  private final ControllerContext context;
  private final LeaderElection term;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final CancellationTracker cancellations;
  private final JobPageReader pages;

  /** The id after which the next page begins; null where every ended job is in memory. */
  private String next;

  private boolean reading;
  private long generation;

  FinishedJobSweeper(
      ControllerContext context,
      LeaderElection term,
      JobRegistry jobs,
      MachineRegistry fleet,
      CancellationTracker cancellations,
      JobPageReader pages) {
    this.context = context;
    this.term = term;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cancellations = cancellations;
    this.pages = pages;
  }

  /** A term begins or ends. */
  void clear() {
    generation++;
    next = null;
    reading = false;
  }

  /** Whether some ended jobs are not in memory. */
  boolean isOpen() {
    return next != null;
  }

  /**
   * Lets go of ended jobs of a page that a new leader has read, where memory holds enough of them.
   *
   * @param after the id after which the page began
   */
  void trim(JobPageReader.JobPage page, String after) {
    int most = context.settings.operator().mostEndedJobs();
    for (Reply.Item item : page.jobs()) {
      JobState entry = jobs.get(StoreKeys.tail(item.key()));
      if (jobs.ended().size() <= most) {
        return;
      }
      if (entry != null && jobs.ended().contains(entry) && entry.isArchivable()) {
        jobs.forget(entry);
        next = next == null ? after : next;
      }
    }
  }

  /** Some job that is over was not taken up; all are looked through for such. */
  void leave() {
    next = "";
  }

  /** Reads on where the archive has made room; only a rebuilt leader does. */
  void tick() {
    boolean hasRoom = jobs.ended().size() <= context.settings.operator().mostEndedJobs() / 2;
    if (next == null || reading || !hasRoom) {
      return;
    }
    reading = true;
    long of = generation;
    pages.read(
        next,
        term.number(),
        RequestPriority.CLEANUP,
        page -> {
          if (of == generation) {
            reading = false;
            next = page.next();
            take(page);
          }
        });
  }

  /** Takes those that are over and unknown; others come with the watch, if they are new. */
  private void take(JobPageReader.JobPage page) {
    Map<String, Reply.Item> allocs = new HashMap<>();
    page.allocs().forEach(item -> allocs.put(StoreKeys.tail(item.key()), item));
    for (Reply.Item item : page.jobs()) {
      String uid = StoreKeys.tail(item.key());
      if (jobs.get(uid) == null && item.record() instanceof StoredRecord.JobSpec spec) {
        Reply.Item alloc = allocs.get(uid);
        if (alloc == null && cancellations.contains(uid)) {
          jobs.add(spec.job(), item.version());
          jobs.markAborted(uid);
        } else if (alloc != null && alloc.record() instanceof StoredRecord.Alloc it && it.done()) {
          jobs.restore(jobs.add(spec.job(), item.version()), it, alloc.version(), fleet);
        } else if (alloc != null
            && alloc.record() instanceof StoredRecord.Alloc it
            && cancellations.contains(uid)) {
          jobs.add(spec.job(), item.version());
          jobs.markAborted(uid);
          jobs.restore(jobs.get(uid), it, alloc.version(), fleet);
        }
      }
    }
  }
}
