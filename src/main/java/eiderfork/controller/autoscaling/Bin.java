package eiderfork.controller.autoscaling;

import eiderfork.controller.registry.MachineState;
import eiderfork.model.MachineKind;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;

/** A machine that a plan packs tasks on, existing or yet to be rented. */
final class Bin {
  private final MachineState machine;
  private final MachineKind kind;
  private final Resources capacity;
  private final double initialFreeShare;
  private Resources free;

  /**
   * @param machine null for a machine that is yet to be rented, or rented and not known by name
   * @param free what no reservation takes
   */
  Bin(MachineState machine, MachineKind kind, Resources capacity, Resources free) {
    this.machine = machine;
    this.kind = kind;
    this.capacity = capacity;
    this.free = free;
    initialFreeShare = free.shareOf(capacity);
  }

  /** An empty machine that is not known by name yet. */
  static Bin ofUnnamed(MachineKind kind, MachineType type) {
    return new Bin(null, kind, type.capacity(), type.capacity());
  }

  /** Null unless {@link #hasMachine}. */
  MachineState machine() {
    return machine;
  }

  /** Whether the machine is known by name. */
  boolean hasMachine() {
    return machine != null;
  }

  MachineKind kind() {
    return kind;
  }

  Resources capacity() {
    return capacity;
  }

  /** What is neither reserved nor packed. */
  Resources free() {
    return free;
  }

  double freeShare() {
    return free.shareOf(capacity);
  }

  /** The share of the capacity that was free when the plan began. */
  double initialFreeShare() {
    return initialFreeShare;
  }

  /** Whether all of the machine is free. */
  boolean isUnused() {
    return free.equals(capacity);
  }

  /** Packs a task that needs this much; whoever holds bins in a {@link FirstFitTree} updates it. */
  void pack(Resources demand) {
    free = free.minus(demand);
  }
}
