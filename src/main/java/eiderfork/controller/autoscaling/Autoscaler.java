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
 * Plans the size of the fleet: packs waiting tasks, and headroom for arrivals, onto the machines
 * that are in service or on their way, scales out for what is left over, and scales in what nothing
 * was packed on.
 */
public final class Autoscaler {
  /** The most machines that the protocol lets one rent ask for. */
  private static final int MAX_RENT_COUNT = 50;

  /** How long a job that seems to fail everywhere waits before a machine is rented for it. */
  private static final int SUSPECT_JOB_WAIT_LEASES = 3;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final LeaseExpiry leaseExpiry;
  private final CloudProvisioner cloud;
  private final Scheduler scheduler;
  private final MachineConsolidation consolidation;
  private final ArrayParallelism arrayParallelism;
  private final BootTimeEstimator bootTimes;
  private final PlannableMachines plannableMachines;
  private final ArrivalForecast arrivals;
  private final ScaleInPolicy scaleInPolicy;
  private final FleetLog log;
  private int examinedBins;

  /** Makes an autoscaler that has seen no arrivals. */
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
    bootTimes = new BootTimeEstimator(context);
    plannableMachines = new PlannableMachines(fleet, liveness, cloud, bootTimes);
    arrivals = new ArrivalForecast(context, fleet);
    scaleInPolicy = new ScaleInPolicy(context, fleet, liveness, leaseExpiry, cloud, bootTimes);
    log = new FleetLog(context, store, jobs, fleet, liveness);
  }

  /** Forgets what was observed in a term that is over. */
  public void reset() {
    arrivals.reset();
  }

  /** A job was submitted. */
  public void recordArrival(Job job) {
    arrivals.recordArrival(job);
  }

  /** How many bins the last plan examined. */
  public int examinedBins() {
    return examinedBins;
  }

  /** Plans anew and carries the plan out. */
  public void plan() {
    BinPacking packing = pack();
    examinedBins = packing.examinedBins();
    log.logIfDue(scheduler.machineExaminations(), examinedBins);
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
            bootTimes.lateKinds(fleet));
    packQueue(queue, packing);
    packTasksOfSuspectedMachines(packing);
    arrivals.forEachClass((sampleJob, tasks) -> packHeadroom(sampleJob, tasks, packing));
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
    int tasks = team.countWithinLimit(used, spec.taskResources(), wantedTasks(job));
    if (tasks > 0) {
      Map<String, Integer> tasksByZone = PlacementConstraints.countTasksByZone(job);
      int placed = packing.place(spec, tasks, tasksByZone, spec.maxTasksPerZone());
      usedByTeam.put(spec.team(), used.plus(spec.taskResources().times(placed)));
    }
  }

  /**
   * How many tasks of a job to plan for. A job that seems to fail everywhere is tried on free
   * capacity; a machine is rented for one task of it only after it found none for long.
   */
  private int wantedTasks(JobState job) {
    if (!job.failureHistory().isConfirmedSuspect()) {
      return arrayParallelism.tasksToPlanFor(job);
    }
    long waitedMs = context.nowMs() - job.failureHistory().notBeforeMs();
    boolean hasWaitedLong = waitedMs > SUSPECT_JOB_WAIT_LEASES * context.workerLeaseMs();
    return job.reservations().isEmpty() && hasWaitedLong ? 1 : 0;
  }

  /**
   * Packs the tasks of machines that have been silent for a while: they need other machines when
   * the leases expire, and a machine takes a boot time to come.
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

  /** None where most are suspected: then it is this node that is cut off. */
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
    packing.place(spec, 1, tasksByZone, spec.maxTasksPerZone());
  }

  private static void packHeadroom(Job sampleJob, int tasks, BinPacking packing) {
    int maxPerZone = sampleJob.spreadZones() ? (tasks + 1) / 2 : tasks;
    packing.place(sampleJob, tasks, new HashMap<>(), maxPerZone);
  }

  private void scaleOut(List<Bin> binsToRent) {
    // While rents wait for the rate limit, further demand is collected into fewer, larger ones.
    if (!cloud.hasCompleteListing() || cloud.scaleOut().hasUnsentRents()) {
      return;
    }
    Map<MachineKind, Integer> countByKind = new LinkedHashMap<>();
    binsToRent.forEach(bin -> countByKind.merge(bin.kind(), 1, Integer::sum));
    countByKind.forEach(this::scaleOut);
  }

  /** Rents so many machines of a kind, as far as rents of it may be open at once. */
  private void scaleOut(MachineKind kind, int count) {
    int remaining = count;
    for (int i = 0; i < cloud.scaleOut().maxConcurrentRents(kind) && remaining > 0; i++) {
      cloud.scaleOut().rent(kind, Math.min(remaining, MAX_RENT_COUNT));
      remaining -= MAX_RENT_COUNT;
    }
  }
}
