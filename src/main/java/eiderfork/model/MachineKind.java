package eiderfork.model;

/**
 * A capacity pool of the cloud: the machines of one type and zone, either spot or on-demand, which
 * are available or out of stock together.
 */
public record MachineKind(String type, String zone, boolean spot) {
  /** Returns the kind of a machine. */
  public static MachineKind of(Machine machine) {
    return new MachineKind(machine.type(), machine.zone(), machine.spot());
  }
}
