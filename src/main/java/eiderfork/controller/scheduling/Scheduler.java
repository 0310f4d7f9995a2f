package eiderfork.controller.scheduling;

import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.StoreClient;
import eiderfork.controller.workers.MachineLiveness;
import java.util.List;

/**
 * Assigns pending tasks to machines in scheduling rounds. A round visits jobs in queue order and
 * places each task on the best-scoring machine.
 */
public final class Scheduler {
  /** A conservative estimate of the machines that one core can examine per second. */
  private static final double MACHINES_EXAMINED_PER_CORE_SECOND = 1_000_000;

  /**
   * The share of a step's CPU time that full machine searches may use in a round; beyond it,
   * searches examine samples.
   */
  private static final double SEARCH_CPU_SHARE = 0.1;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final double maxFullSearchExaminations;
  private final FairShareOrder fairShareOrder;
  private final ImageFetchEstimator imageFetch;
  private final FreeCapacity capacity;
  private final DispatchEligibility eligibility;
  private final GpuHeadroom gpuHeadroom;
  private final QuotaBorrowing borrowing;
  private final RoundUsage usage;
  private final PreemptionBudget preemptionBudget;
  private final TaskScheduler taskScheduler;
  private final GangScheduler gangScheduler;

  /** Creates a scheduler with no capacity claims. */
  public Scheduler(
      ControllerContext context,
      StoreClient store,
      JobRegistry jobs,
      MachineRegistry fleet,
      MachineLiveness liveness,
      ClusterVersion version) {
    this.context = context;
    this.jobs = jobs;
    maxFullSearchExaminations = maxFullSearchExaminations(context);
    DeadlineEstimator deadlines = new DeadlineEstimator(context, fleet);
    fairShareOrder = new FairShareOrder(context, deadlines);
    imageFetch = new ImageFetchEstimator(context, fleet);
    BorrowedCapacity borrowedCapacity = new BorrowedCapacity(context, jobs, fleet);
    capacity = freeCapacity(context, fleet, liveness, borrowedCapacity);
    borrowing =
        new QuotaBorrowing(context, jobs, fleet, liveness, deadlines, capacity, borrowedCapacity);
    eligibility = new DispatchEligibility(context, store, jobs);
    gpuHeadroom = new GpuHeadroom(context);
    usage = new RoundUsage(context, jobs);
    preemptionBudget = new PreemptionBudget(context, maxFullSearchExaminations);
    MachineSearchFactory searches =
        new MachineSearchFactory(
            context, jobs, capacity, imageFetch, deadlines, maxFullSearchExaminations);
    AllocationSizeLimitFactory sizeLimits = new AllocationSizeLimitFactory(context, store, version);
    taskScheduler =
        new TaskScheduler(
            context, jobs, capacity, searches, sizeLimits, imageFetch, usage, preemptionBudget);
    gangScheduler =
        new GangScheduler(jobs, capacity, searches, sizeLimits, usage, borrowing, preemptionBudget);
  }

  private static double maxFullSearchExaminations(ControllerContext context) {
    return MACHINES_EXAMINED_PER_CORE_SECOND
        * context.settings.controllerResources().cpuShare()
        * context.stepS()
        * SEARCH_CPU_SHARE;
  }

  private static FreeCapacity freeCapacity(
      ControllerContext context,
      MachineRegistry fleet,
      MachineLiveness liveness,
      BorrowedCapacity borrowedCapacity) {
    boolean isLendingEnabled = context.settings.operator().isLendingEnabled();
    return new FreeCapacity(
        fleet,
        liveness::isSchedulable,
        isLendingEnabled ? liveness::canHoldClaims : liveness::isSchedulable,
        borrowedCapacity);
  }

  /** Returns the ratio of CPUs to GPUs in the resources that jobs request. */
  public CpusPerGpu cpusPerGpu() {
    return jobs.resourceUsage().cpusPerGpu();
  }

  /** Returns the estimator of image fetch times. */
  public ImageFetchEstimator imageFetchEstimator() {
    return imageFetch;
  }

  /** Returns the number of times that the last round examined a machine for a job. */
  public int machineExaminations() {
    return capacity.examinations();
  }

  /**
   * Runs one scheduling round, in which each changed job is written at most once. A job with
   * nothing but completions to write is held back until some time has passed since its last write,
   * so that the completions of its tasks share a write.
   *
   * @return whether work remains for a later round
   */
  public boolean runRound() {
    List<JobState> queue = queuedJobs();
    capacity.beginRound(context.nowMs());
    boolean isBatchingStarts = queue.stream().anyMatch(eligibility::isBatchingStarts);
    boolean isWriteDeferred =
        queue.stream().anyMatch(eligibility::canPlace)
            ? placeAndWrite(queue)
            : writeCompletions(queue);
    return isWriteDeferred || isBatchingStarts;
  }

  private boolean writeCompletions(List<JobState> queue) {
    boolean isWriteDeferred = false;
    for (JobState job : queue) {
      isWriteDeferred |= eligibility.writeCompletions(job);
    }
    return isWriteDeferred;
  }

  private boolean placeAndWrite(List<JobState> queue) {
    gpuHeadroom.beginRound(queue);
    PreemptionPolicy policy = borrowing.preemptionPolicy(cpusPerGpu());
    PreemptionPlanner preemptionPlanner =
        new PreemptionPlanner(
            context, jobs, capacity, imageFetch, cpusPerGpu(), policy, maxFullSearchExaminations);
    boolean isWriteDeferred = false;
    for (JobState job : queue) {
      int reservedBefore = job.reservations().size();
      if (eligibility.canWrite(job) && eligibility.canPlace(job)) {
        place(job, preemptionPlanner, policy);
      }
      if (job.reservations().size() > reservedBefore) {
        jobs.write(job, DispatchEligibility.startPriority(job));
      } else {
        isWriteDeferred |= eligibility.writeCompletions(job);
      }
    }
    preemptionBudget.charge(preemptionPlanner.examinations());
    return isWriteDeferred;
  }

  private void place(JobState job, PreemptionPlanner preemptionPlanner, PreemptionPolicy policy) {
    boolean excludesReclaimed = borrowing.isBorrowing(job);
    if (job.gang() == null) {
      SearchConstraints constraints =
          new SearchConstraints(gpuHeadroom.appliesTo(job), excludesReclaimed);
      taskScheduler.place(job, preemptionPlanner, constraints, policy.canPreemptForArray(job));
    } else {
      gangScheduler.place(job, preemptionPlanner, new SearchConstraints(false, excludesReclaimed));
    }
  }

  /**
   * Starts a new usage count and returns the jobs with tasks to place or changes to write, in queue
   * order.
   */
  public List<JobState> queuedJobs() {
    usage.reset();
    return fairShareOrder.sort(jobs);
  }

  /** Discards the state of the previous leadership term. */
  public void clear() {
    capacity.clear();
    borrowing.clear();
    preemptionBudget.clear();
  }

  /** Runs the periodic work that does not belong to a round. */
  public void tick() {
    borrowing.tick();
  }
}
