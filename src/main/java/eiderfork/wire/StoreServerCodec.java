package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.StoreRequest;
import eiderfork.model.StoredRecord;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The store's side of its protocol, for the emulated store. Values are JSON texts. */
public final class StoreServerCodec {
  private StoreServerCodec() {}

  /** A change of a key; the value is null if the key is removed, and the lease is 0 for none. */
  public record RawChange(String key, String value, long lease) {}

  /** A compare-and-swap transaction. */
  public record RawTransaction(
      ImmutableList<StoreRequest.Condition> conditions, ImmutableList<RawChange> changes) {}

  /** A stored key and value; in a watch log, the value is null if the key was removed. */
  public record RawItem(String key, String value, long version) {}

  /**
   * Decodes a transaction.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
   */
  public static RawTransaction decodeTransaction(byte[] body) throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    ImmutableList.Builder<StoreRequest.Condition> conditions = ImmutableList.builder();
    for (JsonNode condition : node.path(ProtocolFields.CONDITIONS)) {
      conditions.add(
          new StoreRequest.Condition(
              JsonReader.text(condition, ProtocolFields.KEY),
              JsonReader.integer(condition, ProtocolFields.VERSION)));
    }
    ImmutableList.Builder<RawChange> changes = ImmutableList.builder();
    for (JsonNode change : node.path(ProtocolFields.CHANGES)) {
      changes.add(decodeChange(change));
    }
    return new RawTransaction(conditions.build(), changes.build());
  }

  private static RawChange decodeChange(JsonNode node) throws MalformedMessageException {
    if (node.hasNonNull(ProtocolFields.REMOVED_KEY)) {
      return new RawChange(JsonReader.text(node, ProtocolFields.REMOVED_KEY), null, 0);
    }
    boolean hasLease = node.hasNonNull(ProtocolFields.LEASE);
    long leaseId = hasLease ? JsonReader.integer(node, ProtocolFields.LEASE) : 0;
    String key = JsonReader.text(node, ProtocolFields.WRITTEN_KEY);
    return new RawChange(key, node.path(ProtocolFields.VALUE).toString(), leaseId);
  }

  /**
   * Decodes the time to live of a requested lease, in milliseconds.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
   */
  public static long decodeLeaseMs(byte[] body) throws MalformedMessageException {
    return JsonReader.integer(JsonReader.parse(body), ProtocolFields.LEASE_TTL_MS);
  }

  /** Encodes a record as the JSON text that controllers store. */
  public static String encodeRecord(StoredRecord record) {
    return StoredRecordCodec.toJson(record).toString();
  }

  /** Encodes the response to an applied transaction or to the read of a missing key. */
  public static byte[] encodeRevision(long revision) {
    return utf8Bytes("{\"Ledger\":" + revision + "}");
  }

  /** Encodes the response to a transaction in which the conditions on these keys failed. */
  public static byte[] encodeConflict(List<String> keys, long revision) {
    StringBuilder text = new StringBuilder("{\"failed\":[");
    for (int i = 0; i < keys.size(); i++) {
      text.append(i == 0 ? "\"" : ",\"").append(keys.get(i)).append('"');
    }
    return utf8Bytes(text.append("],\"Ledger\":").append(revision).append('}').toString());
  }

  /** Encodes the response to the read of a key. */
  public static byte[] encodeItem(RawItem item) {
    return utf8Bytes(appendItem(new StringBuilder(), item).toString());
  }

  private static StringBuilder appendItem(StringBuilder text, RawItem item) {
    return text.append("{\"Path\":\"")
        .append(item.key())
        .append("\",\"V\":")
        .append(item.value())
        .append(",\"Stamp\":")
        .append(item.version())
        .append('}');
  }

  /** Encodes a page of a scan. */
  public static byte[] encodePage(List<RawItem> items, boolean hasMore, long revision) {
    StringBuilder text = new StringBuilder("{\"Items\":[");
    for (int i = 0; i < items.size(); i++) {
      appendItem(i == 0 ? text : text.append(','), items.get(i));
    }
    text.append("],\"HasNext\":").append(hasMore).append(",\"Ledger\":").append(revision);
    return utf8Bytes(text.append('}').toString());
  }

  /** Encodes the response to a watch. */
  public static byte[] encodeWatchLog(List<RawItem> changes, long revision) {
    StringBuilder text = new StringBuilder("{\"Ledger\":").append(revision).append(",\"Log\":[");
    for (int i = 0; i < changes.size(); i++) {
      RawItem item = changes.get(i);
      text.append(i == 0 ? "{\"" : ",{\"")
          .append(item.value() == null ? "Drop" : "Write")
          .append("\":\"")
          .append(item.key())
          .append('"');
      if (item.value() != null) {
        text.append(",\"V\":").append(item.value());
      }
      text.append(",\"Stamp\":").append(item.version()).append('}');
    }
    return utf8Bytes(text.append("]}").toString());
  }

  /** Encodes the response to the grant or renewal of a lease. */
  public static byte[] encodeLease(long lease) {
    return utf8Bytes("{\"Tether\":" + lease + "}");
  }

  private static byte[] utf8Bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
