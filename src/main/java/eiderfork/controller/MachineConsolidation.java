package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Empties machines that the fleet could do without: after a rush, replicas stand spread over
 * half-empty machines, and none of these would ever become idle. One at a time, and only where
 * every replica finds room and its image on a fuller machine, beside what waits and the headroom.
 */
final class MachineConsolidation {
  private static final Logger LOG = LoggerFactory.getLogger(MachineConsolidation.class);

  /** The most of a machine that may be in use for it to be emptied. */
  private static final double MOST_USED = 0.6;

  /** A start that is undone before this time has passed does not count, by the protocol. */
  static final long SETTLED_MS = 30_000;

  /** Past each of these machines one more may be emptied at the same time. */
  private static final int MACHINES_PER_EMPTYING = 1000;

  /** How long an emptying may take before the machine is used again, in steps. */
  private static final int EMPTYING_STEPS = 10;

  /**
   * How many of the dearest machines for their tasks, and of the others, a plan looks at closely.
   */
  private static final int TRIES = 8;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final Scheduler placer;

  MachineConsolidation(
      ControllerContext context,
      JobRegistry jobs,
      MachineRegistry fleet,
      MachineLiveness liveness,
      Scheduler placer) {
    this.context = context;
    this.jobs = jobs;
    this.fleet = fleet;
    this.liveness = liveness;
    this.placer = placer;
  }

  /** Looks at what a plan has left over; nothing is emptied while the fleet is {@code growing}. */
  void plan(BinPacking packing, boolean growing) {
    int emptying = 0;
    for (MachineState m : fleet.machines()) {
      if (m.draining && context.nowMs - m.drainingSinceMs > EMPTYING_STEPS * context.stepMs()) {
        // Something holds on to it; it is used again.
        m.draining = m.returning;
      }
      emptying += m.draining && !m.returning ? 1 : 0;
    }
    if (growing) {
      fleet.machines().forEach(m -> m.spareSinceMs = 0);
    }
    int mayEmpty = atOnce() - emptying;
    if (mayEmpty <= 0 || growing) {
      return;
    }
    List<Bin> candidates = candidates(packing);
    Set<MachineState> spare = spare(candidates, packing);
    for (MachineState m : fleet.machines()) {
      if (!spare.contains(m)) {
        m.spareSinceMs = 0;
      } else if (m.spareSinceMs == 0) {
        m.spareSinceMs = context.nowMs;
      }
    }
    for (Bin bin : candidates) {
      if (mayEmpty > 0 && isSpareForLong(bin.machine)) {
        empty(bin.machine);
        mayEmpty--;
      }
    }
  }

  /** One at a time takes hours after a rush in a fleet of thousands. */
  private int atOnce() {
    return 1 + fleet.machines().size() / MACHINES_PER_EMPTYING;
  }

  /** The machines that may be emptied, those first that save most. */
  private List<Bin> candidates(BinPacking packing) {
    List<Bin> candidates = new ArrayList<>();
    for (Bin bin : packing.known()) {
      if (mayEmpty(bin)) {
        candidates.add(bin);
      }
    }
    candidates.sort(Comparator.comparingDouble(bin -> -saving(bin)));
    return candidates;
  }

  /** Those of which all tasks fit elsewhere, beside the tasks of the ones before. */
  private Set<MachineState> spare(List<Bin> candidates, BinPacking packing) {
    Set<MachineState> spare = new HashSet<>();
    Map<Bin, Resources> taken = new Reference2ObjectOpenHashMap<>();
    boolean several = atOnce() > 1;
    for (Bin bin : tries(candidates)) {
      Map<Bin, Resources> left = new Reference2ObjectOpenHashMap<>(taken);
      // What is to be emptied itself takes no tasks of another, nor the other way round.
      boolean isTarget = several && taken.containsKey(bin);
      if (!isTarget && fitsElsewhere(bin, packing, left, several ? spare : Set.of())) {
        spare.add(bin.machine);
        if (several) {
          taken = left;
        }
      }
    }
    return spare;
  }

  private boolean isSpareForLong(MachineState m) {
    double keepMs = fleet.type(m).bootS() * 1000 * context.settings.operator().idleShare();
    return m.spareSinceMs > 0 && context.nowMs - m.spareSinceMs >= keepMs;
  }

  /**
   * The candidates that are looked at closely: the dearest, those that were spare before, and a
   * sample of the others, since the dearest may be such as can never be emptied.
   */
  private List<Bin> tries(List<Bin> candidates) {
    List<Bin> tries = new ArrayList<>();
    List<Bin> others = new ArrayList<>();
    for (Bin bin : candidates) {
      boolean surely = tries.size() < TRIES * atOnce() || bin.machine.spareSinceMs > 0;
      (surely ? tries : others).add(bin);
    }
    for (int i = 0; i < TRIES * atOnce() && i < others.size(); i++) {
      Collections.swap(others, i, i + context.random.nextInt(others.size() - i));
      tries.add(others.get(i));
    }
    return tries;
  }

  /** What is saved for each task that has to move. */
  private double saving(Bin bin) {
    MachineType type = fleet.type(bin.machine);
    return type.price(bin.kind.spot()) / bin.machine.placed.size();
  }

  private boolean mayEmpty(Bin bin) {
    MachineState m = bin.machine;
    if (m == null
        || m.placed.isEmpty()
        || fleet.type(m) == null
        || !liveness.usable(m)
        || context.nowMs - m.sinceMs < ScaleInPolicy.MIN_CHARGE_MS
        || !bin.left.equals(m.free())
        || bin.left.shareOf(bin.room) < 1 - MOST_USED) {
      return false;
    }
    for (Reservation p : m.placed) {
      boolean settled =
          p.job.job.kind() == JobKind.SERVICE
              && p.committed
              && p.wanted()
              && p.seen == TaskStatus.State.RUNNING
              && context.nowMs - p.runningSinceMs > SETTLED_MS;
      if (!settled) {
        return false;
      }
    }
    return true;
  }

  /**
   * Whether all tasks of a machine find room. Those of a machine with GPUs may take the processors
   * that GPUs elsewhere would need: what waits and the headroom have theirs already, and as many
   * GPUs as stand here are given back for it. Without that, replicas that must be spread held 46
   * machines of eight GPUs each, half of them free, for the processors of 30.
   */
  private boolean fitsElsewhere(
      Bin from, BinPacking packing, Map<Bin, Resources> left, Set<MachineState> emptied) {
    for (Reservation p : from.machine.placed) {
      Bin best = fullestTarget(p.job.job, from, packing, left, emptied);
      if (best == null) {
        return false;
      }
      left.put(best, left.getOrDefault(best, best.left).minus(p.job.job.need()));
    }
    return true;
  }

  /** The machine for a moved task that has the least left beside it, or null. */
  private Bin fullestTarget(
      Job job, Bin from, BinPacking packing, Map<Bin, Resources> left, Set<MachineState> emptied) {
    Bin[] best = new Bin[1];
    double[] bestLeft = new double[1];
    packing.forEachWithRoom(
        job,
        bin -> {
          Resources room = left.getOrDefault(bin, bin.left);
          if (bin == from
              || bin.machine == null
              || emptied.contains(bin.machine)
              || !job.need().fitsIn(room)
              || !accepts(job, from, bin)
              || from.room.gpus() <= 0 && placer.gpuBalance().strandedBy(job.need(), room) > 0) {
            return;
          }
          double share = room.minus(job.need()).shareOf(bin.room);
          if (best[0] == null || share < bestLeft[0]) {
            best[0] = bin;
            bestLeft[0] = share;
          }
        });
    return best[0];
  }

  /** On a machine that is the fuller one, in a zone that the job's other tasks leave open. */
  private boolean accepts(Job job, Bin from, Bin to) {
    return to.machine != null
        && !to.machine.placed.isEmpty()
        && liveness.usable(to.machine)
        && (to.kind.zone().equals(from.kind.zone()) || mayChangeZone(job, to.kind.zone()))
        && job.allowsType(to.kind.type())
        && (job.spot() || !to.kind.spot())
        && to.left.shareOf(to.room) <= from.left.shareOf(from.room)
        && placer.imageFetch().waitS(job, to.machine) <= context.stepS();
  }

  /**
   * Whether a task may move to another zone whatever the job's other tasks do. Where replicas that
   * must be spread hold the machines of one zone, the GPUs beside them once stood free while other
   * replicas held half-empty machines of another zone.
   */
  private static boolean mayChangeZone(Job job, String zone) {
    return !job.spread() && !job.oneZone() && job.allowsZone(zone);
  }

  private void empty(MachineState m) {
    LOG.info("emptying {}, its {} tasks fit elsewhere", m.name, m.placed.size());
    m.draining = true;
    m.drainingSinceMs = context.nowMs;
    m.setUrgent();
    for (Reservation p : m.placed) {
      p.stop();
      jobs.changed(p.job);
    }
  }
}
