package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.StoreRequest;
import eiderfork.model.StoredRecord;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The state service's side of its protocol, for stand-ins. Values are kept as JSON texts. */
public final class StoreServerCodec {
  private StoreServerCodec() {}

  /** A change of a key; the value is null where the key is removed, and lease 0 is none. */
  public record RawChange(String key, String value, long lease) {}

  /** A conditional write. */
  public record RawTransaction(
      ImmutableList<StoreRequest.Condition> conditions, ImmutableList<RawChange> changes) {}

  /** A stored key; the value is null in the log where the key was removed. */
  public record RawItem(String key, String value, long version) {}

  /**
   * Reads a transaction.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static RawTransaction decodeTransaction(byte[] body) throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    ImmutableList.Builder<StoreRequest.Condition> conditions = ImmutableList.builder();
    for (JsonNode it : node.path("If")) {
      conditions.add(
          new StoreRequest.Condition(JsonReader.text(it, "Path"), JsonReader.integer(it, "Stamp")));
    }
    ImmutableList.Builder<RawChange> changes = ImmutableList.builder();
    for (JsonNode it : node.path("Then")) {
      if (it.hasNonNull("Drop")) {
        changes.add(new RawChange(JsonReader.text(it, "Drop"), null, 0));
      } else {
        long lease = it.hasNonNull("Tether") ? JsonReader.integer(it, "Tether") : 0;
        changes.add(new RawChange(JsonReader.text(it, "Write"), it.path("V").toString(), lease));
      }
    }
    return new RawTransaction(conditions.build(), changes.build());
  }

  /**
   * Reads how long a lease is to last.
   *
   * @throws MalformedMessageException where the request does not follow the protocol
   */
  public static long decodeLeaseMs(byte[] body) throws MalformedMessageException {
    return JsonReader.integer(JsonReader.parse(body), "LifeMs");
  }

  /** The JSON text of a record, as controllers store it. */
  public static String encodeRecord(StoredRecord record) {
    return StoredRecordCodec.toJson(record).toString();
  }

  /** The answer to a transaction that was applied, or to a question for a missing key. */
  public static byte[] encodeRevision(long revision) {
    return utf8Bytes("{\"Ledger\":" + revision + "}");
  }

  /** The answer to a transaction of which these conditions failed. */
  public static byte[] encodeConflict(List<String> keys, long revision) {
    StringBuilder text = new StringBuilder("{\"failed\":[");
    for (int i = 0; i < keys.size(); i++) {
      text.append(i == 0 ? "\"" : ",\"").append(keys.get(i)).append('"');
    }
    return utf8Bytes(text.append("],\"Ledger\":").append(revision).append('}').toString());
  }

  /** The answer to a question for a key. */
  public static byte[] encodeItem(RawItem item) {
    return utf8Bytes(appendItem(new StringBuilder(), item).toString());
  }

  private static StringBuilder appendItem(StringBuilder to, RawItem item) {
    return to.append("{\"Path\":\"")
        .append(item.key())
        .append("\",\"V\":")
        .append(item.value())
        .append(",\"Stamp\":")
        .append(item.version())
        .append('}');
  }

  /** A page of a range of keys. */
  public static byte[] encodePage(List<RawItem> items, boolean more, long revision) {
    StringBuilder text = new StringBuilder("{\"Items\":[");
    for (int i = 0; i < items.size(); i++) {
      appendItem(i == 0 ? text : text.append(','), items.get(i));
    }
    text.append("],\"HasNext\":").append(more).append(",\"Ledger\":").append(revision);
    return utf8Bytes(text.append('}').toString());
  }

  /** The answer to a watch. */
  public static byte[] encodeWatchLog(List<RawItem> changes, long revision) {
    StringBuilder text = new StringBuilder("{\"Ledger\":").append(revision).append(",\"Log\":[");
    for (int i = 0; i < changes.size(); i++) {
      RawItem it = changes.get(i);
      text.append(i == 0 ? "{\"" : ",{\"")
          .append(it.value() == null ? "Drop" : "Write")
          .append("\":\"")
          .append(it.key())
          .append('"');
      if (it.value() != null) {
        text.append(",\"V\":").append(it.value());
      }
      text.append(",\"Stamp\":").append(it.version()).append('}');
    }
    return utf8Bytes(text.append("]}").toString());
  }

  /** The answer to a granted or renewed lease. */
  public static byte[] encodeLease(long lease) {
    return utf8Bytes("{\"Tether\":" + lease + "}");
  }

  private static byte[] utf8Bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
