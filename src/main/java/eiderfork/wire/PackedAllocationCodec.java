package eiderfork.wire;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Job;
import eiderfork.model.StoredRecord.Allocation;
import eiderfork.model.StoredRecord.ReservedRange;
import eiderfork.model.StoredRecord.TaskRange;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;

/**
 * The packed encoding of an allocation: columns of variable-length integers. {@code
 * PackedAllocationSize} bounds its size, which is about half that of the plain encoding.
 */
final class PackedAllocationCodec extends AvroAllocationCodec {
  static final PackedAllocationCodec INSTANCE = new PackedAllocationCodec();

  /** A schema with only the field {@code finished}, to measure its encoded size. */
  private final Schema finishedSchema;

  private PackedAllocationCodec() {
    super("packed", "alloc.avsc");
    finishedSchema =
        Schema.createRecord(
            "Finished",
            null,
            schema().getNamespace(),
            false,
            List.of(new Schema.Field("finished", schema().getField("finished").schema())));
  }

  @Override
  void putTasks(GenericRecord record, Allocation allocation, RunColumns runColumns) {
    List<Integer> gaps = new ArrayList<>();
    List<Integer> lengths = new ArrayList<>();
    int next = 0;
    for (ReservedRange range : allocation.reserved()) {
      gaps.add(range.from() - next);
      lengths.add(range.to() - range.from());
      runColumns.add(range.attempt(), range.machine());
      next = range.to() + 1;
    }
    record.put("gap", gaps);
    record.put("length", lengths);
    putFinished(record, allocation.finished());
  }

  /** Puts the finished tasks as alternating gaps and lengths, or as a bitmap if that is shorter. */
  private void putFinished(GenericRecord record, List<TaskRange> finished) {
    List<Integer> gapsAndLengths = new ArrayList<>();
    int next = 0;
    for (TaskRange range : finished) {
      gapsAndLengths.add(range.from() - next);
      gapsAndLengths.add(range.to() - range.from());
      next = range.to() + 1;
    }
    byte[] bitmap = TaskRanges.toBits(finished).toByteArray();
    boolean isBitmapShorter = encodedSize(gapsAndLengths) > bitmap.length;
    record.put("finished", isBitmapShorter ? List.of() : gapsAndLengths);
    record.put("finishedBits", ByteBuffer.wrap(isBitmapShorter ? bitmap : new byte[0]));
  }

  private int encodedSize(List<Integer> gapsAndLengths) {
    GenericRecord record = new GenericData.Record(finishedSchema);
    record.put("finished", gapsAndLengths);
    return AvroCodec.encode(record).length;
  }

  @Override
  Allocation toAllocation(GenericRecord record) throws MalformedMessageException {
    return new Allocation(
        lastAttempt(record), isDone(record), decodeReserved(record), decodeFinished(record));
  }

  private static ImmutableList<ReservedRange> decodeReserved(GenericRecord record)
      throws MalformedMessageException {
    List<?> gaps = (List<?>) record.get("gap");
    List<?> lengths = MachineNameColumns.readColumn(record, "length", gaps.size());
    List<RunColumns.Run> runs = RunColumns.decodeRuns(record, lastAttempt(record), gaps.size());
    ImmutableList.Builder<ReservedRange> reserved = ImmutableList.builder();
    int next = 0;
    for (int i = 0; i < gaps.size(); i++) {
      TaskRange tasks = decodeRange(next, gaps.get(i), lengths.get(i));
      RunColumns.Run run = runs.get(i);
      reserved.add(new ReservedRange(tasks.from(), tasks.to(), run.attempt(), run.machine()));
      next = tasks.to() + 1;
    }
    return reserved.build();
  }

  private static TaskRange decodeRange(int next, Object gapValue, Object lengthValue)
      throws MalformedMessageException {
    int gap = (Integer) gapValue;
    int length = (Integer) lengthValue;
    long to = (long) next + gap + length;
    if (gap < 0 || length < 0 || to >= Job.MAX_TASKS) {
      throw new MalformedMessageException("tasks are no run");
    }
    return new TaskRange(next + gap, (int) to);
  }

  private static ImmutableList<TaskRange> decodeFinished(GenericRecord record)
      throws MalformedMessageException {
    ImmutableList.Builder<TaskRange> ranges = ImmutableList.builder();
    List<?> gapsAndLengths = (List<?>) record.get("finished");
    int next = 0;
    for (int i = 0; i + 1 < gapsAndLengths.size(); i += 2) {
      TaskRange range = decodeRange(next, gapsAndLengths.get(i), gapsAndLengths.get(i + 1));
      ranges.add(range);
      next = range.to() + 1;
    }
    BitSet bits = BitSet.valueOf((ByteBuffer) record.get("finishedBits"));
    return ranges.addAll(TaskRanges.fromBits(bits)).build();
  }
}
