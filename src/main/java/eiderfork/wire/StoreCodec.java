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
  private static final int PAGE = 1000;

  private StoreCodec() {}

  /** A request line and body; the body is null for none. */
  public record Request(String method, String path, byte[] body) {}

  /** The request that carries out an operation. */
  public static Request request(StoreRequest op) {
    if (op instanceof StoreRequest.Transact it) {
      return new Request("POST", "/multi", transaction(it));
    } else if (op instanceof StoreRequest.Get it) {
      return new Request("GET", "/keys/" + it.key(), null);
    } else if (op instanceof StoreRequest.Scan it) {
      String after = it.after().isEmpty() ? "" : "&After=" + it.after();
      return new Request("GET", "/keys?Starts=" + it.prefix() + after + "&Page=" + PAGE, null);
    } else if (op instanceof StoreRequest.Watch it) {
      return new Request(
          "GET",
          "/follow?Starts=" + it.prefix() + "&After=" + it.after() + "&BlockMs=" + it.waitMs(),
          null);
    } else if (op instanceof StoreRequest.Grant it) {
      return new Request(
          "POST", "/leases", JsonReader.bytes(JsonReader.object().put("LifeMs", it.lifeMs())));
    } else if (op instanceof StoreRequest.Renew it) {
      return new Request(
          "POST", "/leases/" + it.lease() + "/renew", JsonReader.bytes(JsonReader.object()));
    } else if (op instanceof StoreRequest.Release it) {
      return new Request("DELETE", "/leases/" + it.lease(), null);
    }
    throw new IllegalStateException("unknown operation " + op);
  }

  private static byte[] transaction(StoreRequest.Transact it) {
    ObjectNode node = JsonReader.object();
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
        one.set("V", StoredRecordCodec.node(change.record()));
        if (change.lease() != 0) {
          one.put("Tether", change.lease());
        }
      }
    }
    return JsonReader.bytes(node);
  }

  /**
   * What the state service's answer to an operation says.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Reply reply(StoreRequest op, int status, byte[] body)
      throws MalformedMessageException {
    if (op instanceof StoreRequest.Get get && status == 404) {
      // A 404 that is not the state service's own says nothing about the key.
      JsonReader.integer(JsonReader.parse(body), "Ledger");
      return new Reply.Value(null, 0);
    }
    if (op instanceof StoreRequest.Transact && status == 409) {
      return new Reply.Conflict(
          CloudCodec.texts(JsonReader.array(JsonReader.parse(body), "failed")));
    }
    if (op instanceof StoreRequest.Release && status / 100 == 2) {
      return new Reply.Leased(0);
    }
    if (status != 200) {
      return new Reply.Refused(status);
    }
    if (op instanceof StoreRequest.Renew renew) {
      return new Reply.Leased(renew.lease());
    }
    JsonNode node = JsonReader.parse(body);
    if (op instanceof StoreRequest.Transact) {
      return new Reply.Committed(JsonReader.integer(node, "Ledger"));
    } else if (op instanceof StoreRequest.Get get) {
      return new Reply.Value(
          StoredRecordCodec.record(get.key(), node.path("V")), JsonReader.integer(node, "Stamp"));
    } else if (op instanceof StoreRequest.Scan) {
      ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
      for (JsonNode item : JsonReader.array(node, "Items")) {
        String key = JsonReader.text(item, "Path");
        items.add(
            new Reply.Item(
                key,
                StoredRecordCodec.record(key, item.path("V")),
                JsonReader.integer(item, "Stamp")));
      }
      return new Reply.Page(
          items.build(), JsonReader.flag(node, "HasNext"), JsonReader.integer(node, "Ledger"));
    } else if (op instanceof StoreRequest.Watch) {
      ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
      for (JsonNode event : JsonReader.array(node, "Log")) {
        long version = JsonReader.integer(event, "Stamp");
        if (event.hasNonNull("Drop")) {
          items.add(new Reply.Item(JsonReader.text(event, "Drop"), null, version));
        } else {
          String key = JsonReader.text(event, "Write");
          items.add(new Reply.Item(key, StoredRecordCodec.record(key, event.path("V")), version));
        }
      }
      return new Reply.Changes(items.build(), JsonReader.integer(node, "Ledger"));
    } else if (op instanceof StoreRequest.Grant) {
      return new Reply.Leased(JsonReader.integer(node, "Tether"));
    }
    throw new IllegalStateException("unknown operation " + op);
  }
}
