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
  private static final double LATE_FACTOR = 2;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final CloudProvisioner cloud;
  private final CpusPerGpu balance;
  private final List<Bin> bins;

  /** Kinds of machine that come up late now. */
  private final Set<CloudProvisioner.Kind> lateKinds;

  private final FirstFitTree tree;
  private final int knownBins;

  /** How many machines of a type each zone has or is to have, by type and zone. */
  private final Object2IntMap<TypeInZone> machines = new Object2IntOpenHashMap<>();

  private record TypeInZone(String type, String zone) {
    static TypeInZone of(CloudProvisioner.Kind kind) {
      return new TypeInZone(kind.type(), kind.zone());
    }
  }

  /**
   * @param bins the machines that may be counted on; bins for machines to rent are added at its end
   * @param lateKinds kinds of which machines are overdue now; others are rented where that costs
   *     less than {@link #LATE_FACTOR} times as much
   */
  BinPacking(
      ControllerContext context,
      MachineRegistry fleet,
      CloudProvisioner cloud,
      CpusPerGpu balance,
      List<Bin> bins,
      Set<CloudProvisioner.Kind> lateKinds) {
    this.lateKinds = lateKinds;
    this.context = context;
    this.fleet = fleet;
    this.cloud = cloud;
    this.balance = balance;
    this.bins = bins;
    knownBins = bins.size();
    tree = new FirstFitTree(bins, balance);
    bins.forEach(bin -> machines.mergeInt(TypeInZone.of(bin.kind), 1, Integer::sum));
  }

  /** The machines that the packing began with. */
  List<Bin> known() {
    return bins.subList(0, knownBins);
  }

  /** The machines that have to be rented for what was packed. */
  List<Bin> toRent() {
    return bins.subList(knownBins, bins.size());
  }

  /** How often a bin was looked at for a task. */
  int examined() {
    return tree.visited();
  }

  /**
   * Packs tasks of a job, which are all alike, one after the other.
   *
   * <p>A task without GPUs goes onto a GPU machine only where that leaves its free GPUs the
   * processors that they need, or where no other machine can be had. Packed like any other, small
   * services took the processors of GPU machines for good: on a fleet of 73 of them up to 94 GPUs
   * stood without while machines without GPUs were not even rented and arrays waited.
   *
   * @param perZone how many tasks of the job each zone holds; counts these in
   * @param zoneMost how many a zone may hold
   * @return for how many some machine, up or yet to be rented, was found
   */
  int put(Job job, int tasks, Map<String, Integer> perZone, int zoneMost) {
    int put = 0;
    while (put < tasks) {
      int index = find(job, perZone, zoneMost);
      if (index < 0) {
        return put;
      }
      put += fill(index, job, tasks - put, perZone, zoneMost);
    }
    return put;
  }

  /** The bin for the next task of a job, or -1. */
  private int find(Job job, Map<String, Integer> perZone, int zoneMost) {
    long kinds = tree.kinds(kind -> allowed(job, kind, perZone, zoneMost));
    int index = -1;
    if (isSparing(job)) {
      index =
          tree.first(job.need(), kinds, true, bin -> accepts(bin, job, perZone, zoneMost, true));
      if (index < 0) {
        index = rentable(job, perZone, zoneMost, true);
      }
    }
    if (index < 0) {
      index =
          tree.first(job.need(), kinds, false, bin -> accepts(bin, job, perZone, zoneMost, false));
    }
    return index < 0 ? rentable(job, perZone, zoneMost, false) : index;
  }

  private static boolean isSparing(Job job) {
    return job.need().gpus() <= 0;
  }

  /** Puts the first task into the bin that was found for it, and those behind it that fit, too. */
  private int fill(int index, Job job, int tasks, Map<String, Integer> perZone, int zoneMost) {
    Bin bin = bins.get(index);
    boolean sparing = isSparing(job) && !strands(job, bin);
    int put = 0;
    do {
      bin.left = bin.left.minus(job.need());
      perZone.merge(bin.kind.zone(), 1, Integer::sum);
      put++;
    } while (put < tasks && accepts(bin, job, perZone, zoneMost, sparing));
    tree.changed(index);
    return put;
  }

  private boolean accepts(
      Bin bin, Job job, Map<String, Integer> perZone, int zoneMost, boolean sparing) {
    return job.need().fitsIn(bin.left)
        && allowed(job, bin.kind, perZone, zoneMost)
        && !(sparing && strands(job, bin));
  }

  private boolean strands(Job job, Bin bin) {
    return balance.strandedBy(job.need(), bin.left) > 0;
  }

  /** Shows the machines that have room for one task of a job on kinds that it allows. */
  void forEachWithRoom(Job job, Consumer<Bin> taker) {
    tree.forEachWithRoom(job.need(), tree.kinds(kind -> allowsKind(job, kind)), taker);
  }

  /**
   * The index of a new bin for the cheapest machine in stock that takes the job's tasks, or -1. Of
   * zones that cost the same the one with the fewest machines is taken: where one zone after the
   * other was filled, services that must be spread found the last one's room of no use.
   */
  private int rentable(
      Job job, Map<String, Integer> perZone, int zoneMost, boolean onlyWithoutGpus) {
    Bin best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : fleet.types().values()) {
      int fits = type.room().count(job.need());
      if (fits == 0 || onlyWithoutGpus && type.room().gpus() > 0) {
        continue;
      }
      for (boolean spot : new boolean[] {false, true}) {
        CloudProvisioner.Kind kind = zoneFor(job, type, spot, perZone, zoneMost);
        if (kind == null) {
          continue;
        }
        double cost = cost(job, type, spot, fits) * (lateKinds.contains(kind) ? LATE_FACTOR : 1);
        if (cost < bestCost) {
          bestCost = cost;
          best = new Bin(null, kind, type.room(), type.room());
        }
      }
    }
    if (best == null) {
      return -1;
    }
    tree.add(best);
    machines.mergeInt(TypeInZone.of(best.kind), 1, Integer::sum);
    return bins.size() - 1;
  }

  /**
   * The type in the zone that has the fewest of it among those where the job may have it, or null.
   * Zones where it comes up late now are behind the others.
   */
  private CloudProvisioner.Kind zoneFor(
      Job job, MachineType type, boolean spot, Map<String, Integer> perZone, int zoneMost) {
    CloudProvisioner.Kind best = null;
    boolean bestIsLate = true;
    int fewest = Integer.MAX_VALUE;
    for (String zone : type.zones()) {
      CloudProvisioner.Kind kind = new CloudProvisioner.Kind(type.name(), zone, spot);
      int count = machines.getInt(TypeInZone.of(kind));
      boolean late = lateKinds.contains(kind);
      boolean better = late == bestIsLate ? count < fewest : !late;
      if (better && mayRent(kind) && allowed(job, kind, perZone, zoneMost)) {
        bestIsLate = late;
        fewest = count;
        best = kind;
      }
    }
    return best;
  }

  private boolean mayRent(CloudProvisioner.Kind kind) {
    return (!kind.spot() || context.settings.operator().spot()) && cloud.rents().inStock(kind);
  }

  /** The price of one task on a full machine; a fetch slower than the job can wait costs more. */
  private double cost(Job job, MachineType type, boolean spot, int fits) {
    double fetchS = job.imageGb() / type.fetchGbPerS();
    double cost = type.price(spot) / fits;
    double waitS = context.settings.shortestAimS(Objective.Kind.WAIT, job.jobClass());
    if (fetchS > waitS) {
      cost *= SLOW_FETCH_FACTOR;
    }
    return cost;
  }

  private static boolean allowed(
      Job job, CloudProvisioner.Kind kind, Map<String, Integer> perZone, int zoneMost) {
    return allowsKind(job, kind)
        && PlacementConstraints.zoneAccepts(job, kind.zone(), perZone, zoneMost);
  }

  private static boolean allowsKind(Job job, CloudProvisioner.Kind kind) {
    return job.allowsType(kind.type())
        && job.allowsZone(kind.zone())
        && (job.spot() || !kind.spot());
  }
}
