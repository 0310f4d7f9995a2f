package eiderfork.controller;

import java.util.function.IntPredicate;
import org.roaringbitmap.RoaringBitmap;

/**
 * Sets of a leader's machines, by their numbers, that are kept up to date as machines change.
 * Nothing has to pass over all machines to find the few that need something.
 */
final class MachineIndexes {
  /** Machines to which a command should go out now. */
  private final RoaringBitmap commandDue = new RoaringBitmap();

  /** Machines that have not shown a token of this term. */
  private final RoaringBitmap awaitingToken = new RoaringBitmap();

  /** Machines with direct commands under way. */
  private final RoaringBitmap commandInFlight = new RoaringBitmap();

  private final CapacityIndex capacityIndex = new CapacityIndex();

  void clear() {
    commandDue.clear();
    awaitingToken.clear();
    commandInFlight.clear();
    capacityIndex.clear();
  }

  /** A machine is new; nothing is known of what it has seen. */
  void add(MachineState machine) {
    awaitingToken.add(machine.number);
  }

  /** A machine is gone. */
  void remove(MachineState machine) {
    commandDue.remove(machine.number);
    awaitingToken.remove(machine.number);
    commandInFlight.remove(machine.number);
    capacityIndex.remove(machine);
  }

  /** The machine takes this term's commands. */
  void recordTokenOfTerm(MachineState machine) {
    awaitingToken.remove(machine.number);
  }

  void commandDue(MachineState machine, boolean value) {
    update(commandDue, machine, value);
  }

  void commandInFlight(MachineState machine, boolean value) {
    update(commandInFlight, machine, value);
  }

  private static void update(RoaringBitmap set, MachineState machine, boolean value) {
    if (value) {
      set.add(machine.number);
    } else {
      set.remove(machine.number);
    }
  }

  int commandsInFlight() {
    return commandInFlight.getCardinality();
  }

  /** The numbers of the machines that may have to be contacted directly, in ascending order. */
  int[] machinesToContact() {
    if (awaitingToken.isEmpty()) {
      return commandDue.toArray();
    }
    return RoaringBitmap.or(commandDue, awaitingToken).toArray();
  }

  /** Whether a machine that holds reservations has not shown yet what it runs. */
  boolean anyAwaitingToken(IntPredicate holdsReservations) {
    for (int number : awaitingToken.toArray()) {
      if (holdsReservations.test(number)) {
        return true;
      }
    }
    return false;
  }

  /** Where there is room. */
  CapacityIndex capacityIndex() {
    return capacityIndex;
  }
}
