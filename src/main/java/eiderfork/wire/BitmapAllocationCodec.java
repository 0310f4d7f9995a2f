package eiderfork.wire;

import com.google.common.collect.ImmutableList;
import eiderfork.model.StoredRecord.Allocation;
import eiderfork.model.StoredRecord.ReservedRange;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.apache.avro.generic.GenericRecord;

/**
 * The bitmap encoding of an allocation; {@code BitmapAllocationSize} bounds its size. For array
 * jobs with thousands of short tasks it takes a few bits per running task, while the packed
 * encoding takes several bytes.
 */
final class BitmapAllocationCodec extends AvroAllocationCodec {
  static final BitmapAllocationCodec INSTANCE = new BitmapAllocationCodec();

  private BitmapAllocationCodec() {
    super("bitmaps", "bitmap-alloc.avsc");
  }

  @Override
  void putTasks(GenericRecord record, Allocation allocation, RunColumns runColumns) {
    List<Integer> startSteps = new ArrayList<>();
    CompressedBitmap reserved = new CompressedBitmap();
    CompressedBitmap finished = new CompressedBitmap();
    int lastStart = 0;
    ReservedRange runStart = null;
    for (ReservedRange range : allocation.reserved()) {
      if (runStart == null || !isSameRun(runStart, range)) {
        startSteps.add(range.from() - lastStart);
        runColumns.add(range.attempt(), range.machine());
        lastStart = range.from();
        runStart = range;
      }
      reserved.addRange(range.from(), range.to());
    }
    allocation.finished().forEach(range -> finished.addRange(range.from(), range.to()));
    record.put("start", startSteps);
    record.put("reserved", reserved.encode());
    record.put("finished", finished.encode());
  }

  private static boolean isSameRun(ReservedRange first, ReservedRange second) {
    return first.attempt() == second.attempt() && first.machine().equals(second.machine());
  }

  @Override
  Allocation toAllocation(GenericRecord record) throws MalformedMessageException {
    BitSet reserved = CompressedBitmap.decode((ByteBuffer) record.get("reserved"));
    BitSet finished = CompressedBitmap.decode((ByteBuffer) record.get("finished"));
    if (reserved.intersects(finished)) {
      throw new MalformedMessageException("a task is both reserved and finished");
    }
    return new Allocation(
        lastAttempt(record),
        isDone(record),
        decodeReserved(record, reserved),
        TaskRanges.fromBits(finished));
  }

  private static ImmutableList<ReservedRange> decodeReserved(GenericRecord record, BitSet reserved)
      throws MalformedMessageException {
    List<?> startSteps = (List<?>) record.get("start");
    int runCount = startSteps.size();
    List<RunColumns.Run> runs = RunColumns.decodeRuns(record, lastAttempt(record), runCount);
    int[] starts = decodeStarts(startSteps, reserved);
    ImmutableList.Builder<ReservedRange> ranges = ImmutableList.builder();
    for (int i = 0; i < runCount; i++) {
      addRanges(ranges, reserved, starts[i], starts[i + 1], runs.get(i));
    }
    return ranges.build();
  }

  /**
   * Returns the first task of each run, followed by the exclusive end of the last run.
   *
   * @throws MalformedMessageException if a run does not start at a reserved task, or a reserved
   *     task is not in a run
   */
  private static int[] decodeStarts(List<?> startSteps, BitSet reserved)
      throws MalformedMessageException {
    int[] starts = new int[startSteps.size() + 1];
    long start = 0;
    for (int i = 0; i < startSteps.size(); i++) {
      int step = (Integer) startSteps.get(i);
      start += step;
      boolean isAscending = i == 0 ? step >= 0 : step > 0;
      if (!isAscending || start >= reserved.length() || !reserved.get((int) start)) {
        throw new MalformedMessageException("a run begins with no reserved task");
      }
      starts[i] = (int) start;
    }
    starts[startSteps.size()] = reserved.length();
    int first = reserved.nextSetBit(0);
    if (first >= 0 && (startSteps.isEmpty() || starts[0] != first)) {
      throw new MalformedMessageException("a reserved task belongs to no run");
    }
    return starts;
  }

  /**
   * Adds the ranges of reserved tasks from {@code start} (inclusive) to {@code end} (exclusive).
   */
  private static void addRanges(
      ImmutableList.Builder<ReservedRange> ranges,
      BitSet reserved,
      int start,
      int end,
      RunColumns.Run run) {
    int from = start;
    while (from >= 0 && from < end) {
      int to = Math.min(reserved.nextClearBit(from), end) - 1;
      ranges.add(new ReservedRange(from, to, run.attempt(), run.machine()));
      from = reserved.nextSetBit(to + 1);
    }
  }
}
