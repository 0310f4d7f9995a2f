package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import com.google.common.primitives.Longs;
import eiderfork.core.message.Keys;
import eiderfork.model.JobStatus;
import eiderfork.model.Record;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The values under the keys of the state service. */
final class Records {
  private Records() {}

  static JsonNode node(Record record) {
    ObjectNode node = Json.object();
    if (record instanceof Record.JobSpec spec) {
      return UserWire.node(spec.job());
    } else if (record instanceof Record.Leadership it) {
      node.put("node", it.node());
      node.put("term", it.term());
    } else if (record instanceof Record.Term it) {
      node.put("term", it.term());
    } else if (record instanceof Record.Aborted it) {
      node.put("uid", it.uid());
    } else if (record instanceof Record.Alloc it) {
      return node(it);
    } else if (record instanceof Record.PackedAlloc it) {
      return PackedAllocs.node(it.alloc());
    } else if (record instanceof Record.BitmapAlloc it) {
      return shorter(PackedAllocs.node(it.alloc()), BitmapAllocs.node(it.alloc()));
    } else if (record instanceof Record.Rent it) {
      node.put("charter", it.requestName());
      node.put("type", it.type());
      node.put("zone", it.zone());
      node.put("spot", it.spot());
      node.put("count", it.count());
    } else if (record instanceof Record.Return it) {
      it.machines().forEach(node.putArray("machines")::add);
    } else if (record instanceof Record.ProxiedLeases it) {
      it.machines().forEach(node.putArray("machines")::add);
    } else if (record instanceof Record.EndedJob it) {
      node.put("state", Names.STANCE.inverse().get(it.stance()));
      node.put("done", it.done());
    } else if (record instanceof Record.StoredVersion it) {
      node.put("version", it.version());
    } else if (record instanceof Record.Types it) {
      node.set("types", CloudWire.nodes(it.types()));
    }
    return node;
  }

  private static ObjectNode shorter(ObjectNode packed, ObjectNode bitmap) {
    int packedLength = packed.path(PackedAllocs.FIELD).asText().length();
    int bitmapLength = bitmap.path(BitmapAllocs.FIELD).asText().length();
    return bitmapLength < packedLength ? bitmap : packed;
  }

  /**
   * Reservations go by attempt and machine, as a text of tasks and runs of tasks, since values are
   * small: {@code AllocSize} bounds what this takes. Finished tasks are runs too, or a bitmap where
   * that is shorter.
   */
  private static ObjectNode node(Record.Alloc alloc) {
    ObjectNode node = Json.object();
    node.put("last", alloc.lastAttempt());
    if (alloc.done()) {
      node.put("done", true);
    }
    Map<Long, Map<String, StringBuilder>> byAttempt = new TreeMap<>();
    for (Record.Span span : alloc.reserved()) {
      StringBuilder runs =
          byAttempt
              .computeIfAbsent(span.attempt(), a -> new LinkedHashMap<>())
              .computeIfAbsent(span.machine(), m -> new StringBuilder());
      addRun(runs, span.from(), span.to());
    }
    ObjectNode by = node.putObject("by");
    byAttempt.forEach(
        (attempt, on) -> {
          ObjectNode machines = by.putObject(attempt.toString());
          on.forEach((machine, runs) -> machines.put(machine, runs.toString()));
        });
    StringBuilder runs = new StringBuilder();
    BitSet bits = new BitSet();
    for (Record.Range range : alloc.finished()) {
      addRun(runs, range.from(), range.to());
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

  private static void addRun(StringBuilder runs, int from, int to) {
    if (runs.length() > 0) {
      runs.append(',');
    }
    runs.append(from);
    if (to > from) {
      runs.append('-').append(to);
    }
  }

  private static List<Record.Range> runs(String text) throws BadMessage {
    List<Record.Range> runs = new ArrayList<>();
    for (String run : Splitter.on(',').omitEmptyStrings().split(text)) {
      int dash = run.indexOf('-');
      try {
        int from = Integer.parseInt(dash < 0 ? run : run.substring(0, dash));
        int to = dash < 0 ? from : Integer.parseInt(run.substring(dash + 1));
        if (from < 0 || to < from) {
          throw new BadMessage("tasks " + run + " are no run");
        }
        runs.add(new Record.Range(from, to));
      } catch (NumberFormatException e) {
        throw new BadMessage("tasks " + run + " are no run");
      }
    }
    return runs;
  }

  /** The record under a key, or null where the key is not this version's. */
  static Record record(String key, JsonNode node) throws BadMessage {
    try {
      return read(key, node);
    } catch (BadMessage e) {
      if (key.equals(Keys.LEADER) || key.equals(Keys.TERM)) {
        throw e;
      }
      return new Record.Unreadable(e.getMessage());
    }
  }

  private static Record read(String key, JsonNode node) throws BadMessage {
    if (key.startsWith(Keys.JOB)) {
      return new Record.JobSpec(UserWire.job(node));
    } else if (key.startsWith(Keys.ALLOC)) {
      return alloc(node);
    } else if (key.startsWith(Keys.ABORT)) {
      return new Record.Aborted(Json.text(node, "uid"));
    } else if (key.equals(Keys.LEADER)) {
      return new Record.Leadership(Json.text(node, "node"), Json.integer(node, "term"));
    } else if (key.equals(Keys.TERM)) {
      return new Record.Term(Json.integer(node, "term"));
    } else if (key.startsWith(Keys.RENT)) {
      return new Record.Rent(
          Json.text(node, "charter"),
          Json.text(node, "type"),
          Json.text(node, "zone"),
          Json.flag(node, "spot"),
          (int) Json.integer(node, "count"));
    } else if (key.startsWith(Keys.RETURN)) {
      return new Record.Return(CloudWire.texts(Json.array(node, "machines")));
    } else if (key.startsWith(Keys.LEASE_PROXY)) {
      return new Record.ProxiedLeases(CloudWire.texts(Json.array(node, "machines")));
    } else if (key.startsWith(Keys.ENDED)) {
      return endedJob(node);
    } else if (key.equals(Keys.VERSION)) {
      return new Record.StoredVersion((int) Json.integer(node, "version"));
    } else if (key.equals(Keys.TYPES)) {
      return new Record.Types(CloudWire.types(Json.array(node, "types")));
    }
    return null;
  }

  private static Record.EndedJob endedJob(JsonNode node) throws BadMessage {
    JobStatus.Stance stance = Json.oneOf(node, "state", Names.STANCE::get);
    if (!stance.isFinal()) {
      throw new BadMessage("field state is not that of a job that is over");
    }
    return new Record.EndedJob(stance, (int) Json.integer(node, "done"));
  }

  private static Record.Alloc alloc(JsonNode node) throws BadMessage {
    if (node.has(PackedAllocs.FIELD)) {
      return PackedAllocs.alloc(node);
    }
    if (node.has(BitmapAllocs.FIELD)) {
      return BitmapAllocs.alloc(node);
    }
    List<Record.Span> spans = new ArrayList<>();
    ImmutableList.Builder<Record.Range> finished = ImmutableList.builder();
    if (node.has("on")) {
      readFirstForm(node, spans, finished);
    } else {
      for (var by : node.path("by").properties()) {
        Long attempt = Longs.tryParse(by.getKey());
        if (attempt == null) {
          throw new BadMessage("attempt " + by.getKey() + " is no number");
        }
        for (var on : by.getValue().properties()) {
          for (Record.Range run : runs(on.getValue().asText())) {
            spans.add(new Record.Span(run.from(), run.to(), attempt, on.getKey()));
          }
        }
      }
      if (node.has("endedBits")) {
        BitSet bits;
        try {
          bits = BitSet.valueOf(Base64.getDecoder().decode(Json.text(node, "endedBits")));
        } catch (IllegalArgumentException e) {
          throw new BadMessage("field endedBits is no bitmap");
        }
        for (int from = bits.nextSetBit(0); from >= 0; ) {
          int end = bits.nextClearBit(from);
          finished.add(new Record.Range(from, end - 1));
          from = bits.nextSetBit(end);
        }
      } else {
        finished.addAll(runs(Json.text(node, "ended")));
      }
    }
    spans.sort(Comparator.comparingInt(Record.Span::from));
    return new Record.Alloc(
        Json.integer(node, "last"),
        node.path("done").asBoolean(),
        ImmutableList.copyOf(spans),
        finished.build());
  }

  /** The form that 0.1 wrote: numbers from, to and attempt under each machine. */
  private static void readFirstForm(
      JsonNode node, List<Record.Span> spans, ImmutableList.Builder<Record.Range> finished) {
    for (var on : node.path("on").properties()) {
      JsonNode runs = on.getValue();
      for (int i = 0; i + 2 < runs.size(); i += 3) {
        spans.add(
            new Record.Span(
                runs.get(i).asInt(),
                runs.get(i + 1).asInt(),
                runs.get(i + 2).asLong(),
                on.getKey()));
      }
    }
    JsonNode ranges = node.path("finished");
    for (int i = 0; i + 1 < ranges.size(); i += 2) {
      finished.add(new Record.Range(ranges.get(i).asInt(), ranges.get(i + 1).asInt()));
    }
  }
}
