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
  static final String FIELD = "bitmaps";

  private static final Schema SCHEMA = AvroCodec.schema("bitmap-alloc.avsc");
  private static final Schema SERIES = SCHEMA.getField("series").schema().getElementType();

  private BitmapAllocationCodec() {}

  static ObjectNode node(StoredRecord.Alloc alloc) {
    byte[] bytes = AvroCodec.write(columns(alloc));
    return JsonReader.object()
        .put(FIELD, Base64.getEncoder().withoutPadding().encodeToString(bytes));
  }

  private static GenericRecord columns(StoredRecord.Alloc alloc) {
    List<Integer> starts = new ArrayList<>();
    List<Long> attempts = new ArrayList<>();
    MachineNameColumns names = new MachineNameColumns();
    CompressedBitmap reserved = new CompressedBitmap();
    CompressedBitmap finished = new CompressedBitmap();
    int lastStart = 0;
    StoredRecord.Span run = null;
    for (StoredRecord.Span span : alloc.reserved()) {
      if (run == null || !isSameRun(run, span)) {
        starts.add(span.from() - lastStart);
        attempts.add(alloc.lastAttempt() - span.attempt());
        names.add(span.machine());
        lastStart = span.from();
        run = span;
      }
      reserved.addRange(span.from(), span.to());
    }
    alloc.finished().forEach(range -> finished.addRange(range.from(), range.to()));
    GenericRecord record = new GenericData.Record(SCHEMA);
    record.put("last", alloc.lastAttempt());
    record.put("done", alloc.done());
    names.put(record, SERIES);
    record.put("start", starts);
    record.put("attempt", attempts);
    record.put("reserved", reserved.bytes());
    record.put("finished", finished.bytes());
    return record;
  }

  private static boolean isSameRun(StoredRecord.Span run, StoredRecord.Span span) {
    return run.attempt() == span.attempt() && run.machine().equals(span.machine());
  }

  /** Reads the bitmap form. */
  static StoredRecord.Alloc alloc(JsonNode node) throws MalformedMessageException {
    byte[] bytes;
    try {
      bytes = Base64.getDecoder().decode(JsonReader.text(node, FIELD));
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("field " + FIELD + " is not Base64");
    }
    GenericRecord record = AvroCodec.read(SCHEMA, SCHEMA, bytes);
    BitSet reserved = CompressedBitmap.read((ByteBuffer) record.get("reserved"));
    BitSet finished = CompressedBitmap.read((ByteBuffer) record.get("finished"));
    if (reserved.intersects(finished)) {
      throw new MalformedMessageException("a task is both reserved and finished");
    }
    return new StoredRecord.Alloc(
        (Long) record.get("last"),
        (Boolean) record.get("done"),
        spans(record, reserved),
        ranges(finished));
  }

  private static ImmutableList<StoredRecord.Span> spans(GenericRecord record, BitSet reserved)
      throws MalformedMessageException {
    List<?> steps = (List<?>) record.get("start");
    List<?> attempts = MachineNameColumns.column(record, "attempt", steps.size());
    List<String> machines = MachineNameColumns.names(record, steps.size());
    int[] starts = starts(steps, reserved);
    long last = (Long) record.get("last");
    ImmutableList.Builder<StoredRecord.Span> spans = ImmutableList.builder();
    for (int i = 0; i < steps.size(); i++) {
      long attempt = last - (Long) attempts.get(i);
      addRun(spans, reserved, starts[i], starts[i + 1], attempt, machines.get(i));
    }
    return spans.build();
  }

  /** Where each run starts, and where the last one ends; every reserved task has to be in one. */
  private static int[] starts(List<?> steps, BitSet reserved) throws MalformedMessageException {
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

  private static void addRun(
      ImmutableList.Builder<StoredRecord.Span> spans,
      BitSet reserved,
      int start,
      int end,
      long attempt,
      String machine) {
    int from = start;
    while (from >= 0 && from < end) {
      int to = Math.min(reserved.nextClearBit(from), end) - 1;
      spans.add(new StoredRecord.Span(from, to, attempt, machine));
      from = reserved.nextSetBit(to + 1);
    }
  }

  private static ImmutableList<StoredRecord.Range> ranges(BitSet finished) {
    ImmutableList.Builder<StoredRecord.Range> ranges = ImmutableList.builder();
    for (int from = finished.nextSetBit(0); from >= 0; ) {
      int end = finished.nextClearBit(from);
      ranges.add(new StoredRecord.Range(from, end - 1));
      from = finished.nextSetBit(end);
    }
    return ranges.build();
  }
}
