package eiderfork.model;

/** Machines that are in or out of stock together: those of a type and zone, spot or not. */
public record MachineKind(String type, String zone, boolean spot) {
  /** The kind that a machine is of. */
  public static MachineKind of(Machine machine) {
    return new MachineKind(machine.type(), machine.zone(), machine.spot());
  }
}
