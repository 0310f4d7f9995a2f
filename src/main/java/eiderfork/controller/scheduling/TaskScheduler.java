package eiderfork.controller.scheduling;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.AllocationSizeLimit;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Resources;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Places the tasks of services and arrays one at a time, and requests preemption for tasks that
 * find no capacity.
 */
final class TaskScheduler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskScheduler.class);

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final FreeCapacity capacity;
  private final MachineSearchFactory searches;
  private final AllocationSizeLimitFactory sizeLimits;
  private final ImageFetchEstimator imageFetch;
  private final RoundUsage usage;
  private final PreemptionBudget preemptionBudget;
  private final ArrayParallelism arrayParallelism;

  TaskScheduler(
      ControllerContext context,
      JobRegistry jobs,
      FreeCapacity capacity,
      MachineSearchFactory searches,
      AllocationSizeLimitFactory sizeLimits,
      ImageFetchEstimator imageFetch,
      RoundUsage usage,
      PreemptionBudget preemptionBudget) {
    this.context = context;
    this.jobs = jobs;
    this.capacity = capacity;
    this.searches = searches;
    this.sizeLimits = sizeLimits;
    this.imageFetch = imageFetch;
    this.usage = usage;
    this.preemptionBudget = preemptionBudget;
    arrayParallelism = new ArrayParallelism(context);
  }

  /**
   * Proposes reservations for the pending tasks of a job.
   *
   * @param canPreemptForArray whether preemption is allowed if the job is an array
   */
  void place(
      JobState job,
      PreemptionPlanner preemptionPlanner,
      SearchConstraints constraints,
      boolean canPreemptForArray) {
    if (!isKnownUnschedulable(job, canPreemptForArray)) {
      new Placement(job, preemptionPlanner, constraints).placeAll();
    }
  }

  /**
   * Returns whether failed searches show that no capacity exists for the job and preemption is not
   * possible now. Skipping such jobs avoids a search per round for each of the thousands of jobs
   * that may be waiting for machines to boot.
   */
  private boolean isKnownUnschedulable(JobState job, boolean canPreemptForArray) {
    boolean canPreempt = job.spec().kind() != JobKind.ARRAY || canPreemptForArray;
    boolean canPreemptNow = canPreempt && preemptionBudget.isAvailable();
    return !canPreemptNow && !capacity.hasClaims(job) && capacity.isRuledOutInAllZones(job.spec());
  }

  /** The placement of one job's tasks in one round. */
  private final class Placement {
    private final JobState job;
    private final Job spec;
    private final PreemptionPlanner preemptionPlanner;
    private final Map<String, Integer> tasksByZone;

    /** The job's claims whose capacity is not used yet. */
    private final List<CapacityClaim> claims;

    private final long attempt;
    private final AllocationSizeLimit sizeLimit;
    private final MachineSearch search;
    private Resources used;
    private int startable;
    private boolean isOutOfCapacity;

    Placement(JobState job, PreemptionPlanner preemptionPlanner, SearchConstraints constraints) {
      this.job = job;
      this.preemptionPlanner = preemptionPlanner;
      spec = job.spec();
      tasksByZone = PlacementConstraints.countTasksByZone(job);
      used = usage.used(spec.team());
      claims = capacity.releaseClaims(job);
      startable = arrayParallelism.tasksToStart(job);
      attempt = job.nextAttemptNumber();
      sizeLimit = sizeLimits.create(job);
      search = searches.create(job, tasksByZone, claims.isEmpty(), constraints);
    }

    void placeAll() {
      int index = job.firstSchedulableTask(context.nowMs());
      while (index >= 0 && place(index)) {
        index = job.nextSchedulableTask(index, context.nowMs());
      }
      usage.record(spec.team(), used);
      int restoredClaims = restoreClaims();
      // Only a confirmed suspicion rules out preemption: a new leader may also suspect an array
      // that was preempted repeatedly.
      if (isOutOfCapacity && !job.failureHistory().isConfirmedSuspect()) {
        int maxTasks = job.failureHistory().isSuspected() ? 1 : startable;
        int wantedTasks = Math.min(job.pendingTaskCount(), maxTasks) - restoredClaims;
        preempt(wantedTasks, PreemptionRequest.ANY_IMAGE_WAIT_S);
      }
    }

    /** Places one task and returns whether to try the next one. */
    private boolean place(int index) {
      if (startable <= 0 || !usage.isWithinLimit(spec.team(), used.plus(spec.taskResources()))) {
        return false;
      }
      MachineState machine = search.bestMachine();
      if (machine == null) {
        isOutOfCapacity = !search.isSampled();
        return false;
      }
      if (!sizeLimit.fits(index, attempt, machine.name())
          || (isImageTooLate(machine) && isWaitingForBetterMachine())) {
        return false;
      }
      reserve(index, machine);
      return true;
    }

    private void reserve(int index, MachineState machine) {
      if (LOG.isDebugEnabled()) {
        LOG.debug(
            "task-placed task={}/{} attempt={} jobClass={} machine={} imageWaitS={}",
            spec.uid(),
            index,
            attempt,
            spec.jobClass(),
            machine.name(),
            imageFetch.waitS(spec, machine));
      }
      jobs.propose(job, index, attempt, machine);
      sizeLimit.add(index, attempt, machine.name());
      claims.removeIf(claim -> claim.machine() == machine);
      tasksByZone.merge(machine.zone(), 1, Integer::sum);
      search.taskPlaced();
      used = used.plus(spec.taskResources());
      startable--;
    }

    /** Restores the released claims that pending tasks still need and returns their number. */
    private int restoreClaims() {
      int restoredClaims = Math.min(claims.size(), job.pendingTaskCount());
      claims.subList(0, restoredClaims).forEach(capacity::addClaim);
      return restoredClaims;
    }

    /**
     * Returns whether the image would arrive on the machine later than the start objective allows.
     */
    private boolean isImageTooLate(MachineState machine) {
      return imageFetch.waitS(spec, machine) > startObjectiveS();
    }

    /** Returns the shortest start-time objective of the job's class. */
    private double startObjectiveS() {
      return context.settings.shortestObjectiveS(Objective.Kind.WAIT, spec.jobClass());
    }

    /**
     * Returns whether to wait for a machine on which the image arrives in time. Preemption on such
     * machines is tried once per job; the job then waits as long as the resulting claims last.
     */
    private boolean isWaitingForBetterMachine() {
      if (!claims.isEmpty()) {
        return true;
      }
      if (job.isCachedImageSearched()) {
        return false;
      }
      job.onCachedImageSearched();
      return preempt(job.pendingTaskCount(), startObjectiveS()) > 0;
    }

    private int preempt(int wantedTasks, double maxImageWaitS) {
      return preemptionBudget.isAvailable()
          ? preemptionPlanner.preempt(job, wantedTasks, tasksByZone, maxImageWaitS)
          : 0;
    }
  }
}
