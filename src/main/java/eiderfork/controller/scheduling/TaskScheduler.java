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
 * Places the tasks of services and arrays, each by itself, and has capacity preempted for those
 * that find none.
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
   * @param canPreemptForArray whether work may be preempted for the job if it is an array
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
   * Whether searches have proved that the job finds no capacity, and none may be preempted for it
   * now. It spares thousands of jobs that wait for machines to boot a search in each round.
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

    /** Claims of this job whose capacity it has not used yet. */
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
      // Only a confirmed suspicion counts: a new leader may suspect an array that was preempted
      // again and again.
      if (isOutOfCapacity && !job.failureHistory().isConfirmedSuspect()) {
        int maxTasks = job.failureHistory().isSuspected() ? 1 : startable;
        int wantedTasks = Math.min(job.pendingTaskCount(), maxTasks) - restoredClaims;
        preempt(wantedTasks, PreemptionRequest.ANY_IMAGE_WAIT_S);
      }
    }

    /** Places one task; whether the next one may be tried. */
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

    /** Renews the claims that tasks still wait for; how many there are. */
    private int restoreClaims() {
      int restoredClaims = Math.min(claims.size(), job.pendingTaskCount());
      claims.subList(0, restoredClaims).forEach(capacity::addClaim);
      return restoredClaims;
    }

    /** Whether the image takes longer to come to the machine than a task of the class may wait. */
    private boolean isImageTooLate(MachineState machine) {
      return imageFetch.waitS(spec, machine) > startObjectiveS();
    }

    /** How long a task of this class may wait for its start, by the service-level objectives. */
    private double startObjectiveS() {
      return context.settings.shortestObjectiveS(Objective.Kind.WAIT, spec.jobClass());
    }

    /**
     * Tries once to preempt on machines where the image comes in time, and waits for the capacity
     * as long as the claims on it last.
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
