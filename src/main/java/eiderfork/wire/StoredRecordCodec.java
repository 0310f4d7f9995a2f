package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import eiderfork.controller.message.StoreKeys;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The values under the keys of the state service. */
final class StoredRecordCodec {
  private StoredRecordCodec() {}

  static JsonNode toJson(StoredRecord record) {
    ObjectNode node = JsonReader.newObject();
    if (record instanceof StoredRecord.JobSpec spec) {
      return UserCodec.toJson(spec.job());
    } else if (record instanceof StoredRecord.Leadership it) {
      node.put("node", it.node());
      node.put("term", it.term());
    } else if (record instanceof StoredRecord.TermCounter it) {
      node.put("term", it.term());
    } else if (record instanceof StoredRecord.Cancellation it) {
      node.put("uid", it.uid());
    } else if (record instanceof StoredRecord.Allocation allocation) {
      return toJson(allocation);
    } else if (record instanceof StoredRecord.PackedAllocation it) {
      return PackedAllocationCodec.toJson(it.alloc());
    } else if (record instanceof StoredRecord.BitmapAllocation it) {
      return shorter(
          PackedAllocationCodec.toJson(it.alloc()), BitmapAllocationCodec.toJson(it.alloc()));
    } else if (record instanceof StoredRecord.ScaleOutIntent it) {
      node.put("charter", it.requestName());
      node.put("type", it.type());
      node.put("zone", it.zone());
      node.put("spot", it.spot());
      node.put("count", it.count());
    } else if (record instanceof StoredRecord.ScaleInIntent machineReturn) {
      machineReturn.machines().forEach(node.putArray("machines")::add);
    } else if (record instanceof StoredRecord.ProxiedLeases proxiedLeases) {
      proxiedLeases.machines().forEach(node.putArray("machines")::add);
    } else if (record instanceof StoredRecord.ArchivedJob archived) {
      node.put("state", ProtocolNames.JOB_STATES.inverse().get(archived.phase()));
      node.put("done", archived.doneTasks());
    } else if (record instanceof StoredRecord.StoredVersion it) {
      node.put("version", it.version());
    } else if (record instanceof StoredRecord.MachineTypes stored) {
      node.set("types", CloudCodec.typesToJson(stored.types()));
    }
    return node;
  }

  private static ObjectNode shorter(ObjectNode packed, ObjectNode bitmap) {
    int packedLength = packed.path(PackedAllocationCodec.JSON_FIELD).asText().length();
    int bitmapLength = bitmap.path(BitmapAllocationCodec.JSON_FIELD).asText().length();
    return bitmapLength < packedLength ? bitmap : packed;
  }

  /**
   * Reservations go by attempt and machine, as a text of tasks and runs of tasks, since values are
   * small: {@code PlainAllocationSize} bounds what this takes. Finished tasks are runs too, or a
   * bitmap where that is shorter.
   */
  private static ObjectNode toJson(StoredRecord.Allocation allocation) {
    ObjectNode node = JsonReader.newObject();
    node.put("last", allocation.lastAttempt());
    if (allocation.done()) {
      node.put("done", true);
    }
    Map<Long, Map<String, StringBuilder>> byAttempt = new TreeMap<>();
    for (StoredRecord.ReservedRange span : allocation.reserved()) {
      StringBuilder runs =
          byAttempt
              .computeIfAbsent(span.attempt(), a -> new LinkedHashMap<>())
              .computeIfAbsent(span.machine(), m -> new StringBuilder());
      appendRun(runs, span.from(), span.to());
    }
    ObjectNode by = node.putObject("by");
    byAttempt.forEach(
        (attempt, on) -> {
          ObjectNode machines = by.putObject(attempt.toString());
          on.forEach((machine, runs) -> machines.put(machine, runs.toString()));
        });
    StringBuilder runs = new StringBuilder();
    BitSet bits = new BitSet();
    for (StoredRecord.TaskRange range : allocation.finished()) {
      appendRun(runs, range.from(), range.to());
      bits.set(range.from(), range.to() + 1);
    }
    String bitmap = Base64.getEncoder().withoutPadding().encodeToString(bits.toByteArray());
    if (bitmap.length() < runs.length()) {
      node.put("endedBits", bitmap);
    } else {
      node.put("ended", runs.toString());
    }
    return node;
  }

  private static void appendRun(StringBuilder runs, int from, int to) {
    if (runs.length() > 0) {
      runs.append(',');
    }
    runs.append(from);
    if (to > from) {
      runs.append('-').append(to);
    }
  }

  private static List<StoredRecord.TaskRange> parseRuns(String text)
      throws MalformedMessageException {
    List<StoredRecord.TaskRange> runs = new ArrayList<>();
    for (String run : Splitter.on(',').omitEmptyStrings().split(text)) {
      int dash = run.indexOf('-');
      try {
        int from = Integer.parseInt(dash < 0 ? run : run.substring(0, dash));
        int to = dash < 0 ? from : Integer.parseInt(run.substring(dash + 1));
        if (from < 0 || to < from) {
          throw new MalformedMessageException("tasks " + run + " are no run");
        }
        runs.add(new StoredRecord.TaskRange(from, to));
      } catch (NumberFormatException e) {
        throw new MalformedMessageException("tasks " + run + " are no run");
      }
    }
    return runs;
  }

  /** The record under a key, or null where the key is not this version's. */
  static StoredRecord fromJson(String key, JsonNode node) throws MalformedMessageException {
    try {
      return decode(key, node);
    } catch (MalformedMessageException e) {
      if (key.equals(StoreKeys.LEADER) || key.equals(StoreKeys.TERM)) {
        throw e;
      }
      return new StoredRecord.Unreadable(e.getMessage());
    }
  }

  private static StoredRecord decode(String key, JsonNode node) throws MalformedMessageException {
    if (key.startsWith(StoreKeys.JOB_PREFIX)) {
      return new StoredRecord.JobSpec(UserCodec.decodeJob(node));
    } else if (key.startsWith(StoreKeys.ALLOC_PREFIX)) {
      return decodeAlloc(node);
    } else if (key.startsWith(StoreKeys.CANCELLATION_PREFIX)) {
      return new StoredRecord.Cancellation(JsonReader.text(node, "uid"));
    } else if (key.equals(StoreKeys.LEADER)) {
      return new StoredRecord.Leadership(
          JsonReader.text(node, "node"), JsonReader.integer(node, "term"));
    } else if (key.equals(StoreKeys.TERM)) {
      return new StoredRecord.TermCounter(JsonReader.integer(node, "term"));
    } else if (key.startsWith(StoreKeys.RENT_PREFIX)) {
      return new StoredRecord.ScaleOutIntent(
          JsonReader.text(node, "charter"),
          JsonReader.text(node, "type"),
          JsonReader.text(node, "zone"),
          JsonReader.flag(node, "spot"),
          (int) JsonReader.integer(node, "count"));
    } else if (key.startsWith(StoreKeys.RETURN_PREFIX)) {
      return new StoredRecord.ScaleInIntent(
          CloudCodec.decodeTexts(JsonReader.array(node, "machines")));
    } else if (key.startsWith(StoreKeys.LEASE_PROXY_PREFIX)) {
      return new StoredRecord.ProxiedLeases(
          CloudCodec.decodeTexts(JsonReader.array(node, "machines")));
    } else if (key.startsWith(StoreKeys.ENDED_PREFIX)) {
      return decodeEndedJob(node);
    } else if (key.equals(StoreKeys.CLUSTER_VERSION)) {
      return new StoredRecord.StoredVersion((int) JsonReader.integer(node, "version"));
    } else if (key.equals(StoreKeys.MACHINE_TYPES)) {
      return new StoredRecord.MachineTypes(CloudCodec.decodeTypes(JsonReader.array(node, "types")));
    }
    return null;
  }

  private static StoredRecord.ArchivedJob decodeEndedJob(JsonNode node)
      throws MalformedMessageException {
    JobStatus.Phase stance = JsonReader.oneOf(node, "state", ProtocolNames.JOB_STATES::get);
    if (!stance.isFinal()) {
      throw new MalformedMessageException("field state is not that of a job that is over");
    }
    return new StoredRecord.ArchivedJob(stance, (int) JsonReader.integer(node, "done"));
  }

  private static StoredRecord.Allocation decodeAlloc(JsonNode node)
      throws MalformedMessageException {
    if (node.has(PackedAllocationCodec.JSON_FIELD)) {
      return PackedAllocationCodec.fromJson(node);
    }
    if (node.has(BitmapAllocationCodec.JSON_FIELD)) {
      return BitmapAllocationCodec.fromJson(node);
    }
    List<StoredRecord.ReservedRange> spans = new ArrayList<>();
    ImmutableList.Builder<StoredRecord.TaskRange> finished = ImmutableList.builder();
    if (node.has("on")) {
      decodeFirstForm(node, spans, finished);
    } else {
      for (var by : node.path("by").properties()) {
        Long attempt = Longs.tryParse(by.getKey());
        if (attempt == null) {
          throw new MalformedMessageException("attempt " + by.getKey() + " is no number");
        }
        for (var on : by.getValue().properties()) {
          for (StoredRecord.TaskRange run : parseRuns(on.getValue().asText())) {
            spans.add(new StoredRecord.ReservedRange(run.from(), run.to(), attempt, on.getKey()));
          }
        }
      }
      if (node.has("endedBits")) {
        BitSet bits;
        try {
          bits = BitSet.valueOf(Base64.getDecoder().decode(JsonReader.text(node, "endedBits")));
        } catch (IllegalArgumentException e) {
          throw new MalformedMessageException("field endedBits is no bitmap");
        }
        for (int from = bits.nextSetBit(0); from >= 0; ) {
          int end = bits.nextClearBit(from);
          finished.add(new StoredRecord.TaskRange(from, end - 1));
          from = bits.nextSetBit(end);
        }
      } else {
        finished.addAll(parseRuns(JsonReader.text(node, "ended")));
      }
    }
    spans.sort(Comparator.comparingInt(StoredRecord.ReservedRange::from));
    return new StoredRecord.Allocation(
        JsonReader.integer(node, "last"),
        node.path("done").asBoolean(),
        ImmutableList.copyOf(spans),
        finished.build());
  }

  /** The form that 0.1 wrote: numbers from, to and attempt under each machine. */
  private static void decodeFirstForm(
      JsonNode node,
      List<StoredRecord.ReservedRange> spans,
      ImmutableList.Builder<StoredRecord.TaskRange> finished) {
    for (var on : node.path("on").properties()) {
      JsonNode runs = on.getValue();
      for (int i = 0; i + 2 < runs.size(); i += 3) {
        spans.add(
            new StoredRecord.ReservedRange(
                runs.get(i).asInt(),
                runs.get(i + 1).asInt(),
                runs.get(i + 2).asLong(),
                on.getKey()));
      }
    }
    JsonNode ranges = node.path("finished");
    for (int i = 0; i + 1 < ranges.size(); i += 2) {
      finished.add(new StoredRecord.TaskRange(ranges.get(i).asInt(), ranges.get(i + 1).asInt()));
    }
  }
}
