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
  private final LeaderElection election;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final CancellationTracker cancellations;
  private final JobPageReader jobPageReader;

  /** The id after which the next page begins; null where every ended job is in memory. */
  private String nextAfterUid;

  private boolean readInFlight;
  private long generation;

  FinishedJobSweeper(
      ControllerContext context,
      LeaderElection election,
      JobRegistry jobs,
      MachineRegistry fleet,
      CancellationTracker cancellations,
      JobPageReader jobPageReader) {
    this.context = context;
    this.election = election;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cancellations = cancellations;
    this.jobPageReader = jobPageReader;
  }

  /** A term begins or ends. */
  void reset() {
    generation++;
    nextAfterUid = null;
    readInFlight = false;
  }

  /** Whether some ended jobs are not in memory. */
  boolean isIncomplete() {
    return nextAfterUid != null;
  }

  /**
   * Lets go of ended jobs of a page that a new leader has read, where memory holds enough of them.
   *
   * @param after the id after which the page began
   */
  void evictExcess(JobPageReader.JobPage page, String after) {
    int most = context.settings.operator().maxEndedJobs();
    for (Reply.Item item : page.jobs()) {
      JobState job = jobs.get(StoreKeys.withoutPrefix(item.key()));
      if (jobs.finishedJobs().size() <= most) {
        return;
      }
      if (job != null && jobs.finishedJobs().contains(job) && job.isArchivable()) {
        jobs.evict(job);
        nextAfterUid = nextAfterUid == null ? after : nextAfterUid;
      }
    }
  }

  /** Some job that is over was not taken up; all are looked through for such. */
  void restart() {
    nextAfterUid = "";
  }

  /** Reads on where the archive has made room; only a rebuilt leader does. */
  void tick() {
    boolean hasRoom = jobs.finishedJobs().size() <= context.settings.operator().maxEndedJobs() / 2;
    if (nextAfterUid == null || readInFlight || !hasRoom) {
      return;
    }
    readInFlight = true;
    long of = generation;
    jobPageReader.read(
        nextAfterUid,
        election.currentTerm(),
        RequestPriority.CLEANUP,
        page -> {
          if (of == generation) {
            readInFlight = false;
            nextAfterUid = page.continueAfter();
            loadFinished(page);
          }
        });
  }

  /** Takes those that are over and unknown; others come with the watch, if they are new. */
  private void loadFinished(JobPageReader.JobPage page) {
    Map<String, Reply.Item> allocs = new HashMap<>();
    page.allocs().forEach(item -> allocs.put(StoreKeys.withoutPrefix(item.key()), item));
    for (Reply.Item item : page.jobs()) {
      String uid = StoreKeys.withoutPrefix(item.key());
      if (jobs.get(uid) == null && item.record() instanceof StoredRecord.JobSpec spec) {
        Reply.Item alloc = allocs.get(uid);
        if (alloc == null && cancellations.contains(uid)) {
          jobs.add(spec.job(), item.version());
          jobs.markCancelled(uid);
        } else if (alloc != null
            && alloc.record() instanceof StoredRecord.Allocation allocation
            && allocation.done()) {
          jobs.restoreAllocation(
              jobs.add(spec.job(), item.version()), allocation, alloc.version(), fleet);
        } else if (alloc != null
            && alloc.record() instanceof StoredRecord.Allocation allocation
            && cancellations.contains(uid)) {
          jobs.add(spec.job(), item.version());
          jobs.markCancelled(uid);
          jobs.restoreAllocation(jobs.get(uid), allocation, alloc.version(), fleet);
        }
      }
    }
  }
}
