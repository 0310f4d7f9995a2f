package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;

/** What the state service is asked and says. */
public final class StoreCodec {
  /** The most items in a page. */
  private static final int MAX_PAGE_ITEMS = 1000;

  private StoreCodec() {}

  /** A request line and body; the body is null for none. */
  public record Request(String method, String path, byte[] body) {}

  /** The request that carries out an operation. */
  public static Request encodeRequest(StoreRequest request) {
    if (request instanceof StoreRequest.Transaction it) {
      return new Request("POST", "/multi", encodeTransaction(it));
    } else if (request instanceof StoreRequest.Get it) {
      return new Request("GET", "/keys/" + it.key(), null);
    } else if (request instanceof StoreRequest.Scan it) {
      String after = it.afterKey().isEmpty() ? "" : "&After=" + it.afterKey();
      return new Request(
          "GET", "/keys?Starts=" + it.prefix() + after + "&Page=" + MAX_PAGE_ITEMS, null);
    } else if (request instanceof StoreRequest.Watch it) {
      return new Request(
          "GET",
          "/follow?Starts="
              + it.prefix()
              + "&After="
              + it.afterRevision()
              + "&BlockMs="
              + it.timeoutMs(),
          null);
    } else if (request instanceof StoreRequest.Grant it) {
      return new Request(
          "POST", "/leases", JsonReader.toBytes(JsonReader.newObject().put("LifeMs", it.ttlMs())));
    } else if (request instanceof StoreRequest.Renew it) {
      return new Request(
          "POST", "/leases/" + it.leaseId() + "/renew", JsonReader.toBytes(JsonReader.newObject()));
    } else if (request instanceof StoreRequest.Release it) {
      return new Request("DELETE", "/leases/" + it.leaseId(), null);
    }
    throw new IllegalStateException("unknown operation " + request);
  }

  private static byte[] encodeTransaction(StoreRequest.Transaction it) {
    ObjectNode node = JsonReader.newObject();
    ArrayNode conditions = node.putArray("If");
    for (StoreRequest.Condition condition : it.conditions()) {
      conditions.addObject().put("Path", condition.key()).put("Stamp", condition.version());
    }
    ArrayNode changes = node.putArray("Then");
    for (StoreRequest.Change change : it.changes()) {
      ObjectNode one = changes.addObject();
      if (change.record() == null) {
        one.put("Drop", change.key());
      } else {
        one.put("Write", change.key());
        one.set("V", StoredRecordCodec.toJson(change.record()));
        if (change.leaseId() != 0) {
          one.put("Tether", change.leaseId());
        }
      }
    }
    return JsonReader.toBytes(node);
  }

  /**
   * What the state service's answer to an operation says.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Reply decodeReply(StoreRequest request, int status, byte[] body)
      throws MalformedMessageException {
    if (request instanceof StoreRequest.Get get && status == 404) {
      // A 404 that is not the state service's own says nothing about the key.
      JsonReader.integer(JsonReader.parse(body), "Ledger");
      return new Reply.Value(null, 0);
    }
    if (request instanceof StoreRequest.Transaction && status == 409) {
      return new Reply.Conflict(
          CloudCodec.decodeTexts(JsonReader.array(JsonReader.parse(body), "failed")));
    }
    if (request instanceof StoreRequest.Release && status / 100 == 2) {
      return new Reply.Leased(0);
    }
    if (status != 200) {
      return new Reply.Refused(status);
    }
    if (request instanceof StoreRequest.Renew renew) {
      return new Reply.Leased(renew.leaseId());
    }
    JsonNode node = JsonReader.parse(body);
    if (request instanceof StoreRequest.Transaction) {
      return new Reply.Committed(JsonReader.integer(node, "Ledger"));
    } else if (request instanceof StoreRequest.Get get) {
      return new Reply.Value(
          StoredRecordCodec.fromJson(get.key(), node.path("V")), JsonReader.integer(node, "Stamp"));
    } else if (request instanceof StoreRequest.Scan) {
      ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
      for (JsonNode item : JsonReader.array(node, "Items")) {
        String key = JsonReader.text(item, "Path");
        items.add(
            new Reply.Item(
                key,
                StoredRecordCodec.fromJson(key, item.path("V")),
                JsonReader.integer(item, "Stamp")));
      }
      return new Reply.Page(
          items.build(), JsonReader.flag(node, "HasNext"), JsonReader.integer(node, "Ledger"));
    } else if (request instanceof StoreRequest.Watch) {
      ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
      for (JsonNode event : JsonReader.array(node, "Log")) {
        long version = JsonReader.integer(event, "Stamp");
        if (event.hasNonNull("Drop")) {
          items.add(new Reply.Item(JsonReader.text(event, "Drop"), null, version));
        } else {
          String key = JsonReader.text(event, "Write");
          items.add(new Reply.Item(key, StoredRecordCodec.fromJson(key, event.path("V")), version));
        }
      }
      return new Reply.Changes(items.build(), JsonReader.integer(node, "Ledger"));
    } else if (request instanceof StoreRequest.Grant) {
      return new Reply.Leased(JsonReader.integer(node, "Tether"));
    }
    throw new IllegalStateException("unknown operation " + request);
  }
}
