package eiderfork.controller.registry;

import java.util.function.IntPredicate;
import org.roaringbitmap.RoaringBitmap;

/**
 * Sets of a leader's machines, by machine number. They are updated as machines change, so that the
 * few machines that need an action are found without iterating over all machines.
 */
public final class MachineIndexes {
  /** The machines to which a command should be sent now. */
  private final RoaringBitmap commandDue = new RoaringBitmap();

  /** The machines that have not reported a fencing token of this term. */
  private final RoaringBitmap awaitingToken = new RoaringBitmap();

  /** The machines with a direct command that awaits its reply. */
  private final RoaringBitmap commandInFlight = new RoaringBitmap();

  private final CapacityIndex capacityIndex = new CapacityIndex();

  /** Removes all machines. */
  void clear() {
    commandDue.clear();
    awaitingToken.clear();
    commandInFlight.clear();
    capacityIndex.clear();
  }

  /** Adds a newly registered machine, of which only the name is known. */
  void add(MachineState machine) {
    awaitingToken.add(machine.number());
  }

  /** Removes a machine that no longer exists. */
  void remove(MachineState machine) {
    commandDue.remove(machine.number());
    awaitingToken.remove(machine.number());
    commandInFlight.remove(machine.number());
    capacityIndex.remove(machine);
  }

  /** Records that the machine's worker has reported a fencing token of this term. */
  public void recordCurrentTermToken(MachineState machine) {
    awaitingToken.remove(machine.number());
  }

  /** Adds the machine to those to which a command should be sent now. */
  void addCommandDue(MachineState machine) {
    commandDue.add(machine.number());
  }

  /** Removes the machine from those to which a command should be sent now. */
  void removeCommandDue(MachineState machine) {
    commandDue.remove(machine.number());
  }

  /** Adds the machine to those with a direct command in flight. */
  void addCommandInFlight(MachineState machine) {
    commandInFlight.add(machine.number());
  }

  /** Removes the machine from those with a direct command in flight. */
  void removeCommandInFlight(MachineState machine) {
    commandInFlight.remove(machine.number());
  }

  /** The number of direct commands in flight. */
  public int commandsInFlight() {
    return commandInFlight.getCardinality();
  }

  /** The numbers of the machines that may need a direct command, in ascending order. */
  public int[] machinesToContact() {
    if (awaitingToken.isEmpty()) {
      return commandDue.toArray();
    }
    return RoaringBitmap.or(commandDue, awaitingToken).toArray();
  }

  /**
   * Returns whether any machine with reservations has not reported a fencing token of this term.
   *
   * @param holdsReservations tests whether the machine with a given number has reservations
   */
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
