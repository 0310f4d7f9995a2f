package eiderfork.core;

import eiderfork.core.context.Context;
import eiderfork.core.message.Keys;
import eiderfork.core.message.Reply;
import eiderfork.core.state.JobPages;
import eiderfork.core.state.Term;
import eiderfork.core.state.Urgency;
import eiderfork.model.Record;
import java.util.HashMap;
import java.util.Map;

/**
 * Brings ended jobs that a new leader found no room for in its memory back to it, some at a time,
 * so that they are archived, too. Meanwhile they are answered for from their records.
 */
final class EndedJobSweep {
  private final Context context;
  private final Term term;
  private final JobTable jobs;
  private final Fleet fleet;
  private final Cancellations cancellations;
  private final JobPages pages;

  /** The id after which the next page begins; null where every ended job is in memory. */
  private String next;

  private boolean reading;
  private long generation;

  EndedJobSweep(
      Context context,
      Term term,
      JobTable jobs,
      Fleet fleet,
      Cancellations cancellations,
      JobPages pages) {
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
  void trim(JobPages.JobPage page, String after) {
    int most = context.settings.operator().mostEndedJobs();
    for (Reply.Item item : page.jobs()) {
      JobEntry entry = jobs.get(Keys.tail(item.key()));
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
        Urgency.CLEANUP,
        page -> {
          if (of == generation) {
            reading = false;
            next = page.next();
            take(page);
          }
        });
  }

  /** Takes those that are over and unknown; others come with the watch, if they are new. */
  private void take(JobPages.JobPage page) {
    Map<String, Reply.Item> allocs = new HashMap<>();
    page.allocs().forEach(item -> allocs.put(Keys.tail(item.key()), item));
    for (Reply.Item item : page.jobs()) {
      String uid = Keys.tail(item.key());
      if (jobs.get(uid) == null && item.record() instanceof Record.JobSpec spec) {
        Reply.Item alloc = allocs.get(uid);
        if (alloc == null && cancellations.contains(uid)) {
          jobs.add(spec.job(), item.version());
          jobs.markAborted(uid);
        } else if (alloc != null && alloc.record() instanceof Record.Alloc it && it.done()) {
          jobs.restore(jobs.add(spec.job(), item.version()), it, alloc.version(), fleet);
        } else if (alloc != null
            && alloc.record() instanceof Record.Alloc it
            && cancellations.contains(uid)) {
          jobs.add(spec.job(), item.version());
          jobs.markAborted(uid);
          jobs.restore(jobs.get(uid), it, alloc.version(), fleet);
        }
      }
    }
  }
}
