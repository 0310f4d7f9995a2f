package eiderfork.controller.autoscaling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.scheduling.ArrayParallelism;
import eiderfork.controller.scheduling.PlacementConstraints;
import eiderfork.controller.scheduling.Scheduler;
import eiderfork.controller.store.StoreClient;
import eiderfork.controller.workers.LeaseExpiry;
import eiderfork.controller.workers.MachineLiveness;
import eiderfork.model.Job;
import eiderfork.model.MachineKind;
import eiderfork.model.Resources;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Plans the size of the fleet. Packs pending tasks and the headroom for arrivals onto the machines
 * that are in service or being provisioned, scales out for the tasks that fit on none of them, and
 * scales in the machines that nothing was packed on.
 */
public final class Autoscaler {
  /** The maximum number of machines that the cloud protocol allows in one rent request. */
  private static final int MAX_MACHINES_PER_RENT = 50;

  /**
   * The time, in worker leases, that a job suspected of failing on every machine waits for free
   * capacity before a machine is rented for it.
   */
  private static final int SUSPECT_JOB_WAIT_LEASES = 3;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final LeaseExpiry leaseExpiry;
  private final CloudProvisioner cloud;
  private final Scheduler scheduler;
  private final MachineConsolidation consolidation;
  private final ArrayParallelism arrayParallelism;
  private final BootDelayDetector bootDelays;
  private final PlannableMachines plannableMachines;
  private final ArrivalForecast arrivals;
  private final ScaleInPolicy scaleInPolicy;
  private final FleetLog fleetLog;
  private int examinedBins;

  /** Creates an autoscaler without recorded arrivals. */
  public Autoscaler(
      ControllerContext context,
      StoreClient store,
      JobRegistry jobs,
      MachineRegistry fleet,
      MachineLiveness liveness,
      LeaseExpiry leaseExpiry,
      CloudProvisioner cloud,
      Scheduler scheduler) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    this.leaseExpiry = leaseExpiry;
    this.cloud = cloud;
    this.scheduler = scheduler;
    consolidation = new MachineConsolidation(context, jobs, fleet, liveness, scheduler);
    arrayParallelism = new ArrayParallelism(context);
    bootDelays = new BootDelayDetector(context);
    plannableMachines = new PlannableMachines(fleet, liveness, cloud, bootDelays);
    arrivals = new ArrivalForecast(context, fleet);
    scaleInPolicy = new ScaleInPolicy(context, fleet, liveness, leaseExpiry, cloud, bootDelays);
    fleetLog = new FleetLog(context, store, jobs, fleet, liveness);
  }

  /** Discards the arrivals observed in an earlier term. */
  public void reset() {
    arrivals.reset();
  }

  /** Records the submission of a job for the headroom forecast. */
  public void recordArrival(Job job) {
    arrivals.recordArrival(job);
  }

  /** Returns the number of bin examinations in the last plan. */
  public int examinedBins() {
    return examinedBins;
  }

  /** Computes a new plan and carries it out. */
  public void plan() {
    BinPacking packing = pack();
    examinedBins = packing.examinedBins();
    fleetLog.logIfDue(scheduler.machineExaminations(), examinedBins);
    scaleOut(packing.binsToRent());
    consolidation.plan(packing, !packing.binsToRent().isEmpty());
    scaleInPolicy.returnUnneeded(packing.existingBins());
  }

  private BinPacking pack() {
    List<JobState> queue = scheduler.queuedJobs();
    BinPacking packing =
        new BinPacking(
            context,
            fleet,
            cloud,
            scheduler.cpusPerGpu(),
            plannableMachines.toBins(),
            bootDelays.lateKinds(fleet));
    packQueue(queue, packing);
    packTasksOfSuspectedMachines(packing);
    arrivals.forEachJobClass((sampleJob, tasks) -> packHeadroom(sampleJob, tasks, packing));
    return packing;
  }

  private void packQueue(List<JobState> queue, BinPacking packing) {
    Map<String, Resources> usedByTeam = new HashMap<>();
    for (JobState job : queue) {
      if (!job.isCancelled()
          && !job.isCancelling()
          && context.nowMs() >= job.failureHistory().notBeforeMs()) {
        packWaitingTasks(job, packing, usedByTeam);
      }
    }
  }

  private void packWaitingTasks(
      JobState job, BinPacking packing, Map<String, Resources> usedByTeam) {
    Job spec = job.spec();
    Team team = context.settings.teams().get(spec.team());
    if (team == null) {
      return;
    }
    Resources used = usedByTeam.computeIfAbsent(spec.team(), jobs.resourceUsage()::used);
    int tasks = team.countWithinLimit(used, spec.taskResources(), tasksToPlanFor(job));
    if (tasks > 0) {
      Map<String, Integer> tasksByZone = PlacementConstraints.countTasksByZone(job);
      int packed = packing.packTasks(spec, tasks, tasksByZone, spec.maxTasksPerZone());
      usedByTeam.put(spec.team(), used.plus(spec.taskResources().times(packed)));
    }
  }

  /**
   * Returns the number of a job's tasks to plan capacity for. A job suspected of failing on every
   * machine is retried on free capacity; a machine is rented for one of its tasks only if it has
   * found no free capacity for a long time.
   */
  private int tasksToPlanFor(JobState job) {
    if (!job.failureHistory().isConfirmedSuspect()) {
      return arrayParallelism.tasksToPlanFor(job);
    }
    long waitedMs = context.nowMs() - job.failureHistory().notBeforeMs();
    boolean hasWaitedLong = waitedMs > SUSPECT_JOB_WAIT_LEASES * context.workerLeaseMs();
    return job.reservations().isEmpty() && hasWaitedLong ? 1 : 0;
  }

  /**
   * Packs replacements for the tasks of machines that are suspected to have failed. These tasks
   * need other machines when the leases expire, and a new machine is ready only after its boot
   * time.
   */
  private void packTasksOfSuspectedMachines(BinPacking packing) {
    for (MachineState machine : suspectedMachines()) {
      for (Reservation reservation : machine.reservations()) {
        if (reservation.isDesired()) {
          packReplacement(reservation, packing);
        }
      }
    }
  }

  /**
   * Returns the machines that are suspected to have failed; none if most live machines are
   * suspected, since then this node is probably the one that is disconnected.
   */
  private List<MachineState> suspectedMachines() {
    List<MachineState> suspected = new ArrayList<>();
    int live = 0;
    for (MachineState machine : fleet.machines()) {
      if (machine.lastHeartbeat() != null && !machine.lifecycle().isScalingIn()) {
        live++;
        if (leaseExpiry.isSuspected(machine)) {
          suspected.add(machine);
        }
      }
    }
    return suspected.size() * 2 > live ? List.of() : suspected;
  }

  private static void packReplacement(Reservation reservation, BinPacking packing) {
    Job spec = reservation.job().spec();
    Map<String, Integer> tasksByZone = PlacementConstraints.countTasksByZone(reservation.job());
    tasksByZone.merge(reservation.machine().zone(), -1, Integer::sum);
    packing.packTasks(spec, 1, tasksByZone, spec.maxTasksPerZone());
  }

  private static void packHeadroom(Job sampleJob, int tasks, BinPacking packing) {
    int maxTasksPerZone = sampleJob.spreadZones() ? (tasks + 1) / 2 : tasks;
    packing.packTasks(sampleJob, tasks, new HashMap<>(), maxTasksPerZone);
  }

  private void scaleOut(List<Bin> binsToRent) {
    // While earlier rents wait for the rate limit, demand accumulates into fewer, larger rents.
    if (!cloud.hasCompleteListing() || cloud.scaleOut().hasUnsentRents()) {
      return;
    }
    Map<MachineKind, Integer> countByKind = new LinkedHashMap<>();
    binsToRent.forEach(bin -> countByKind.merge(bin.kind(), 1, Integer::sum));
    countByKind.forEach(this::scaleOut);
  }

  /** Rents {@code count} machines of a kind, in at most as many requests as are allowed at once. */
  private void scaleOut(MachineKind kind, int count) {
    int remaining = count;
    for (int i = 0; i < cloud.scaleOut().maxConcurrentRents(kind) && remaining > 0; i++) {
      cloud.scaleOut().rent(kind, Math.min(remaining, MAX_MACHINES_PER_RENT));
      remaining -= MAX_MACHINES_PER_RENT;
    }
  }
}
