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
  /** The cost factor of a type whose image fetch takes longer than the job may wait. */
  private static final double SLOW_FETCH_FACTOR = 2;

  /** The cost factor of a kind of which machines are overdue. */
  private static final double OVERDUE_FACTOR = 2;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final CloudProvisioner cloud;
  private final Set<MachineKind> overdueKinds;

  /** How many machines a plan counts on. */
  private final Object2IntMap<TypeInZone> machineCounts = new Object2IntOpenHashMap<>();

  private record TypeInZone(String type, String zone) {
    static TypeInZone of(MachineKind kind) {
      return new TypeInZone(kind.type(), kind.zone());
    }
  }

  /**
   * @param overdueKinds kinds of which machines are overdue; others are preferred where they cost
   *     less than {@link #OVERDUE_FACTOR} times as much
   */
  MachineKindSelector(
      ControllerContext context,
      MachineRegistry fleet,
      CloudProvisioner cloud,
      Set<MachineKind> overdueKinds) {
    this.context = context;
    this.fleet = fleet;
    this.cloud = cloud;
    this.overdueKinds = overdueKinds;
  }

  /** The plan counts on one more machine of this kind. */
  void countMachine(MachineKind kind) {
    machineCounts.mergeInt(TypeInZone.of(kind), 1, Integer::sum);
  }

  /**
   * A bin for a new machine of the cheapest kind in stock that takes the tasks, or null for none.
   * Of zones that cost the same the one with the fewest machines of the type is taken, so that jobs
   * that must be spread find free capacity in each.
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
          best = Bin.ofUnnamed(kind, type);
        }
      }
    }
    return best;
  }

  /** The type in the zone that has the fewest of it, zones where it is overdue last, or null. */
  private MachineKind selectZone(PackingDemand demand, MachineType type, boolean spot) {
    MachineKind best = null;
    boolean isBestOverdue = true;
    int fewest = Integer.MAX_VALUE;
    for (String zone : type.zones()) {
      MachineKind kind = new MachineKind(type.name(), zone, spot);
      int count = machineCounts.getInt(TypeInZone.of(kind));
      boolean isOverdue = overdueKinds.contains(kind);
      boolean isBetter = isOverdue == isBestOverdue ? count < fewest : !isOverdue;
      if (isBetter && canRent(kind) && demand.allows(kind)) {
        isBestOverdue = isOverdue;
        fewest = count;
        best = kind;
      }
    }
    return best;
  }

  private boolean canRent(MachineKind kind) {
    return (!kind.spot() || context.settings.operator().isSpotAllowed())
        && cloud.scaleOut().isInStock(kind);
  }

  /** The price of one task on a full machine, with factors for slow fetches and late boots. */
  private double costPerTask(Job job, MachineType type, MachineKind kind, int tasksPerMachine) {
    double fetchS = job.imageGb() / type.imageFetchGbPerS();
    double maxWaitS = context.settings.shortestObjectiveS(Objective.Kind.WAIT, job.jobClass());
    double cost = type.hourlyPrice(kind.spot()) / tasksPerMachine;
    if (fetchS > maxWaitS) {
      cost *= SLOW_FETCH_FACTOR;
    }
    if (overdueKinds.contains(kind)) {
      cost *= OVERDUE_FACTOR;
    }
    return cost;
  }
}
