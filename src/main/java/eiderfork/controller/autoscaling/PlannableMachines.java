package eiderfork.controller.autoscaling;

import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.workers.MachineLiveness;
import eiderfork.model.MachineKind;
import eiderfork.model.MachineType;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The machines that a plan can use: those in service and those being provisioned. */
final class PlannableMachines {
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final CloudProvisioner cloud;
  private final BootDelayDetector bootDelays;

  PlannableMachines(
      MachineRegistry fleet,
      MachineLiveness liveness,
      CloudProvisioner cloud,
      BootDelayDetector bootDelays) {
    this.fleet = fleet;
    this.liveness = liveness;
    this.cloud = cloud;
    this.bootDelays = bootDelays;
  }

  /** Returns bins for these machines, the fullest first. */
  List<Bin> toBins() {
    List<Bin> bins = new ArrayList<>();
    addMachines(bins);
    addOpenRents(bins);
    bins.sort(Comparator.comparingDouble(Bin::initialFreeShare));
    return bins;
  }

  private void addMachines(List<Bin> bins) {
    for (MachineState machine : fleet.machines()) {
      if (machine.spec() == null
          || machine.capacity() == null
          || machine.lifecycle().isScalingIn()
          || machine.failures().isFaulty()) {
        continue;
      }
      if (isBooting(machine) || liveness.isSchedulable(machine)) {
        MachineKind kind = MachineKind.of(machine.spec());
        bins.add(new Bin(machine, kind, machine.capacity(), machine.freeCapacity()));
      }
    }
  }

  private boolean isBooting(MachineState machine) {
    MachineType type = fleet.typeOf(machine);
    return machine.lastHeartbeat() == null && type != null && !bootDelays.isLate(machine, type);
  }

  private void addOpenRents(List<Bin> bins) {
    for (StoredRecord.ScaleOutIntent rent : cloud.scaleOut().openRents()) {
      MachineType type = fleet.types().get(rent.type());
      if (type == null) {
        continue;
      }
      MachineKind kind = new MachineKind(rent.type(), rent.zone(), rent.spot());
      for (int i = 0; i < rent.count(); i++) {
        bins.add(Bin.forUnnamedMachine(kind, type));
      }
    }
  }
}
