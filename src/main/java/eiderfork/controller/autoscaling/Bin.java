package eiderfork.controller.autoscaling;

import eiderfork.controller.registry.MachineState;
import eiderfork.model.MachineKind;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;

/** A machine onto which a plan packs tasks, either existing or yet to be rented. */
final class Bin {
  private final MachineState machine;
  private final MachineKind kind;
  private final Resources capacity;
  private final double initialFreeShare;
  private Resources free;

  /**
   * @param machine null if the machine is yet to be rented, or rented but not known by name yet
   * @param free the capacity that no reservation uses
   */
  Bin(MachineState machine, MachineKind kind, Resources capacity, Resources free) {
    this.machine = machine;
    this.kind = kind;
    this.capacity = capacity;
    this.free = free;
    initialFreeShare = free.shareOf(capacity);
  }

  /** Returns a bin for an empty machine that is not known by name yet. */
  static Bin forUnnamedMachine(MachineKind kind, MachineType type) {
    return new Bin(null, kind, type.capacity(), type.capacity());
  }

  /** Returns the machine; null unless {@link #hasMachine}. */
  MachineState machine() {
    return machine;
  }

  /** Returns whether the machine is known by name. */
  boolean hasMachine() {
    return machine != null;
  }

  MachineKind kind() {
    return kind;
  }

  Resources capacity() {
    return capacity;
  }

  /** Returns the capacity that is neither reserved nor used by packed tasks. */
  Resources free() {
    return free;
  }

  double freeShare() {
    return free.shareOf(capacity);
  }

  /** Returns the share of the capacity that was free before anything was packed. */
  double initialFreeShare() {
    return initialFreeShare;
  }

  /** Returns whether the whole capacity is free. */
  boolean isUnused() {
    return free.equals(capacity);
  }

  /**
   * Packs a task with this demand. If the bin is in a {@link FirstFitTree}, the caller has to
   * update the tree.
   */
  void pack(Resources demand) {
    free = free.minus(demand);
  }
}
