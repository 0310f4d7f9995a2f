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
 * Frees capacity for jobs that find none in a round, by preempting tasks that the {@link
 * PreemptionPolicy} allows (gangs as a whole) or by migrating replicas that fit elsewhere, choosing
 * the cheapest option. The freed capacity is claimed for the job.
 */
final class PreemptionPlanner {
  private static final Logger LOG = LoggerFactory.getLogger(PreemptionPlanner.class);

  /** The duration of a claim beyond the expected end of its victims, in steps. */
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

  /** Replicas whose migration is not confirmed yet. */
  private final List<Reservation> unconfirmedMigrations = new ArrayList<>();

  /**
   * Creates the planner of one round.
   *
   * @param maxExaminations the number of machine examinations after which no further search begins
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

  /** Returns the number of machine examinations for preemption. */
  int examinations() {
    return finder.examinations();
  }

  /**
   * Frees capacity for tasks of a job.
   *
   * @param wantedTasks the number of tasks that need capacity
   * @param tasksByZone the job's task count in each zone; increased for each task that capacity is
   *     freed for
   * @param maxImageWaitS the longest acceptable wait for the image on a machine
   * @return the number of tasks for which capacity is being freed
   */
  int preempt(
      JobState job, int wantedTasks, Map<String, Integer> tasksByZone, double maxImageWaitS) {
    int freedTasks = preemptUnconfirmed(job, wantedTasks, tasksByZone, maxImageWaitS);
    confirm(job);
    return freedTasks;
  }

  /**
   * Frees capacity for all tasks of a gang or for none, counting capacity that is already free.
   *
   * @param tasksByZone the zones to try, with zero task counts; empty to allow any zone
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
    // Zones found infeasible while the gang's other tasks held claims may be feasible without those
    // claims.
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

  /**
   * Frees capacity from victims up to the preference of the request. Each machine is examined once,
   * and again only when its option is chosen.
   */
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

  /**
   * Removes and returns the option that is cheapest when evaluated again, since migration targets
   * may have been taken in the meantime. Returns null if no option remains.
   */
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

  /** Records the zones that would accept another task of the job but have no victims for it. */
  private void recordInfeasible(
      PreemptionRequest request, Set<String> zones, Map<String, Integer> tasksByZone) {
    JobState job = request.job();
    // The result of a job that avoids the machines on which it failed does not apply to other jobs.
    if (job.failureHistory().failedMachines().isEmpty()) {
      zones.retainAll(capacity.eligibleZones(job, tasksByZone));
      zones.forEach(zone -> infeasible.add(request, zone));
    }
  }
}
