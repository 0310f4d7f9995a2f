package eiderfork.controller;

import eiderfork.model.Resources;

/** A machine that a plan may count on, real or yet to be rented. */
final class Bin {
  /** Null for one yet to be rented. */
  final MachineState machine;

  final CloudProvisioner.Kind kind;
  final Resources room;

  /** The share of it that was left when the plan began. */
  final double shareLeft;

  /** What nothing is reserved on nor packed on. */
  Resources left;

  Bin(MachineState machine, CloudProvisioner.Kind kind, Resources room, Resources left) {
    this.machine = machine;
    this.kind = kind;
    this.room = room;
    this.left = left;
    shareLeft = left.shareOf(room);
  }
}
