package eiderfork.controller.autoscaling;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.model.Job;
import eiderfork.model.MachineKind;
import eiderfork.model.MachineType;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Set;

/** Selects the kind of machine to rent for tasks that fit on no machine of a plan. */
final class MachineKindSelector {
  /**
   * The cost factor of a type on which the image fetch takes longer than the job's wait objective.
   */
  private static final double SLOW_FETCH_COST_FACTOR = 2;

  /** The cost factor of a kind that boots late. */
  private static final double LATE_BOOT_COST_FACTOR = 2;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final CloudProvisioner cloud;
  private final Set<MachineKind> lateKinds;

  /** The number of machines in the plan. */
  private final Object2IntMap<TypeInZone> machineCounts = new Object2IntOpenHashMap<>();

  private record TypeInZone(String type, String zone) {
    static TypeInZone of(MachineKind kind) {
      return new TypeInZone(kind.type(), kind.zone());
    }
  }

  /**
   * @param lateKinds the kinds that boot late; other kinds are preferred if they cost less than
   *     {@link #LATE_BOOT_COST_FACTOR} times as much
   */
  MachineKindSelector(
      ControllerContext context,
      MachineRegistry fleet,
      CloudProvisioner cloud,
      Set<MachineKind> lateKinds) {
    this.context = context;
    this.fleet = fleet;
    this.cloud = cloud;
    this.lateKinds = lateKinds;
  }

  /** Counts a machine of this kind that was added to the plan. */
  void countMachine(MachineKind kind) {
    machineCounts.mergeInt(TypeInZone.of(kind), 1, Integer::sum);
  }

  /**
   * Returns a bin for a new machine of the cheapest kind that is in stock and can run the tasks, or
   * null if there is none. Among equally expensive zones it selects the one with the fewest
   * machines of the type, so that jobs with a zone spread find free capacity in each zone.
   */
  Bin selectCheapest(PackingDemand demand, boolean onlyWithoutGpus) {
    Bin best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : fleet.types().values()) {
      int tasksPerMachine = type.capacity().countFitting(demand.taskResources());
      if (tasksPerMachine == 0 || onlyWithoutGpus && type.capacity().gpus() > 0) {
        continue;
      }
      for (boolean spot : new boolean[] {false, true}) {
        MachineKind kind = selectZone(demand, type, spot);
        if (kind == null) {
          continue;
        }
        double cost = costPerTask(demand.job(), type, kind, tasksPerMachine);
        if (cost < bestCost) {
          bestCost = cost;
          best = Bin.forUnnamedMachine(kind, type);
        }
      }
    }
    return best;
  }

  /**
   * Returns the type in the zone with the fewest machines of it, or null. A zone where the type
   * boots late is selected only if there is no other.
   */
  private MachineKind selectZone(PackingDemand demand, MachineType type, boolean spot) {
    MachineKind best = null;
    boolean isBestLate = true;
    int fewestMachines = Integer.MAX_VALUE;
    for (String zone : type.zones()) {
      MachineKind kind = new MachineKind(type.name(), zone, spot);
      int count = machineCounts.getInt(TypeInZone.of(kind));
      boolean isLate = lateKinds.contains(kind);
      boolean isBetter = isLate == isBestLate ? count < fewestMachines : !isLate;
      if (isBetter && canRent(kind) && demand.allows(kind)) {
        isBestLate = isLate;
        fewestMachines = count;
        best = kind;
      }
    }
    return best;
  }

  private boolean canRent(MachineKind kind) {
    return (!kind.spot() || context.settings.operator().isSpotAllowed())
        && cloud.scaleOut().isInStock(kind);
  }

  /**
   * Returns the hourly price per task on a full machine, with factors for slow image fetches and
   * late boots.
   */
  private double costPerTask(Job job, MachineType type, MachineKind kind, int tasksPerMachine) {
    double fetchS = job.imageGb() / type.imageFetchGbPerS();
    double maxWaitS = context.settings.shortestObjectiveS(Objective.Kind.WAIT, job.jobClass());
    double cost = type.hourlyPrice(kind.spot()) / tasksPerMachine;
    if (fetchS > maxWaitS) {
      cost *= SLOW_FETCH_COST_FACTOR;
    }
    if (lateKinds.contains(kind)) {
      cost *= LATE_BOOT_COST_FACTOR;
    }
    return cost;
  }
}
