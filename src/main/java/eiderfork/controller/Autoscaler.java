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
  private static final int RENT_MOST = 50;

  /** How long a job that seems to fail everywhere looks for room before a machine is rented. */
  private static final int SUSPECT_RENT_LEASES = 3;

  /** The time that arrivals are remembered for, in boot times of the machines they need. */
  private static final double MEMORY_BOOTS = 2;

  /** What a class of jobs has asked for lately; what is longer ago fades. */
  private static final class Arrivals {
    Job sample;

    /** The sum of the squares of the jobs' tasks: a job's tasks come all at once. */
    double squares;

    long atMs;

    void fade(long nowMs, double memoryMs) {
      if (memoryMs > 0) {
        squares *= Math.exp(-(nowMs - atMs) / memoryMs);
        atMs = nowMs;
      }
    }
  }

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final LeaseExpiry lapses;
  private final CloudProvisioner cloud;
  private final Scheduler placer;
  private final MachineConsolidation drain;
  private final ArrayParallelism waves;
  private final BootTimeEstimator boots;
  private final ScaleInPolicy unneeded;
  private final FleetLog log;
  private final Map<String, Arrivals> arrivals = new LinkedHashMap<>();
  private long arrivalsSinceMs;
  private int examined;

  Autoscaler(
      ControllerContext context,
      StoreClient gate,
      JobRegistry jobs,
      MachineRegistry fleet,
      MachineLiveness liveness,
      LeaseExpiry lapses,
      CloudProvisioner cloud,
      Scheduler placer) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    this.liveness = liveness;
    this.lapses = lapses;
    this.cloud = cloud;
    this.placer = placer;
    drain = new MachineConsolidation(context, jobs, fleet, liveness, placer);
    waves = new ArrayParallelism(context);
    boots = new BootTimeEstimator(context);
    unneeded = new ScaleInPolicy(context, fleet, liveness, lapses, cloud, boots);
    log = new FleetLog(context, gate, jobs, fleet, liveness);
  }

  void clear() {
    arrivals.clear();
    arrivalsSinceMs = context.nowMs;
  }

  /** A job is new. */
  void arrived(Job job) {
    Arrivals a = arrivals.computeIfAbsent(job.jobClass(), c -> new Arrivals());
    a.sample = job;
    a.fade(context.nowMs, bootMs(a) * MEMORY_BOOTS);
    a.squares += (double) job.tasks() * job.tasks();
  }

  /** How many looks at a machine the last plan took. */
  int examined() {
    return examined;
  }

  void plan() {
    List<JobState> ranked = placer.ranked();
    BinPacking packing =
        new BinPacking(context, fleet, cloud, placer.gpuBalance(), bins(), boots.lateKinds(fleet));
    Map<String, Resources> used = new HashMap<>();
    for (JobState entry : ranked) {
      if (entry.aborted || entry.aborting || context.nowMs < entry.failures.notBeforeMs()) {
        continue;
      }
      pack(entry, packing, used);
    }
    packSuspected(packing);
    arrivals.values().forEach(a -> packHeadroom(a, packing));
    examined = packing.examined();
    log.tell(placer.examined(), examined);
    rent(packing.toRent());
    drain.plan(packing, !packing.toRent().isEmpty());
    unneeded.giveBack(packing.known());
  }

  private List<Bin> bins() {
    List<Bin> bins = new ArrayList<>();
    for (MachineState m : fleet.machines()) {
      if (m.machine == null || m.room == null || m.returning || m.faulty) {
        continue;
      }
      MachineType type = fleet.type(m);
      boolean coming = m.report() == null && type != null && !boots.isLate(m, type);
      if (coming || liveness.usable(m)) {
        CloudProvisioner.Kind kind =
            new CloudProvisioner.Kind(m.machine.type(), m.machine.zone(), m.machine.spot());
        bins.add(new Bin(m, kind, m.room, m.free()));
      }
    }
    for (StoredRecord.Rent open : cloud.rents().openRents()) {
      MachineType type = fleet.types().get(open.type());
      if (type != null) {
        CloudProvisioner.Kind kind =
            new CloudProvisioner.Kind(open.type(), open.zone(), open.spot());
        for (int i = 0; i < open.count(); i++) {
          bins.add(new Bin(null, kind, type.room(), type.room()));
        }
      }
    }
    bins.sort(Comparator.comparingDouble(bin -> bin.shareLeft));
    return bins;
  }

  private void packHeadroom(Arrivals a, BinPacking packing) {
    int ready = headroom(a);
    int zoneMost = a.sample.spread() ? (ready + 1) / 2 : ready;
    packing.put(a.sample, ready, new HashMap<>(), zoneMost);
  }

  private void pack(JobState entry, BinPacking packing, Map<String, Resources> used) {
    Job job = entry.job;
    Team team = context.settings.teams().get(job.team());
    if (team == null) {
      return;
    }
    Resources before = used.computeIfAbsent(job.team(), jobs.tally()::used);
    int tasks = team.tasksWithinLimit(before, job.need(), wanted(entry));
    if (tasks > 0) {
      int put = packing.put(job, tasks, PlacementConstraints.zonesOf(entry), job.perZone());
      used.put(job.team(), before.plus(job.need().times(put)));
    }
  }

  /**
   * How many tasks of a job need room now. One that seems to fail everywhere rents nothing: it is
   * tried where there is room, and gets a machine for one task only after it found none for long.
   */
  private int wanted(JobState entry) {
    if (entry.failures.isProvenSuspect()) {
      long sinceMs = context.nowMs - entry.failures.notBeforeMs();
      return entry.placed.isEmpty() && sinceMs > SUSPECT_RENT_LEASES * context.leaseMs() ? 1 : 0;
    }
    return waves.wanted(entry);
  }

  /**
   * Packs what stands on machines that have been silent for a while: it will want new places when
   * their leases lapse, and machines for that take a boot's time to come.
   */
  private void packSuspected(BinPacking packing) {
    List<MachineState> suspected = new ArrayList<>();
    int live = 0;
    for (MachineState m : fleet.machines()) {
      if (m.report() != null && !m.returning) {
        live++;
        if (lapses.suspected(m)) {
          suspected.add(m);
        }
      }
    }
    if (suspected.size() * 2 > live) {
      // It is this node that is cut off.
      return;
    }
    for (MachineState m : suspected) {
      for (Reservation p : m.placed) {
        if (p.wanted()) {
          Map<String, Integer> perZone = PlacementConstraints.zonesOf(p.job);
          perZone.merge(m.zone(), -1, Integer::sum);
          packing.put(p.job.job, 1, perZone, p.job.job.perZone());
        }
      }
    }
  }

  /**
   * How many tasks of a class to be ready for: the spread of its arrivals within a boot time. Jobs
   * come by chance and each with all of its tasks, so the variance is the sum of their squares.
   */
  private int headroom(Arrivals a) {
    double bootMs = bootMs(a);
    if (a.sample.kind() != JobKind.SERVICE || bootMs <= 0) {
      return 0;
    }
    double memoryMs = bootMs * MEMORY_BOOTS;
    a.fade(context.nowMs, memoryMs);
    double sinceMs = Math.max(bootMs, context.nowMs - arrivalsSinceMs);
    double seenMs = memoryMs * (1 - Math.exp(-sinceMs / memoryMs));
    double variance = a.squares / seenMs * bootMs;
    return (int) Math.round(context.settings.operator().headroom() * Math.sqrt(2 * variance));
  }

  private double bootMs(Arrivals a) {
    return fleet.longestBootMs(a.sample);
  }

  private void rent(List<Bin> wanted) {
    // Demand that grows while rents wait for their turn at the cloud is put into the next ones:
    // many small rents once took 25 s to ask for what a dozen larger ones bring.
    if (!cloud.listed() || cloud.rents().rentsWait()) {
      return;
    }
    Map<CloudProvisioner.Kind, Integer> counts = new LinkedHashMap<>();
    wanted.forEach(bin -> counts.merge(bin.kind, 1, Integer::sum));
    counts.forEach(this::rent);
  }

  /** Rents of one kind for so many machines, as far as they may be asked for at once. */
  private void rent(CloudProvisioner.Kind kind, int count) {
    int left = count;
    for (int i = 0; i < cloud.rents().mostAtOnce(kind) && left > 0; i++) {
      cloud.rents().rent(kind, Math.min(left, RENT_MOST));
      left -= RENT_MOST;
    }
  }
}
