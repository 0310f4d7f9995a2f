package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Finds replicas that may move away for a job, and the room that they move to. */
final class ReplicaMigration {
  /** How long a replica is away while it moves, in steps. */
  private static final double MOVE_STEPS = 2;

  /** How long a replica has to run before it may move, in steps. */
  private static final int MOVABLE_STEPS = 10;

  /** Machines of a zone that may take replicas of a profile; those before the first are full. */
  private static final class Targets {
    final List<MachineState> machines;
    int first;

    Targets(List<MachineState> machines) {
      this.machines = machines;
    }
  }

  private final ControllerContext context;
  private final FreeCapacity room;
  private final ImageFetchEstimator imageFetch;
  private final CpusPerGpu balance;

  private final Map<PlacementProfile, Map<String, Targets>> targets =
      new Reference2ObjectOpenHashMap<>();

  /** What moved replicas will take where they go; it only guards against moving too many. */
  private final Map<MachineState, Resources> filling = new HashMap<>();

  /** The same for the option that is being looked at. */
  private final Map<MachineState, Resources> trying = new HashMap<>();

  private int examined;

  ReplicaMigration(
      ControllerContext context,
      FreeCapacity room,
      ImageFetchEstimator imageFetch,
      CpusPerGpu balance) {
    this.context = context;
    this.room = room;
    this.imageFetch = imageFetch;
    this.balance = balance;
  }

  /** How many looks at machines were taken for this. */
  int examined() {
    return examined;
  }

  /** Another machine is looked at; what was to move from the one before it stays. */
  void beginOption() {
    trying.clear();
  }

  /** The moves found since {@link #beginOption} are made. */
  void confirm() {
    trying.forEach((m, needs) -> filling.merge(m, needs, Resources::plus));
  }

  /**
   * What moving this replica for the job throws away, in seconds of its work weighted by its size;
   * the largest double where it stays.
   *
   * <p>Replicas on GPUs stay where there is no room at all: what moving them makes is taken from
   * smaller jobs that wait as well. They move for an image that would come too late, once they have
   * run for long enough to count as started.
   *
   * @param forImage whether there is room elsewhere, where the image comes too late
   */
  double loss(Job job, Reservation p, boolean forImage) {
    Job its = p.job.job;
    boolean gpusMove =
        forImage
            && its.priority().compareTo(job.priority()) > 0
            && context.nowMs - p.runningSinceMs > MachineConsolidation.SETTLED_MS;
    boolean movable =
        its.kind() == JobKind.SERVICE
            && (its.need().gpus() <= 0 || gpusMove)
            && p.seen == TaskStatus.State.RUNNING
            && its.need().shareOf(p.machine.room) < job.need().shareOf(p.machine.room)
            && context.nowMs - p.runningSinceMs > MOVABLE_STEPS * context.stepMs();
    double weight = balance.weight(its.need());
    return movable ? MOVE_STEPS * context.stepS() * weight : Double.MAX_VALUE;
  }

  /** Whether a replica finds room on another machine; takes that room. */
  boolean take(Reservation p) {
    Job job = p.job.job;
    String zone = p.machine.zone();
    Targets open =
        targets
            .computeIfAbsent(p.job.profile, profile -> new HashMap<>())
            .computeIfAbsent(zone, z -> new Targets(room.candidates(job, Set.of(z))));
    for (int i = open.first; i < open.machines.size(); i++) {
      MachineState m = open.machines.get(i);
      examined++;
      room.countExamined();
      Resources left = room.of(m).minus(filling.getOrDefault(m, Resources.NONE));
      if (!room.isUsable(m)
          || !acceptsMoved(job, left)
          || imageFetch.waitS(job, m) > context.stepS()) {
        if (i == open.first) {
          open.first++;
        }
        continue;
      }
      if (m != p.machine && acceptsMoved(job, left.minus(trying.getOrDefault(m, Resources.NONE)))) {
        trying.merge(m, job.need(), Resources::plus);
        return true;
      }
    }
    return false;
  }

  private boolean acceptsMoved(Job job, Resources left) {
    return job.need().fitsIn(left) && balance.strandedBy(job.need(), left) <= 0;
  }
}
