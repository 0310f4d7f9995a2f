package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.StoredRecord;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Plans the fleet: packs what waits, and the arrivals to be ready for, onto the machines that are
 * up or on their way, rents for what is left over and returns what nothing was packed on.
 */
final class Autoscaler {
  /** The most machines that the protocol lets one rent ask for. */
  private static final int MAX_RENT_COUNT = 50;

  /** How long a job that seems to fail everywhere looks for room before a machine is rented. */
  private static final int SUSPECT_JOB_WAIT_LEASES = 3;

  /** The time that arrivals are remembered for, in boot times of the machines they need. */
  private static final double ARRIVAL_MEMORY_BOOTS = 2;

  /** What a class of jobs has asked for lately; what is longer ago fades. */
  private static final class ClassArrivals {
    Job sampleJob;

    /** The sum of the squares of the jobs' tasks: a job's tasks come all at once. */
    double squaredTasks;

    long updatedMs;

    void decay(long nowMs, double memoryMs) {
      if (memoryMs > 0) {
        squaredTasks *= Math.exp(-(nowMs - updatedMs) / memoryMs);
        updatedMs = nowMs;
      }
    }
  }

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final LeaseExpiry leaseExpiry;
  private final CloudProvisioner cloud;
  private final Scheduler scheduler;
  private final MachineConsolidation consolidation;
  private final ArrayParallelism arrayParallelism;
  private final BootTimeEstimator bootTimes;
  private final ScaleInPolicy scaleInPolicy;
  private final FleetLog log;
  private final Map<String, ClassArrivals> arrivalsByClass = new LinkedHashMap<>();
  private long arrivalsSinceMs;
  private int examinedBins;

  Autoscaler(
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
    this.liveness = liveness;
    this.leaseExpiry = leaseExpiry;
    this.cloud = cloud;
    this.scheduler = scheduler;
    consolidation = new MachineConsolidation(context, jobs, fleet, liveness, scheduler);
    arrayParallelism = new ArrayParallelism(context);
    bootTimes = new BootTimeEstimator(context);
    scaleInPolicy = new ScaleInPolicy(context, fleet, liveness, leaseExpiry, cloud, bootTimes);
    log = new FleetLog(context, store, jobs, fleet, liveness);
  }

  void reset() {
    arrivalsByClass.clear();
    arrivalsSinceMs = context.nowMs;
  }

  /** A job is new. */
  void recordArrival(Job job) {
    ClassArrivals arrivalsOfClass =
        arrivalsByClass.computeIfAbsent(job.jobClass(), c -> new ClassArrivals());
    arrivalsOfClass.sampleJob = job;
    arrivalsOfClass.decay(context.nowMs, bootMs(arrivalsOfClass) * ARRIVAL_MEMORY_BOOTS);
    arrivalsOfClass.squaredTasks += (double) job.tasks() * job.tasks();
  }

  /** How many looks at a machine the last plan took. */
  int examinedBins() {
    return examinedBins;
  }

  void plan() {
    List<JobState> ranked = scheduler.queuedJobs();
    BinPacking packing =
        new BinPacking(
            context,
            fleet,
            cloud,
            scheduler.gpuBalance(),
            availableBins(),
            bootTimes.lateKinds(fleet));
    Map<String, Resources> used = new HashMap<>();
    for (JobState job : ranked) {
      if (job.isCancelled()
          || job.isCancelling()
          || context.nowMs < job.failureHistory.notBeforeMs()) {
        continue;
      }
      pack(job, packing, used);
    }
    packTasksOfSuspectedMachines(packing);
    arrivalsByClass.values().forEach(arrivalsOfClass -> packHeadroom(arrivalsOfClass, packing));
    examinedBins = packing.examinedBins();
    log.logIfDue(scheduler.examinedMachines(), examinedBins);
    scaleOut(packing.binsToRent());
    consolidation.plan(packing, !packing.binsToRent().isEmpty());
    scaleInPolicy.returnUnneeded(packing.existingBins());
  }

  private List<Bin> availableBins() {
    List<Bin> bins = new ArrayList<>();
    for (MachineState machine : fleet.machines()) {
      if (machine.spec() == null
          || machine.capacity() == null
          || machine.lifecycle().isScalingIn()
          || machine.failures().isFaulty()) {
        continue;
      }
      MachineType type = fleet.typeOf(machine);
      boolean coming =
          machine.lastHeartbeat() == null && type != null && !bootTimes.isLate(machine, type);
      if (coming || liveness.isSchedulable(machine)) {
        CloudProvisioner.MachineKind kind =
            new CloudProvisioner.MachineKind(
                machine.spec().type(), machine.spec().zone(), machine.spec().spot());
        bins.add(new Bin(machine, kind, machine.capacity(), machine.freeCapacity()));
      }
    }
    for (StoredRecord.ScaleOutIntent open : cloud.rents().openRents()) {
      MachineType type = fleet.types().get(open.type());
      if (type != null) {
        CloudProvisioner.MachineKind kind =
            new CloudProvisioner.MachineKind(open.type(), open.zone(), open.spot());
        for (int i = 0; i < open.count(); i++) {
          bins.add(new Bin(null, kind, type.capacity(), type.capacity()));
        }
      }
    }
    bins.sort(Comparator.comparingDouble(bin -> bin.initialFreeShare));
    return bins;
  }

  private void packHeadroom(ClassArrivals arrivalsOfClass, BinPacking packing) {
    int ready = headroomTasks(arrivalsOfClass);
    int maxPerZone = arrivalsOfClass.sampleJob.spreadZones() ? (ready + 1) / 2 : ready;
    packing.place(arrivalsOfClass.sampleJob, ready, new HashMap<>(), maxPerZone);
  }

  private void pack(JobState entry, BinPacking packing, Map<String, Resources> used) {
    Job job = entry.spec;
    Team team = context.settings.teams().get(job.team());
    if (team == null) {
      return;
    }
    Resources before = used.computeIfAbsent(job.team(), jobs.resourceUsage()::used);
    int tasks = team.countWithinLimit(before, job.taskResources(), wantedTasks(entry));
    if (tasks > 0) {
      int put =
          packing.place(
              job, tasks, PlacementConstraints.countTasksByZone(entry), job.maxTasksPerZone());
      used.put(job.team(), before.plus(job.taskResources().times(put)));
    }
  }

  /**
   * How many tasks of a job need room now. One that seems to fail everywhere rents nothing: it is
   * tried where there is room, and gets a machine for one task only after it found none for long.
   */
  private int wantedTasks(JobState job) {
    if (job.failureHistory.isConfirmedSuspect()) {
      long sinceMs = context.nowMs - job.failureHistory.notBeforeMs();
      return job.reservations().isEmpty()
              && sinceMs > SUSPECT_JOB_WAIT_LEASES * context.workerLeaseMs()
          ? 1
          : 0;
    }
    return arrayParallelism.tasksToPlanFor(job);
  }

  /**
   * Packs what stands on machines that have been silent for a while: it will want new places when
   * their leases lapse, and machines for that take a boot's time to come.
   */
  private void packTasksOfSuspectedMachines(BinPacking packing) {
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
    if (suspected.size() * 2 > live) {
      // It is this node that is cut off.
      return;
    }
    for (MachineState machine : suspected) {
      for (Reservation reservation : machine.reservations()) {
        if (reservation.isDesired()) {
          Map<String, Integer> tasksByZone = PlacementConstraints.countTasksByZone(reservation.job);
          tasksByZone.merge(machine.zone(), -1, Integer::sum);
          packing.place(
              reservation.job.spec, 1, tasksByZone, reservation.job.spec.maxTasksPerZone());
        }
      }
    }
  }

  /**
   * How many tasks of a class to be ready for: the spread of its arrivals within a boot time. Jobs
   * come by chance and each with all of its tasks, so the variance is the sum of their squares.
   */
  private int headroomTasks(ClassArrivals arrivalsOfClass) {
    double bootMs = bootMs(arrivalsOfClass);
    if (arrivalsOfClass.sampleJob.kind() != JobKind.SERVICE || bootMs <= 0) {
      return 0;
    }
    double memoryMs = bootMs * ARRIVAL_MEMORY_BOOTS;
    arrivalsOfClass.decay(context.nowMs, memoryMs);
    double sinceMs = Math.max(bootMs, context.nowMs - arrivalsSinceMs);
    double seenMs = memoryMs * (1 - Math.exp(-sinceMs / memoryMs));
    double variance = arrivalsOfClass.squaredTasks / seenMs * bootMs;
    return (int)
        Math.round(context.settings.operator().headroomDeviations() * Math.sqrt(2 * variance));
  }

  private double bootMs(ClassArrivals arrivalsOfClass) {
    return fleet.longestBootMs(arrivalsOfClass.sampleJob);
  }

  private void scaleOut(List<Bin> wanted) {
    // Demand that grows while rents wait for their turn at the cloud is put into the next ones:
    // many small rents once took 25 s to ask for what a dozen larger ones bring.
    if (!cloud.hasCompleteListing() || cloud.rents().hasUnsentRents()) {
      return;
    }
    Map<CloudProvisioner.MachineKind, Integer> counts = new LinkedHashMap<>();
    wanted.forEach(bin -> counts.merge(bin.kind, 1, Integer::sum));
    counts.forEach(this::scaleOut);
  }

  /** Rents of one kind for so many machines, as far as they may be asked for at once. */
  private void scaleOut(CloudProvisioner.MachineKind kind, int count) {
    int left = count;
    for (int i = 0; i < cloud.rents().maxConcurrentRents(kind) && left > 0; i++) {
      cloud.rents().rent(kind, Math.min(left, MAX_RENT_COUNT));
      left -= MAX_RENT_COUNT;
    }
  }
}
