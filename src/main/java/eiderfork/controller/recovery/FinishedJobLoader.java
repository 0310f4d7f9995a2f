package eiderfork.controller.recovery;

import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.RequestPriority;
import eiderfork.model.Job;
import eiderfork.model.StoredRecord;
import java.util.HashMap;
import java.util.Map;

/**
 * Loads the finished jobs that did not fit into a new leader's memory, one page at a time, so that
 * they are archived as well. Until then, queries for them are answered from their stored records.
 */
public final class FinishedJobLoader {
  private final ControllerContext context;
  private final LeaderElection election;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final CancellationTracker cancellations;
  private final JobPageReader jobPageReader;

  /** The uid after which the next page begins; null if every finished job is in memory. */
  private String nextAfterUid;

  private boolean readInFlight;
  private long generation;

  /** Creates a loader that has nothing left to read. */
  public FinishedJobLoader(
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

  /**
   * Ignores the replies to reads in flight and discards the position; called when a term begins or
   * ends.
   */
  public void reset() {
    generation++;
    nextAfterUid = null;
    readInFlight = false;
  }

  /** Returns whether some finished jobs are not in memory. */
  public boolean isIncomplete() {
    return nextAfterUid != null;
  }

  /**
   * Evicts archivable finished jobs of a page that a new leader has read, as long as memory
   * contains too many finished jobs.
   *
   * @param afterUid the uid after which the page began
   */
  void evictExcess(JobPageReader.JobPage page, String afterUid) {
    int maxFinished = context.settings.operator().maxEndedJobs();
    for (Reply.Item item : page.jobs()) {
      JobState job = jobs.get(StoreKeys.withoutPrefix(item.key()));
      if (jobs.finishedJobs().size() <= maxFinished) {
        return;
      }
      if (job != null && jobs.finishedJobs().contains(job) && job.isArchivable()) {
        jobs.evict(job);
        nextAfterUid = nextAfterUid == null ? afterUid : nextAfterUid;
      }
    }
  }

  /**
   * Makes the loader read all pages from the first one, because a finished job was not restored.
   */
  void requestFullLoad() {
    nextAfterUid = "";
  }

  /**
   * Reads the next page once the archiver has freed enough memory. Must be called on a recovered
   * leader only.
   */
  public void tick() {
    boolean hasSpace = jobs.finishedJobs().size() <= context.settings.operator().maxEndedJobs() / 2;
    if (nextAfterUid == null || readInFlight || !hasSpace) {
      return;
    }
    readInFlight = true;
    long requestGeneration = generation;
    jobPageReader.read(
        nextAfterUid,
        election.currentTerm(),
        RequestPriority.CLEANUP,
        page -> {
          if (requestGeneration == generation) {
            readInFlight = false;
            nextAfterUid = page.nextAfterUid();
            loadFinishedJobs(page);
          }
        });
  }

  /**
   * Adds a page's finished jobs that are not in memory. Unfinished ones are not added: new jobs
   * arrive through the watch.
   */
  private void loadFinishedJobs(JobPageReader.JobPage page) {
    Map<String, Reply.Item> allocations = new HashMap<>();
    page.allocations().forEach(item -> allocations.put(StoreKeys.withoutPrefix(item.key()), item));
    for (Reply.Item item : page.jobs()) {
      String uid = StoreKeys.withoutPrefix(item.key());
      if (jobs.get(uid) == null && item.record() instanceof StoredRecord.JobSpec spec) {
        loadIfFinished(spec.job(), item.version(), allocations.get(uid));
      }
    }
  }

  /**
   * Adds a job if it is finished or cancelled.
   *
   * @param allocation the item of the job's allocation, or null if it has none
   */
  private void loadIfFinished(Job spec, long specVersion, Reply.Item allocation) {
    boolean isCancelled = cancellations.contains(spec.uid());
    if (allocation == null) {
      if (isCancelled) {
        addCancelled(spec, specVersion);
      }
    } else if (allocation.record() instanceof StoredRecord.Allocation stored) {
      if (stored.done()) {
        JobState job = jobs.add(spec, specVersion);
        jobs.restoreAllocation(job, stored, allocation.version(), fleet);
      } else if (isCancelled) {
        JobState job = addCancelled(spec, specVersion);
        jobs.restoreAllocation(job, stored, allocation.version(), fleet);
      }
    }
  }

  private JobState addCancelled(Job spec, long specVersion) {
    JobState job = jobs.add(spec, specVersion);
    jobs.markCancelled(spec.uid());
    return job;
  }
}
