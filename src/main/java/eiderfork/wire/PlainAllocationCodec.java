package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import eiderfork.model.StoredRecord.Allocation;
import eiderfork.model.StoredRecord.ReservedRange;
import eiderfork.model.StoredRecord.TaskRange;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The plain encoding of an allocation, which all versions can read; {@code PlainAllocationSize}
 * bounds its size. Reservations are grouped by attempt and machine, each group as a list of tasks
 * and ranges such as {@code 0-3,7}. Finished tasks are such a list, or a bitmap if that is shorter.
 */
final class PlainAllocationCodec {
  private static final String LAST_ATTEMPT = "last";
  private static final String DONE = "done";
  private static final String RESERVED = "by";
  private static final String FINISHED = "ended";
  private static final String FINISHED_BITMAP = "endedBits";

  /** The field with the reservations in the legacy encoding, which version 0.1 wrote. */
  private static final String LEGACY_RESERVED = "on";

  private static final String LEGACY_FINISHED = "finished";

  private PlainAllocationCodec() {}

  static ObjectNode toJson(Allocation allocation) {
    ObjectNode node = JsonReader.newObject();
    node.put(LAST_ATTEMPT, allocation.lastAttempt());
    if (allocation.done()) {
      node.put(DONE, true);
    }
    putReserved(node, allocation.reserved());
    putFinished(node, allocation.finished());
    return node;
  }

  private static void putReserved(ObjectNode node, List<ReservedRange> reserved) {
    Map<Long, Map<String, StringBuilder>> byAttempt = new TreeMap<>();
    for (ReservedRange range : reserved) {
      StringBuilder ranges =
          byAttempt
              .computeIfAbsent(range.attempt(), k -> new LinkedHashMap<>())
              .computeIfAbsent(range.machine(), k -> new StringBuilder());
      appendRange(ranges, range.from(), range.to());
    }
    ObjectNode attempts = node.putObject(RESERVED);
    byAttempt.forEach(
        (attempt, byMachine) -> {
          ObjectNode machines = attempts.putObject(attempt.toString());
          byMachine.forEach((machine, ranges) -> machines.put(machine, ranges.toString()));
        });
  }

  private static void putFinished(ObjectNode node, List<TaskRange> finished) {
    StringBuilder ranges = new StringBuilder();
    finished.forEach(range -> appendRange(ranges, range.from(), range.to()));
    byte[] bits = TaskRanges.toBits(finished).toByteArray();
    String bitmap = Base64.getEncoder().withoutPadding().encodeToString(bits);
    if (bitmap.length() < ranges.length()) {
      node.put(FINISHED_BITMAP, bitmap);
    } else {
      node.put(FINISHED, ranges.toString());
    }
  }

  private static void appendRange(StringBuilder ranges, int from, int to) {
    if (ranges.length() > 0) {
      ranges.append(',');
    }
    ranges.append(from);
    if (to > from) {
      ranges.append('-').append(to);
    }
  }

  static Allocation fromJson(JsonNode node) throws MalformedMessageException {
    boolean isLegacy = node.has(LEGACY_RESERVED);
    List<ReservedRange> reserved = isLegacy ? decodeLegacyReserved(node) : decodeReserved(node);
    ImmutableList<TaskRange> finished =
        isLegacy ? decodeLegacyFinished(node) : decodeFinished(node);
    reserved.sort(Comparator.comparingInt(ReservedRange::from));
    return new Allocation(
        JsonReader.integer(node, LAST_ATTEMPT),
        node.path(DONE).asBoolean(),
        ImmutableList.copyOf(reserved),
        finished);
  }

  private static List<ReservedRange> decodeReserved(JsonNode node)
      throws MalformedMessageException {
    List<ReservedRange> reserved = new ArrayList<>();
    for (var byAttempt : node.path(RESERVED).properties()) {
      Long attempt = Longs.tryParse(byAttempt.getKey());
      if (attempt == null) {
        throw new MalformedMessageException("attempt " + byAttempt.getKey() + " is no number");
      }
      for (var byMachine : byAttempt.getValue().properties()) {
        for (TaskRange tasks : parseRanges(byMachine.getValue().asText())) {
          reserved.add(new ReservedRange(tasks.from(), tasks.to(), attempt, byMachine.getKey()));
        }
      }
    }
    return reserved;
  }

  private static ImmutableList<TaskRange> decodeFinished(JsonNode node)
      throws MalformedMessageException {
    if (!node.has(FINISHED_BITMAP)) {
      return parseRanges(JsonReader.text(node, FINISHED));
    }
    String bitmap = JsonReader.text(node, FINISHED_BITMAP);
    try {
      return TaskRanges.fromBits(BitSet.valueOf(Base64.getDecoder().decode(bitmap)));
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("field " + FINISHED_BITMAP + " is no bitmap");
    }
  }

  private static ImmutableList<TaskRange> parseRanges(String text)
      throws MalformedMessageException {
    ImmutableList.Builder<TaskRange> ranges = ImmutableList.builder();
    for (String range : Splitter.on(',').omitEmptyStrings().split(text)) {
      ranges.add(parseRange(range));
    }
    return ranges.build();
  }

  private static TaskRange parseRange(String text) throws MalformedMessageException {
    int dash = text.indexOf('-');
    try {
      int from = Integer.parseInt(dash < 0 ? text : text.substring(0, dash));
      int to = dash < 0 ? from : Integer.parseInt(text.substring(dash + 1));
      if (from >= 0 && to >= from) {
        return new TaskRange(from, to);
      }
    } catch (NumberFormatException e) {
      // Reported below, like an invalid range.
    }
    throw new MalformedMessageException("tasks " + text + " are no run");
  }

  /**
   * Decodes legacy reservations: under each machine, triples of first task, last task and attempt.
   */
  private static List<ReservedRange> decodeLegacyReserved(JsonNode node) {
    List<ReservedRange> reserved = new ArrayList<>();
    for (var byMachine : node.path(LEGACY_RESERVED).properties()) {
      JsonNode numbers = byMachine.getValue();
      for (int i = 0; i + 2 < numbers.size(); i += 3) {
        int from = numbers.get(i).asInt();
        int to = numbers.get(i + 1).asInt();
        long attempt = numbers.get(i + 2).asLong();
        reserved.add(new ReservedRange(from, to, attempt, byMachine.getKey()));
      }
    }
    return reserved;
  }

  private static ImmutableList<TaskRange> decodeLegacyFinished(JsonNode node) {
    ImmutableList.Builder<TaskRange> finished = ImmutableList.builder();
    JsonNode numbers = node.path(LEGACY_FINISHED);
    for (int i = 0; i + 1 < numbers.size(); i += 2) {
      finished.add(new TaskRange(numbers.get(i).asInt(), numbers.get(i + 1).asInt()));
    }
    return finished.build();
  }
}
