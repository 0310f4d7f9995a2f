package eiderfork.controller;

import java.util.function.IntPredicate;
import org.roaringbitmap.RoaringBitmap;

/**
 * Sets of a leader's machines, by their numbers, that are kept up to date as machines change.
 * Nothing has to pass over all machines to find the few that need something.
 */
final class MachineIndexes {
  /** Machines to which a command should go out now. */
  private final RoaringBitmap urgent = new RoaringBitmap();

  /** Machines that have not shown a token of this term. */
  private final RoaringBitmap unshown = new RoaringBitmap();

  /** Machines with direct commands under way. */
  private final RoaringBitmap commanding = new RoaringBitmap();

  private final CapacityIndex roomIndex = new CapacityIndex();

  void clear() {
    urgent.clear();
    unshown.clear();
    commanding.clear();
    roomIndex.clear();
  }

  /** A machine is new; nothing is known of what it has seen. */
  void added(MachineState m) {
    unshown.add(m.number);
  }

  /** A machine is gone. */
  void removed(MachineState m) {
    urgent.remove(m.number);
    unshown.remove(m.number);
    commanding.remove(m.number);
    roomIndex.remove(m);
  }

  /** The machine takes this term's commands. */
  void shown(MachineState m) {
    unshown.remove(m.number);
  }

  void urgent(MachineState m, boolean value) {
    set(urgent, m, value);
  }

  void commanding(MachineState m, boolean value) {
    set(commanding, m, value);
  }

  private static void set(RoaringBitmap set, MachineState m, boolean value) {
    if (value) {
      set.add(m.number);
    } else {
      set.remove(m.number);
    }
  }

  int commandingCount() {
    return commanding.getCardinality();
  }

  /** The numbers of the machines that may have to be contacted directly, in ascending order. */
  int[] toContact() {
    if (unshown.isEmpty()) {
      return urgent.toArray();
    }
    return RoaringBitmap.or(urgent, unshown).toArray();
  }

  /** Whether a machine that holds reservations has not shown yet what it runs. */
  boolean anyUnshown(IntPredicate holdsReservations) {
    for (int number : unshown.toArray()) {
      if (holdsReservations.test(number)) {
        return true;
      }
    }
    return false;
  }

  /** Where there is room. */
  CapacityIndex roomIndex() {
    return roomIndex;
  }
}
