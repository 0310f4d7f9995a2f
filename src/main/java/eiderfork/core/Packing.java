package eiderfork.core;

import eiderfork.config.Settings.Objective;
import eiderfork.model.Job;
import eiderfork.model.MachineType;
import java.util.List;
import java.util.Map;

/**
 * The bin packing of one plan: puts tasks onto machines that are up or on their way, first fit, and
 * onto machines yet to be rented where none of these has room.
 */
final class Packing {
  /** How much dearer a machine counts whose image fetch takes longer than the job may wait. */
  private static final double SLOW_FETCH_FACTOR = 2;

  /**
   * Where the search for the next task of a job goes on. Tasks of a job are alike, so a bin that
   * did not take the one before takes none after it.
   */
  static final class Cursor {
    private int sparingGpus;
    private int any;
  }

  private final Context context;
  private final Fleet fleet;
  private final Cloud cloud;
  private final GpuBalance balance;
  private final List<Bin> bins;
  private final int knownBins;
  private int examined;

  /**
   * @param bins the machines that may be counted on; bins for machines to rent are added at its end
   */
  Packing(Context context, Fleet fleet, Cloud cloud, GpuBalance balance, List<Bin> bins) {
    this.context = context;
    this.fleet = fleet;
    this.cloud = cloud;
    this.balance = balance;
    this.bins = bins;
    knownBins = bins.size();
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
    return examined;
  }

  /**
   * Packs one task.
   *
   * <p>A task without GPUs goes onto a GPU machine only where that leaves its free GPUs the
   * processors that they need, or where no other machine can be had. Packed like any other, small
   * services took the processors of GPU machines for good: on a fleet of 73 of them up to 94 GPUs
   * stood without while machines without GPUs were not even rented and arrays waited.
   *
   * @param perZone how many tasks of the job each zone holds; counts this one in
   * @param zoneMost how many a zone may hold
   * @return whether some machine, up or yet to be rented, takes the task
   */
  boolean put(Job job, Cursor cursor, Map<String, Integer> perZone, int zoneMost) {
    boolean sparing = job.need().gpus() <= 0;
    Bin bin = null;
    if (sparing) {
      bin = firstFitSparingGpus(job, cursor, perZone, zoneMost);
      if (bin == null) {
        bin = rentable(job, perZone, zoneMost, true);
      }
    }
    if (bin == null) {
      bin = firstFit(job, cursor, perZone, zoneMost);
    }
    if (bin == null) {
      bin = rentable(job, perZone, zoneMost, false);
    }
    if (bin == null) {
      return false;
    }
    bin.left = bin.left.minus(job.need());
    perZone.merge(bin.kind.zone(), 1, Integer::sum);
    return true;
  }

  private Bin firstFitSparingGpus(
      Job job, Cursor cursor, Map<String, Integer> perZone, int zoneMost) {
    for (; cursor.sparingGpus < bins.size(); cursor.sparingGpus++) {
      Bin bin = bins.get(cursor.sparingGpus);
      if (accepts(bin, job, perZone, zoneMost) && balance.strandedBy(job.need(), bin.left) <= 0) {
        return bin;
      }
    }
    return null;
  }

  private Bin firstFit(Job job, Cursor cursor, Map<String, Integer> perZone, int zoneMost) {
    for (; cursor.any < bins.size(); cursor.any++) {
      Bin bin = bins.get(cursor.any);
      if (accepts(bin, job, perZone, zoneMost)) {
        return bin;
      }
    }
    return null;
  }

  private boolean accepts(Bin bin, Job job, Map<String, Integer> perZone, int zoneMost) {
    examined++;
    return allowed(job, bin.kind, perZone, zoneMost) && job.need().fitsIn(bin.left);
  }

  /** A new bin for the cheapest machine in stock that takes the job's tasks, or null. */
  private Bin rentable(
      Job job, Map<String, Integer> perZone, int zoneMost, boolean onlyWithoutGpus) {
    Bin best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : fleet.types().values()) {
      int fits = type.room().count(job.need());
      if (fits == 0 || onlyWithoutGpus && type.room().gpus() > 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {false, true}) {
          Cloud.Kind kind = new Cloud.Kind(type.name(), zone, spot);
          double cost = cost(job, type, spot, fits);
          if (cost < bestCost && mayRent(kind) && allowed(job, kind, perZone, zoneMost)) {
            bestCost = cost;
            best = new Bin(null, kind, type.room(), type.room());
          }
        }
      }
    }
    if (best != null) {
      bins.add(best);
    }
    return best;
  }

  private boolean mayRent(Cloud.Kind kind) {
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
      Job job, Cloud.Kind kind, Map<String, Integer> perZone, int zoneMost) {
    return job.allowsType(kind.type())
        && job.allowsZone(kind.zone())
        && (job.spot() || !kind.spot())
        && PlacementRules.zoneAccepts(job, kind.zone(), perZone, zoneMost);
  }
}
