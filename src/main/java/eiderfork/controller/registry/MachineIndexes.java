package eiderfork.controller.registry;

import java.util.function.IntPredicate;
import org.roaringbitmap.RoaringBitmap;

/**
 * Sets of a leader's machines, by their numbers, that are updated as machines change, so that
 * nothing has to iterate over all machines to find the few that need something.
 */
public final class MachineIndexes {
  /** Machines to which a command should be sent now. */
  private final RoaringBitmap commandDue = new RoaringBitmap();

  /** Machines that have not shown a fencing token of this term. */
  private final RoaringBitmap awaitingToken = new RoaringBitmap();

  /** Machines whose direct command awaits its reply. */
  private final RoaringBitmap commandInFlight = new RoaringBitmap();

  private final CapacityIndex capacityIndex = new CapacityIndex();

  /** Forgets all machines. */
  void clear() {
    commandDue.clear();
    awaitingToken.clear();
    commandInFlight.clear();
    capacityIndex.clear();
  }

  /** A machine was registered, of which nothing is known but its name. */
  void add(MachineState machine) {
    awaitingToken.add(machine.number());
  }

  /** A machine no longer exists. */
  void remove(MachineState machine) {
    commandDue.remove(machine.number());
    awaitingToken.remove(machine.number());
    commandInFlight.remove(machine.number());
    capacityIndex.remove(machine);
  }

  /** The machine's worker has shown a fencing token of this term. */
  public void recordCurrentTermToken(MachineState machine) {
    awaitingToken.remove(machine.number());
  }

  /** A command should be sent to the machine now. */
  void addCommandDue(MachineState machine) {
    commandDue.add(machine.number());
  }

  /** No command needs to be sent to the machine now. */
  void removeCommandDue(MachineState machine) {
    commandDue.remove(machine.number());
  }

  /** A direct command to the machine awaits its reply. */
  void addCommandInFlight(MachineState machine) {
    commandInFlight.add(machine.number());
  }

  /** No direct command to the machine awaits its reply. */
  void removeCommandInFlight(MachineState machine) {
    commandInFlight.remove(machine.number());
  }

  /** How many direct commands await their reply. */
  public int commandsInFlight() {
    return commandInFlight.getCardinality();
  }

  /** The numbers of the machines that may have to be contacted directly, in ascending order. */
  public int[] machinesToContact() {
    if (awaitingToken.isEmpty()) {
      return commandDue.toArray();
    }
    return RoaringBitmap.or(commandDue, awaitingToken).toArray();
  }

  /** Whether a machine that holds reservations has not shown a fencing token of this term. */
  public boolean hasMachineAwaitingToken(IntPredicate holdsReservations) {
    for (int number : awaitingToken.toArray()) {
      if (holdsReservations.test(number)) {
        return true;
      }
    }
    return false;
  }

  /** The machines by their free capacity. */
  public CapacityIndex capacityIndex() {
    return capacityIndex;
  }
}
