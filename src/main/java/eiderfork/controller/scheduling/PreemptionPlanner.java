package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.VictimPreference;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.JobKind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Frees capacity for the jobs of a round that find none: preempts what its {@link PreemptionPolicy}
 * allows, gangs as a whole, or migrates replicas that fit elsewhere, whichever costs least. What is
 * freed is claimed for the job.
 */
final class PreemptionPlanner {
  private static final Logger LOG = LoggerFactory.getLogger(PreemptionPlanner.class);

  /** How long capacity is claimed for a job beyond the time that its victims take to end. */
  private static final int CLAIM_DURATION_STEPS = 5;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final FreeCapacity capacity;
  private final ImageFetchEstimator imageFetch;
  private final PreemptionPolicy policy;
  private final ReplicaMigration migrations;
  private final PreemptionOptionFinder finder;
  private final InfeasiblePreemptions infeasible;
  private final double maxExaminations;

  /** The replicas whose migration is not confirmed yet. */
  private final List<Reservation> unconfirmedMigrations = new ArrayList<>();

  /**
   * Creates the planner of one round.
   *
   * @param maxExaminations once more machines than this were examined, no further search begins
   */
  PreemptionPlanner(
      ControllerContext context,
      JobRegistry jobs,
      FreeCapacity capacity,
      ImageFetchEstimator imageFetch,
      CpusPerGpu cpusPerGpu,
      PreemptionPolicy policy,
      double maxExaminations) {
    this.context = context;
    this.jobs = jobs;
    this.capacity = capacity;
    this.imageFetch = imageFetch;
    this.policy = policy;
    this.maxExaminations = maxExaminations;
    migrations = new ReplicaMigration(context, capacity, imageFetch, cpusPerGpu);
    finder = new PreemptionOptionFinder(capacity, imageFetch, cpusPerGpu, policy, migrations);
    infeasible = new InfeasiblePreemptions(policy);
  }

  /** How often a machine was examined for preemption. */
  int examinations() {
    return finder.examinations();
  }

  /**
   * Frees capacity for tasks of a job.
   *
   * @param wantedTasks for how many tasks
   * @param tasksByZone the job's tasks in each zone; those that capacity is freed for are added
   * @param maxImageWaitS how long the image may take to come to a machine
   * @return for how many tasks capacity is being freed
   */
  int preempt(
      JobState job, int wantedTasks, Map<String, Integer> tasksByZone, double maxImageWaitS) {
    int freedTasks = preemptUnconfirmed(job, wantedTasks, tasksByZone, maxImageWaitS);
    confirm(job);
    return freedTasks;
  }

  /**
   * Frees capacity for every task of a gang, counting what is free already, or for none.
   *
   * @param tasksByZone the zones to be tried, with no tasks in them yet
   * @return whether capacity is being freed for all tasks
   */
  boolean preemptForGang(JobState job, Map<String, Integer> tasksByZone) {
    int wantedTasks = job.spec().tasks();
    InfeasiblePreemptions.Snapshot infeasibleBefore = infeasible.snapshot();
    if (preemptUnconfirmed(job, wantedTasks, tasksByZone, PreemptionRequest.ANY_IMAGE_WAIT_S)
        == wantedTasks) {
      confirm(job);
      return true;
    }
    rollBack(job);
    // What was found infeasible beside the tasks with capacity is not proved without them.
    infeasible.restore(infeasibleBefore);
    return false;
  }

  private void confirm(JobState job) {
    policy.confirm(job);
    unconfirmedMigrations.clear();
  }

  private void rollBack(JobState job) {
    policy.rollBack();
    unconfirmedMigrations.forEach(jobs::revokeStop);
    unconfirmedMigrations.clear();
    capacity.releaseClaims(job);
  }

  private int preemptUnconfirmed(
      JobState job, int wantedTasks, Map<String, Integer> tasksByZone, double maxImageWaitS) {
    if (job.spec().kind() == JobKind.ARRAY && !policy.canPreemptForArray(job)) {
      return 0;
    }
    int maxTasks = policy.maxTasks(job, wantedTasks);
    int freedTasks = 0;
    for (VictimPreference preference : policy.victimPreferences(job)) {
      if (freedTasks < maxTasks && examinations() <= maxExaminations) {
        PreemptionRequest request = new PreemptionRequest(job, maxImageWaitS, preference);
        freedTasks += preemptUpToPreference(request, maxTasks - freedTasks, tasksByZone);
      }
    }
    return freedTasks;
  }

  /** Examines each machine once for the request, and again only when its option is chosen. */
  private int preemptUpToPreference(
      PreemptionRequest request, int wantedTasks, Map<String, Integer> tasksByZone) {
    Set<String> zones = capacity.eligibleZones(request.job(), tasksByZone);
    zones.removeIf(zone -> infeasible.contains(request, zone));
    if (zones.isEmpty()) {
      return 0;
    }
    PriorityQueue<PreemptionOption> options = options(request, zones, tasksByZone);
    for (int freedTasks = 0; freedTasks < wantedTasks; freedTasks++) {
      PreemptionOption cheapest = removeCheapest(request, options, tasksByZone);
      if (cheapest == null) {
        recordInfeasible(request, zones, tasksByZone);
        return freedTasks;
      }
      apply(request.job(), cheapest);
      tasksByZone.merge(cheapest.machine().zone(), 1, Integer::sum);
      addIfFound(options, finder.find(request, cheapest.machine()));
    }
    return wantedTasks;
  }

  private PriorityQueue<PreemptionOption> options(
      PreemptionRequest request, Set<String> zones, Map<String, Integer> tasksByZone) {
    JobState job = request.job();
    PriorityQueue<PreemptionOption> options = new PriorityQueue<>(PreemptionOption.CHEAPEST_FIRST);
    for (MachineState machine : capacity.usableMachines()) {
      if (zones.contains(machine.zone())
          && capacity.isAllowed(job, machine, tasksByZone)
          && imageFetch.waitS(job.spec(), machine) <= request.maxImageWaitS()) {
        addIfFound(options, finder.find(request, machine));
      }
    }
    return options;
  }

  private static void addIfFound(PriorityQueue<PreemptionOption> options, PreemptionOption option) {
    if (option != null) {
      options.add(option);
    }
  }

  /** The cheapest option as it is now, since a migration's target may be taken meanwhile. */
  private PreemptionOption removeCheapest(
      PreemptionRequest request,
      PriorityQueue<PreemptionOption> options,
      Map<String, Integer> tasksByZone) {
    while (!options.isEmpty()) {
      MachineState machine = options.remove().machine();
      if (!capacity.isAllowed(request.job(), machine, tasksByZone)) {
        continue;
      }
      PreemptionOption current = finder.find(request, machine);
      if (current != null && (options.isEmpty() || current.cost() <= options.peek().cost())) {
        return current;
      }
      addIfFound(options, current);
    }
    return null;
  }

  private void apply(JobState job, PreemptionOption option) {
    MachineState machine = option.machine();
    migrations.confirm();
    for (Reservation replica : option.migratedReplicas()) {
      LOG.info(
          "replica-migration task={} attempt={} machine={} preemptor={}",
          replica.toAttempt().task(),
          replica.attempt(),
          machine.name(),
          job.spec().uid());
      jobs.requestStop(replica);
      machine.requestCommand();
      unconfirmedMigrations.add(replica);
    }
    policy.preempt(job, machine, option.preemptions());
    long untilMs =
        context.nowMs()
            + CLAIM_DURATION_STEPS * context.stepMs()
            + Math.round(option.delayS() * 1000);
    capacity.addClaim(new CapacityClaim(job, machine, untilMs));
  }

  /** Records the zones that would take one more task and have no victims for it. */
  private void recordInfeasible(
      PreemptionRequest request, Set<String> zones, Map<String, Integer> tasksByZone) {
    JobState job = request.job();
    // A job that avoids machines on which it failed proves nothing about other jobs.
    if (job.failureHistory().failedMachines().isEmpty()) {
      zones.retainAll(capacity.eligibleZones(job, tasksByZone));
      zones.forEach(zone -> infeasible.add(request, zone));
    }
  }
}
