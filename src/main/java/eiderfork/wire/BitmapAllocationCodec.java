package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.model.StoredRecord;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;

/**
 * The bitmap form of an alloc record, which {@code BitmapAllocationSize} bounds. Arrays of
 * thousands of short tasks take a few bits for each task under way, where the packed form takes
 * some bytes.
 */
final class BitmapAllocationCodec {
  /** The field that tells this form from the others. */
  static final String JSON_FIELD = "bitmaps";

  private static final Schema SCHEMA = AvroCodec.loadSchema("bitmap-alloc.avsc");
  private static final Schema SERIES_SCHEMA = SCHEMA.getField("series").schema().getElementType();

  private BitmapAllocationCodec() {}

  static ObjectNode toJson(StoredRecord.Allocation allocation) {
    byte[] bytes = AvroCodec.encode(toAvro(allocation));
    return JsonReader.newObject()
        .put(JSON_FIELD, Base64.getEncoder().withoutPadding().encodeToString(bytes));
  }

  private static GenericRecord toAvro(StoredRecord.Allocation allocation) {
    List<Integer> starts = new ArrayList<>();
    List<Long> attempts = new ArrayList<>();
    MachineNameColumns names = new MachineNameColumns();
    CompressedBitmap reserved = new CompressedBitmap();
    CompressedBitmap finished = new CompressedBitmap();
    int lastStart = 0;
    StoredRecord.ReservedRange run = null;
    for (StoredRecord.ReservedRange span : allocation.reserved()) {
      if (run == null || !isSameRun(run, span)) {
        starts.add(span.from() - lastStart);
        attempts.add(allocation.lastAttempt() - span.attempt());
        names.add(span.machine());
        lastStart = span.from();
        run = span;
      }
      reserved.addRange(span.from(), span.to());
    }
    allocation.finished().forEach(range -> finished.addRange(range.from(), range.to()));
    GenericRecord record = new GenericData.Record(SCHEMA);
    record.put("last", allocation.lastAttempt());
    record.put("done", allocation.done());
    names.writeTo(record, SERIES_SCHEMA);
    record.put("start", starts);
    record.put("attempt", attempts);
    record.put("reserved", reserved.encode());
    record.put("finished", finished.encode());
    return record;
  }

  private static boolean isSameRun(
      StoredRecord.ReservedRange run, StoredRecord.ReservedRange span) {
    return run.attempt() == span.attempt() && run.machine().equals(span.machine());
  }

  /** Reads the bitmap form. */
  static StoredRecord.Allocation fromJson(JsonNode node) throws MalformedMessageException {
    byte[] bytes;
    try {
      bytes = Base64.getDecoder().decode(JsonReader.text(node, JSON_FIELD));
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("field " + JSON_FIELD + " is not Base64");
    }
    GenericRecord record = AvroCodec.decode(SCHEMA, SCHEMA, bytes);
    BitSet reserved = CompressedBitmap.decode((ByteBuffer) record.get("reserved"));
    BitSet finished = CompressedBitmap.decode((ByteBuffer) record.get("finished"));
    if (reserved.intersects(finished)) {
      throw new MalformedMessageException("a task is both reserved and finished");
    }
    return new StoredRecord.Allocation(
        (Long) record.get("last"),
        (Boolean) record.get("done"),
        decodeSpans(record, reserved),
        toRanges(finished));
  }

  private static ImmutableList<StoredRecord.ReservedRange> decodeSpans(
      GenericRecord record, BitSet reserved) throws MalformedMessageException {
    List<?> steps = (List<?>) record.get("start");
    List<?> attempts = MachineNameColumns.readColumn(record, "attempt", steps.size());
    List<String> machines = MachineNameColumns.readNames(record, steps.size());
    int[] starts = decodeRunStarts(steps, reserved);
    long last = (Long) record.get("last");
    ImmutableList.Builder<StoredRecord.ReservedRange> spans = ImmutableList.builder();
    for (int i = 0; i < steps.size(); i++) {
      long attempt = last - (Long) attempts.get(i);
      addRunSpans(spans, reserved, starts[i], starts[i + 1], attempt, machines.get(i));
    }
    return spans.build();
  }

  /** Where each run starts, and where the last one ends; every reserved task has to be in one. */
  private static int[] decodeRunStarts(List<?> steps, BitSet reserved)
      throws MalformedMessageException {
    int[] starts = new int[steps.size() + 1];
    long start = 0;
    for (int i = 0; i < steps.size(); i++) {
      int step = (Integer) steps.get(i);
      start += step;
      boolean ascends = i == 0 ? step >= 0 : step > 0;
      if (!ascends || start >= reserved.length() || !reserved.get((int) start)) {
        throw new MalformedMessageException("a run begins with no reserved task");
      }
      starts[i] = (int) start;
    }
    starts[steps.size()] = reserved.length();
    int first = reserved.nextSetBit(0);
    if (first >= 0 && (steps.isEmpty() || starts[0] != first)) {
      throw new MalformedMessageException("a reserved task belongs to no run");
    }
    return starts;
  }

  private static void addRunSpans(
      ImmutableList.Builder<StoredRecord.ReservedRange> spans,
      BitSet reserved,
      int start,
      int end,
      long attempt,
      String machine) {
    int from = start;
    while (from >= 0 && from < end) {
      int to = Math.min(reserved.nextClearBit(from), end) - 1;
      spans.add(new StoredRecord.ReservedRange(from, to, attempt, machine));
      from = reserved.nextSetBit(to + 1);
    }
  }

  private static ImmutableList<StoredRecord.TaskRange> toRanges(BitSet finished) {
    ImmutableList.Builder<StoredRecord.TaskRange> ranges = ImmutableList.builder();
    for (int from = finished.nextSetBit(0); from >= 0; ) {
      int end = finished.nextClearBit(from);
      ranges.add(new StoredRecord.TaskRange(from, end - 1));
      from = finished.nextSetBit(end);
    }
    return ranges.build();
  }
}
