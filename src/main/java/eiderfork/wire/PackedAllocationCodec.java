package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.model.Job;
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
 * The packed form of an alloc record: an Avro record of columns as Base64, which {@code
 * PackedAllocationSize} bounds. Columns take about half of what the plain form takes.
 */
final class PackedAllocationCodec {
  /** The field that tells this form from the others. */
  static final String JSON_FIELD = "packed";

  private static final Schema SCHEMA = AvroCodec.loadSchema("alloc.avsc");
  private static final Schema SERIES_SCHEMA = SCHEMA.getField("series").schema().getElementType();

  private PackedAllocationCodec() {}

  static ObjectNode toJson(StoredRecord.Allocation allocation) {
    byte[] bytes = AvroCodec.encode(toAvro(allocation));
    return JsonReader.newObject()
        .put(JSON_FIELD, Base64.getEncoder().withoutPadding().encodeToString(bytes));
  }

  private static GenericRecord toAvro(StoredRecord.Allocation allocation) {
    MachineNameColumns names = new MachineNameColumns();
    List<Integer> gaps = new ArrayList<>();
    List<Integer> lengths = new ArrayList<>();
    List<Long> attempts = new ArrayList<>();
    int next = 0;
    for (StoredRecord.ReservedRange span : allocation.reserved()) {
      gaps.add(span.from() - next);
      lengths.add(span.to() - span.from());
      attempts.add(allocation.lastAttempt() - span.attempt());
      names.add(span.machine());
      next = span.to() + 1;
    }
    GenericRecord record = new GenericData.Record(SCHEMA);
    record.put("last", allocation.lastAttempt());
    record.put("done", allocation.done());
    names.writeTo(record, SERIES_SCHEMA);
    record.put("gap", gaps);
    record.put("length", lengths);
    record.put("attempt", attempts);
    putFinished(record, allocation.finished());
    return record;
  }

  private static void putFinished(GenericRecord record, List<StoredRecord.TaskRange> finished) {
    List<Integer> runs = new ArrayList<>();
    BitSet bits = new BitSet();
    int next = 0;
    for (StoredRecord.TaskRange range : finished) {
      runs.add(range.from() - next);
      runs.add(range.to() - range.from());
      bits.set(range.from(), range.to() + 1);
      next = range.to() + 1;
    }
    byte[] bitmap = bits.toByteArray();
    boolean runsAreShorter = encodedSize(runs) <= bitmap.length;
    record.put("finished", runsAreShorter ? runs : List.of());
    record.put("finishedBits", ByteBuffer.wrap(runsAreShorter ? new byte[0] : bitmap));
  }

  private static int encodedSize(List<Integer> runs) {
    GenericRecord probe = new GenericData.Record(FINISHED_SCHEMA);
    probe.put("finished", runs);
    return AvroCodec.encode(probe).length;
  }

  private static final Schema FINISHED_SCHEMA =
      Schema.createRecord(
          "Finished",
          null,
          SCHEMA.getNamespace(),
          false,
          List.of(new Schema.Field("finished", SCHEMA.getField("finished").schema())));

  /** Reads the packed form. */
  static StoredRecord.Allocation fromJson(JsonNode node) throws MalformedMessageException {
    byte[] bytes;
    try {
      bytes = Base64.getDecoder().decode(JsonReader.text(node, JSON_FIELD));
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("field " + JSON_FIELD + " is not Base64");
    }
    GenericRecord record = AvroCodec.decode(SCHEMA, SCHEMA, bytes);
    long last = (Long) record.get("last");
    return new StoredRecord.Allocation(
        last, (Boolean) record.get("done"), decodeReserved(record, last), decodeFinished(record));
  }

  private static ImmutableList<StoredRecord.ReservedRange> decodeReserved(
      GenericRecord record, long last) throws MalformedMessageException {
    List<?> gaps = (List<?>) record.get("gap");
    List<?> lengths = MachineNameColumns.readColumn(record, "length", gaps.size());
    List<?> attempts = MachineNameColumns.readColumn(record, "attempt", gaps.size());
    List<String> machines = MachineNameColumns.readNames(record, gaps.size());
    ImmutableList.Builder<StoredRecord.ReservedRange> spans = ImmutableList.builder();
    int next = 0;
    for (int i = 0; i < gaps.size(); i++) {
      StoredRecord.TaskRange run = decodeRun(next, (Integer) gaps.get(i), (Integer) lengths.get(i));
      spans.add(
          new StoredRecord.ReservedRange(
              run.from(), run.to(), last - (Long) attempts.get(i), machines.get(i)));
      next = run.to() + 1;
    }
    return spans.build();
  }

  private static StoredRecord.TaskRange decodeRun(int next, int gap, int length)
      throws MalformedMessageException {
    long to = (long) next + gap + length;
    if (gap < 0 || length < 0 || to >= Job.MAX_TASKS) {
      throw new MalformedMessageException("tasks are no run");
    }
    return new StoredRecord.TaskRange(next + gap, (int) to);
  }

  private static ImmutableList<StoredRecord.TaskRange> decodeFinished(GenericRecord record)
      throws MalformedMessageException {
    ImmutableList.Builder<StoredRecord.TaskRange> ranges = ImmutableList.builder();
    List<?> runs = (List<?>) record.get("finished");
    int next = 0;
    for (int i = 0; i + 1 < runs.size(); i += 2) {
      StoredRecord.TaskRange run =
          decodeRun(next, (Integer) runs.get(i), (Integer) runs.get(i + 1));
      ranges.add(run);
      next = run.to() + 1;
    }
    BitSet bits = BitSet.valueOf((ByteBuffer) record.get("finishedBits"));
    for (int from = bits.nextSetBit(0); from >= 0; ) {
      int end = bits.nextClearBit(from);
      ranges.add(new StoredRecord.TaskRange(from, end - 1));
      from = bits.nextSetBit(end);
    }
    return ranges.build();
  }
}
