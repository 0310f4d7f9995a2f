package eiderfork.controller;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Job;
import eiderfork.model.MachineType;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The bin packing of one plan: puts tasks onto machines that are up or on their way, first fit, and
 * onto machines yet to be rented where none of these has room.
 */
final class BinPacking {
  /** How much dearer a machine counts whose image fetch takes longer than the job may wait. */
  private static final double SLOW_FETCH_FACTOR = 2;

  /** How much dearer a kind of machine counts while one of it is overdue. */
  private static final double OVERDUE_FACTOR = 2;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final CloudProvisioner cloud;
  private final CpusPerGpu cpusPerGpu;
  private final List<Bin> bins;

  /** Kinds of machine that come up late now. */
  private final Set<CloudProvisioner.MachineKind> overdueKinds;

  private final FirstFitTree tree;
  private final int existingBinCount;

  /** How many machines of a type each zone has or is to have, by type and zone. */
  private final Object2IntMap<TypeInZone> machineCounts = new Object2IntOpenHashMap<>();

  private record TypeInZone(String type, String zone) {
    static TypeInZone of(CloudProvisioner.MachineKind kind) {
      return new TypeInZone(kind.type(), kind.zone());
    }
  }

  /**
   * @param bins the machines that may be counted on; bins for machines to rent are added at its end
   * @param overdueKinds kinds of which machines are overdue now; others are rented where that costs
   *     less than {@link #OVERDUE_FACTOR} times as much
   */
  BinPacking(
      ControllerContext context,
      MachineRegistry fleet,
      CloudProvisioner cloud,
      CpusPerGpu cpusPerGpu,
      List<Bin> bins,
      Set<CloudProvisioner.MachineKind> overdueKinds) {
    this.overdueKinds = overdueKinds;
    this.context = context;
    this.fleet = fleet;
    this.cloud = cloud;
    this.cpusPerGpu = cpusPerGpu;
    this.bins = bins;
    existingBinCount = bins.size();
    tree = new FirstFitTree(bins, cpusPerGpu);
    bins.forEach(bin -> machineCounts.mergeInt(TypeInZone.of(bin.kind), 1, Integer::sum));
  }

  /** The machines that the packing began with. */
  List<Bin> existingBins() {
    return bins.subList(0, existingBinCount);
  }

  /** The machines that have to be rented for what was packed. */
  List<Bin> binsToRent() {
    return bins.subList(existingBinCount, bins.size());
  }

  /** How often a bin was looked at for a task. */
  int examinedBins() {
    return tree.visitedBins();
  }

  /**
   * Packs tasks of a job, which are all alike, one after the other.
   *
   * <p>A task without GPUs goes onto a GPU machine only where that leaves its free GPUs the
   * processors that they need, or where no other machine can be had. Packed like any other, small
   * services took the processors of GPU machines for good: on a fleet of 73 of them up to 94 GPUs
   * stood without while machines without GPUs were not even rented and arrays waited.
   *
   * @param tasksByZone how many tasks of the job each zone holds; counts these in
   * @param maxPerZone how many a zone may hold
   * @return for how many some machine, up or yet to be rented, was found
   */
  int place(Job job, int tasks, Map<String, Integer> tasksByZone, int maxPerZone) {
    int put = 0;
    while (put < tasks) {
      int index = findBin(job, tasksByZone, maxPerZone);
      if (index < 0) {
        return put;
      }
      put += fillBin(index, job, tasks - put, tasksByZone, maxPerZone);
    }
    return put;
  }

  /** The bin for the next task of a job, or -1. */
  private int findBin(Job job, Map<String, Integer> tasksByZone, int maxPerZone) {
    long kinds = tree.kindMasks(kind -> isAllowed(job, kind, tasksByZone, maxPerZone));
    int index = -1;
    if (sparesGpuMachines(job)) {
      index =
          tree.findFirst(
              job.taskResources(),
              kinds,
              true,
              bin -> canHold(bin, job, tasksByZone, maxPerZone, true));
      if (index < 0) {
        index = addCheapestBin(job, tasksByZone, maxPerZone, true);
      }
    }
    if (index < 0) {
      index =
          tree.findFirst(
              job.taskResources(),
              kinds,
              false,
              bin -> canHold(bin, job, tasksByZone, maxPerZone, false));
    }
    return index < 0 ? addCheapestBin(job, tasksByZone, maxPerZone, false) : index;
  }

  private static boolean sparesGpuMachines(Job job) {
    return job.taskResources().gpus() <= 0;
  }

  /** Puts the first task into the bin that was found for it, and those behind it that fit, too. */
  private int fillBin(
      int index, Job job, int tasks, Map<String, Integer> tasksByZone, int maxPerZone) {
    Bin bin = bins.get(index);
    boolean sparing = sparesGpuMachines(job) && !strandsGpus(job, bin);
    int put = 0;
    do {
      bin.free = bin.free.minus(job.taskResources());
      tasksByZone.merge(bin.kind.zone(), 1, Integer::sum);
      put++;
    } while (put < tasks && canHold(bin, job, tasksByZone, maxPerZone, sparing));
    tree.update(index);
    return put;
  }

  private boolean canHold(
      Bin bin, Job job, Map<String, Integer> tasksByZone, int maxPerZone, boolean sparing) {
    return job.taskResources().fitsIn(bin.free)
        && isAllowed(job, bin.kind, tasksByZone, maxPerZone)
        && !(sparing && strandsGpus(job, bin));
  }

  private boolean strandsGpus(Job job, Bin bin) {
    return cpusPerGpu.strandedGpusBy(job.taskResources(), bin.free) > 0;
  }

  /** Shows the machines that have room for one task of a job on kinds that it allows. */
  void forEachWithFreeCapacity(Job job, Consumer<Bin> consumer) {
    tree.forEachWithFreeCapacity(
        job.taskResources(), tree.kindMasks(kind -> isKindAllowed(job, kind)), consumer);
  }

  /**
   * The index of a new bin for the cheapest machine in stock that takes the job's tasks, or -1. Of
   * zones that cost the same the one with the fewest machines is taken: where one zone after the
   * other was filled, services that must be spread found the last one's room of no use.
   */
  private int addCheapestBin(
      Job job, Map<String, Integer> tasksByZone, int maxPerZone, boolean onlyWithoutGpus) {
    Bin best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : fleet.types().values()) {
      int fits = type.capacity().countFitting(job.taskResources());
      if (fits == 0 || onlyWithoutGpus && type.capacity().gpus() > 0) {
        continue;
      }
      for (boolean spot : new boolean[] {false, true}) {
        CloudProvisioner.MachineKind kind = leastUsedZone(job, type, spot, tasksByZone, maxPerZone);
        if (kind == null) {
          continue;
        }
        double cost =
            costPerTask(job, type, spot, fits) * (overdueKinds.contains(kind) ? OVERDUE_FACTOR : 1);
        if (cost < bestCost) {
          bestCost = cost;
          best = new Bin(null, kind, type.capacity(), type.capacity());
        }
      }
    }
    if (best == null) {
      return -1;
    }
    tree.add(best);
    machineCounts.mergeInt(TypeInZone.of(best.kind), 1, Integer::sum);
    return bins.size() - 1;
  }

  /**
   * The type in the zone that has the fewest of it among those where the job may have it, or null.
   * Zones where it comes up late now are behind the others.
   */
  private CloudProvisioner.MachineKind leastUsedZone(
      Job job, MachineType type, boolean spot, Map<String, Integer> tasksByZone, int maxPerZone) {
    CloudProvisioner.MachineKind best = null;
    boolean bestIsLate = true;
    int fewest = Integer.MAX_VALUE;
    for (String zone : type.zones()) {
      CloudProvisioner.MachineKind kind = new CloudProvisioner.MachineKind(type.name(), zone, spot);
      int count = machineCounts.getInt(TypeInZone.of(kind));
      boolean late = overdueKinds.contains(kind);
      boolean better = late == bestIsLate ? count < fewest : !late;
      if (better && canRent(kind) && isAllowed(job, kind, tasksByZone, maxPerZone)) {
        bestIsLate = late;
        fewest = count;
        best = kind;
      }
    }
    return best;
  }

  private boolean canRent(CloudProvisioner.MachineKind kind) {
    return (!kind.spot() || context.settings.operator().isSpotAllowed())
        && cloud.rents().isInStock(kind);
  }

  /** The price of one task on a full machine; a fetch slower than the job can wait costs more. */
  private double costPerTask(Job job, MachineType type, boolean spot, int fits) {
    double fetchS = job.imageGb() / type.imageFetchGbPerS();
    double cost = type.hourlyPrice(spot) / fits;
    double waitS = context.settings.shortestObjectiveS(Objective.Kind.WAIT, job.jobClass());
    if (fetchS > waitS) {
      cost *= SLOW_FETCH_FACTOR;
    }
    return cost;
  }

  private static boolean isAllowed(
      Job job,
      CloudProvisioner.MachineKind kind,
      Map<String, Integer> tasksByZone,
      int maxPerZone) {
    return isKindAllowed(job, kind)
        && PlacementConstraints.canZoneAccept(job, kind.zone(), tasksByZone, maxPerZone);
  }

  private static boolean isKindAllowed(Job job, CloudProvisioner.MachineKind kind) {
    return job.allowsType(kind.type())
        && job.allowsZone(kind.zone())
        && (job.spotAllowed() || !kind.spot());
  }
}
