package eiderfork.controller;

import eiderfork.model.Resources;

/** A machine that a plan may count on, real or yet to be rented. */
final class Bin {
  /** Null for one yet to be rented. */
  final MachineState machine;

  final CloudProvisioner.MachineKind kind;
  final Resources capacity;

  /** The share of it that was left when the plan began. */
  final double initialFreeShare;

  /** What nothing is reserved on nor packed on. */
  Resources free;

  Bin(MachineState machine, CloudProvisioner.MachineKind kind, Resources capacity, Resources free) {
    this.machine = machine;
    this.kind = kind;
    this.capacity = capacity;
    this.free = free;
    initialFreeShare = free.shareOf(capacity);
  }
}
