package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.model.MachineType;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.List;
import java.util.Map;

/** Gives back machines that no plan needs, that are lost or that can't be used. */
final class ScaleInPolicy {
  /** A returned machine costs this long at least. */
  static final long MIN_CHARGE_MS = 60_000;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final LeaseExpiry lapses;
  private final CloudProvisioner cloud;
  private final BootTimeEstimator boots;

  ScaleInPolicy(
      ControllerContext context,
      MachineRegistry fleet,
      MachineLiveness liveness,
      LeaseExpiry lapses,
      CloudProvisioner cloud,
      BootTimeEstimator boots) {
    this.context = context;
    this.fleet = fleet;
    this.liveness = liveness;
    this.lapses = lapses;
    this.cloud = cloud;
    this.boots = boots;
  }

  /** Gives back what the plan needs no more. */
  void giveBack(List<Bin> bins) {
    Map<MachineState, Bin> packed = new Reference2ObjectOpenHashMap<>();
    for (Bin bin : bins) {
      if (bin.machine != null && bin.machine.placed.isEmpty()) {
        packed.put(bin.machine, bin);
      }
    }
    int silent = 0;
    int live = 0;
    for (MachineState m : fleet.machines()) {
      if (m.report() != null) {
        live++;
        silent += liveness.heard(m) ? 0 : 1;
      }
    }
    // When most are silent at once it is this node that is cut off, not they that are lost.
    boolean believe = silent * 2 <= live;
    for (MachineState m : ImmutableList.copyOf(fleet.machines())) {
      if (m.returning || m.machine == null) {
        continue;
      }
      MachineType type = fleet.type(m);
      double bootMs = type == null ? 0 : type.bootS() * 1000;
      long ageMs = context.nowMs - m.sinceMs;
      if (m.faulty) {
        cloud.returns().giveBack(m, "faulty");
      } else if (m.report() == null) {
        if (type != null && boots.hasFailed(m, type)) {
          cloud.returns().giveBackSilent(m, "it does not come up");
        }
      } else if (believe
          && !lapses.proxied(m)
          && liveness.silentForMs(m)
              > BootTimeEstimator.SILENCE_LEASES * context.leaseMs() + bootMs) {
        cloud.returns().giveBackSilent(m, "it is silent");
      } else if (believe && liveness.heard(m) && liveness.deaf(m) && deafTooLong(m)) {
        cloud.returns().giveBack(m, "commands do not reach it");
      } else if (m.placed.isEmpty() && m.tasks().isEmpty()) {
        Bin bin = packed.get(m);
        boolean needed = bin != null && !bin.left.equals(m.room);
        if (m.draining) {
          cloud.returns().giveBack(m, "drained");
        } else if (needed) {
          m.idleSinceMs = 0;
        } else if (m.idleSinceMs == 0) {
          m.idleSinceMs = context.nowMs;
        } else if (context.nowMs - m.idleSinceMs > bootMs * context.settings.operator().idleShare()
            && ageMs > MIN_CHARGE_MS) {
          cloud.returns().giveBack(m, "idle");
        }
      } else {
        m.idleSinceMs = 0;
      }
    }
  }

  private boolean deafTooLong(MachineState m) {
    return context.nowMs - m.deafSinceMs > context.leaseMs();
  }
}
