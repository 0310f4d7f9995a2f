package eiderfork.controller;

import com.google.common.collect.ImmutableSet;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.VictimPreference;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes room for jobs that find none: stops what {@link PreemptionPolicy} lets it, gangs as a
 * whole, or moves replicas that fit elsewhere, whichever costs least. What is freed is claimed for
 * the job.
 */
final class PreemptionPlanner {
  private static final Logger LOG = LoggerFactory.getLogger(PreemptionPlanner.class);

  /** How long room is claimed for a job while what holds it stops, in steps. */
  private static final int CLAIM_DURATION_STEPS = 5;

  /** What a job needs for which no room could be made in a zone. */
  private record InfeasibleRequest(
      Resources need,
      Priority priority,
      ImmutableSet<String> types,
      boolean spot,
      String zone,
      String image,
      Object preemptorClass,
      VictimPreference maxPreference) {}

  /** What stopping or moving some tasks of a machine would cost. */
  private record Option(MachineState machine, List<VictimTask> victims, double cost) {
    int machineNumber() {
      return machine.number();
    }

    List<PreemptionPolicy.Choice> stoppedTasks() {
      return victims.stream().filter(v -> v.choice != null).map(v -> v.choice).toList();
    }

    /** How long until the last of them has left, in seconds. */
    double delayS() {
      return stoppedTasks().stream().mapToDouble(choice -> choice.plan().delayS()).max().orElse(0);
    }
  }

  /**
   * A task that may have to go.
   *
   * @param choice how it is stopped; null for a replica that is moved
   */
  private record VictimTask(Reservation reservation, PreemptionPolicy.Choice choice, double cost) {}

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final FreeCapacity capacity;
  private final ImageFetchEstimator imageFetch;
  private final CpusPerGpu cpusPerGpu;
  private final PreemptionPolicy policy;
  private final ReplicaMigration migrations;
  private final double maxExaminations;

  /** The replicas that move for the gang that room is being made for. */
  private final List<Reservation> migratingReplicas = new ArrayList<>();

  private final Set<InfeasibleRequest> infeasible = new HashSet<>();

  /** Looks at a machine for this; past the bound on a search no more room is made in a round. */
  private int examinedMachines;

  /** Whether work may be stopped, and not only replicas moved. */
  private boolean canStopTasks;

  /** Up to which kind of work victims are looked for now. */
  private VictimPreference maxPreference;

  /**
   * @param maxExaminations past this many looks at machines no more room is made in this round
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
    this.cpusPerGpu = cpusPerGpu;
    this.policy = policy;
    this.maxExaminations = maxExaminations;
    migrations = new ReplicaMigration(context, capacity, imageFetch, cpusPerGpu);
  }

  /** How many looks at machines were taken for this. */
  int examinedMachines() {
    return examinedMachines + migrations.examinedMachines();
  }

  /**
   * For how many tasks room was found, on machines where the image comes within {@code imageS}. For
   * a better place than there is, only replicas are moved: what an array has done is worth more.
   */
  int preempt(JobState job, int wanted, Map<String, Integer> tasksByZone, double imageS) {
    int made = preemptUnconfirmed(job, wanted, tasksByZone, imageS);
    policy.confirm(job);
    migratingReplicas.clear();
    return made;
  }

  /**
   * Makes room for every task of a gang, with what is free and with what can be freed, or for none:
   * what would be stopped for a part of it alone goes on.
   *
   * @param tasksByZone the zones to be tried, with no tasks in them yet
   */
  boolean preemptForGang(JobState job, Map<String, Integer> tasksByZone) {
    int wanted = job.spec.tasks();
    Set<InfeasibleRequest> provedBefore = Set.copyOf(infeasible);
    if (preemptUnconfirmed(job, wanted, tasksByZone, Double.MAX_VALUE) == wanted) {
      policy.confirm(job);
      migratingReplicas.clear();
      return true;
    }
    policy.rollBack();
    migratingReplicas.forEach(jobs::revokeStop);
    migratingReplicas.clear();
    capacity.releaseClaims(job);
    // What was proved beside the tasks that found room does not hold without them.
    infeasible.retainAll(provedBefore);
    return false;
  }

  private int preemptUnconfirmed(
      JobState job, int wanted, Map<String, Integer> tasksByZone, double imageS) {
    boolean isArray = job.spec.kind() == JobKind.ARRAY;
    if (isArray && !policy.canPreemptForArray(job)) {
      return 0;
    }
    canStopTasks = imageS == Double.MAX_VALUE;
    int most = policy.maxTasks(job, wanted);
    int made = 0;
    for (VictimPreference preference : policy.preferences(job)) {
      maxPreference = preference;
      if (made < most && examinedMachines() <= maxExaminations) {
        made += preemptUpToPreference(job, most - made, tasksByZone, imageS);
      }
    }
    return made;
  }

  /** Each machine is looked at once for a job, and again only when it is chosen. */
  private int preemptUpToPreference(
      JobState job, int wanted, Map<String, Integer> tasksByZone, double imageS) {
    Set<String> open = capacity.eligibleZones(job, tasksByZone);
    open.removeIf(zone -> infeasible.contains(infeasible(job, zone)));
    if (open.isEmpty()) {
      return 0;
    }
    PriorityQueue<Option> options =
        new PriorityQueue<>(
            Comparator.comparingDouble(Option::cost).thenComparingInt(Option::machineNumber));
    for (MachineState machine : capacity.usableMachines()) {
      if (open.contains(machine.zone())
          && capacity.isAllowed(job, machine, tasksByZone)
          && imageFetch.waitS(job.spec, machine) <= imageS) {
        addIfPresent(options, optionFor(job, machine));
      }
    }
    for (int made = 0; made < wanted; made++) {
      Option best = cheapest(job, options, tasksByZone);
      if (best == null) {
        recordInfeasible(job, open, tasksByZone);
        return made;
      }
      apply(job, best);
      tasksByZone.merge(best.machine.zone(), 1, Integer::sum);
      addIfPresent(options, optionFor(job, best.machine));
    }
    return wanted;
  }

  private void apply(JobState job, Option best) {
    migrations.confirm();
    for (VictimTask victim : best.victims) {
      if (victim.choice == null) {
        Reservation reservation = victim.reservation;
        LOG.info(
            "moving {} off {} for {}",
            reservation.toAttempt(),
            best.machine.name(),
            job.spec.uid());
        jobs.requestStop(reservation);
        best.machine.requestCommand();
        migratingReplicas.add(reservation);
      }
    }
    policy.preempt(job, best.machine, best.stoppedTasks());
    long untilMs =
        context.nowMs + CLAIM_DURATION_STEPS * context.stepMs() + Math.round(best.delayS() * 1000);
    capacity.addClaim(new FreeCapacity.Claim(job, best.machine, untilMs));
  }

  private InfeasibleRequest infeasible(JobState entry, String zone) {
    Job job = entry.spec;
    return new InfeasibleRequest(
        job.taskResources(),
        job.priority(),
        job.allowedTypes(),
        job.spotAllowed(),
        zone,
        canStopTasks ? null : job.image() + " in time",
        policy.preemptorClass(entry),
        maxPreference);
  }

  /** In none of the zones that would take one more task can room be made. */
  private void recordInfeasible(JobState job, Set<String> open, Map<String, Integer> tasksByZone) {
    if (!job.failureHistory.failedMachines().isEmpty()) {
      return;
    }
    open.retainAll(capacity.eligibleZones(job, tasksByZone));
    open.forEach(zone -> infeasible.add(infeasible(job, zone)));
  }

  private static void addIfPresent(PriorityQueue<Option> options, Option option) {
    if (option != null) {
      options.add(option);
    }
  }

  /** The cheapest option as it is now; the room that moves need may be taken meanwhile. */
  private Option cheapest(
      JobState job, PriorityQueue<Option> options, Map<String, Integer> tasksByZone) {
    while (!options.isEmpty()) {
      Option top = options.remove();
      if (!capacity.isAllowed(job, top.machine, tasksByZone)) {
        continue;
      }
      Option now = optionFor(job, top.machine);
      if (now != null && (options.isEmpty() || now.cost <= options.peek().cost)) {
        return now;
      }
      addIfPresent(options, now);
    }
    return null;
  }

  /** The tasks that have to go from a machine so that one of the job fits, or null. */
  private Option optionFor(JobState entry, MachineState machine) {
    Job job = entry.spec;
    examinedMachines++;
    capacity.countExamined();
    migrations.beginOption();
    policy.beginOption();
    // A gang that borrows once claimed the room that is kept from it, and kept it from all others.
    Resources left = capacity.freeOn(machine, entry, policy.isBorrowing(entry));
    List<VictimTask> able = new ArrayList<>();
    for (Reservation reservation : machine.reservations()) {
      if (policy.isFreeingCapacity(reservation)) {
        left = left.plus(reservation.job.spec.taskResources());
      } else if (reservation.isCommitted() && policy.canPreemptOn(machine)) {
        addVictim(able, entry, reservation);
      }
    }
    if (job.taskResources().fitsIn(left)) {
      return new Option(machine, List.of(), imageWaitCost(job, machine));
    }
    able.sort(Comparator.comparingDouble(VictimTask::cost));
    List<VictimTask> victims = new ArrayList<>();
    for (VictimTask victim : able) {
      if (job.taskResources().fitsIn(left)) {
        break;
      }
      if (include(entry, victim)) {
        left = left.plus(victim.reservation.job.spec.taskResources());
        victims.add(victim);
      }
    }
    if (!job.taskResources().fitsIn(left)) {
      return null;
    }
    dropUnneeded(job, victims, left);
    double loss = imageWaitCost(job, machine);
    for (VictimTask victim : victims) {
      loss += victim.cost;
    }
    return new Option(machine, victims, loss);
  }

  private void addVictim(List<VictimTask> able, JobState job, Reservation reservation) {
    PreemptionPolicy.Choice choice =
        canStopTasks ? policy.evaluate(job, reservation, maxPreference) : null;
    double loss =
        choice == null ? migrations.cost(job.spec, reservation, !canStopTasks) : choice.cost();
    if (loss < Double.MAX_VALUE) {
      able.add(new VictimTask(reservation, choice, loss));
    }
  }

  private boolean include(JobState job, VictimTask victim) {
    return victim.choice == null
        ? migrations.reserveTarget(victim.reservation)
        : policy.include(job, victim.choice, maxPreference);
  }

  /** Those taken first may not be needed beside those taken last. */
  private static void dropUnneeded(Job job, List<VictimTask> victims, Resources room) {
    Resources left = room;
    for (VictimTask victim : List.copyOf(victims)) {
      Resources without = left.minus(victim.reservation.job.spec.taskResources());
      if (job.taskResources().fitsIn(without)) {
        left = without;
        victims.remove(victim);
      }
    }
  }

  /**
   * What the wait for an image throws away. Without it a replica of four GPUs once took the room of
   * an array on a machine that was still fetching other images, and waited 62 s for its own.
   */
  private double imageWaitCost(Job job, MachineState machine) {
    return imageFetch.waitS(job, machine) * cpusPerGpu.gpuWeight(job.taskResources());
  }
}
