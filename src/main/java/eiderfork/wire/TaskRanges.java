package eiderfork.wire;

import com.google.common.collect.ImmutableList;
import eiderfork.model.StoredRecord.TaskRange;
import java.util.BitSet;
import java.util.List;

/** Converts ranges of tasks to sets of bits and back. */
final class TaskRanges {
  private TaskRanges() {}

  static BitSet toBits(List<TaskRange> ranges) {
    BitSet bits = new BitSet();
    ranges.forEach(range -> bits.set(range.from(), range.to() + 1));
    return bits;
  }

  /** Returns the maximal ranges of set bits, in ascending order. */
  static ImmutableList<TaskRange> fromBits(BitSet bits) {
    ImmutableList.Builder<TaskRange> ranges = ImmutableList.builder();
    int from = bits.nextSetBit(0);
    while (from >= 0) {
      int end = bits.nextClearBit(from);
      ranges.add(new TaskRange(from, end - 1));
      from = bits.nextSetBit(end);
    }
    return ranges.build();
  }
}
