package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.core.message.Reply;
import eiderfork.core.message.StateOp;

/** What the state service is asked and says. */
public final class StateWire {
  /** The most items in a page. */
  private static final int PAGE = 1000;

  private StateWire() {}

  /** A request line and body; the body is null for none. */
  public record Request(String method, String path, byte[] body) {}

  /** The request that carries out an operation. */
  public static Request request(StateOp op) {
    if (op instanceof StateOp.Transact it) {
      return new Request("POST", "/multi", transaction(it));
    } else if (op instanceof StateOp.Get it) {
      return new Request("GET", "/keys/" + it.key(), null);
    } else if (op instanceof StateOp.Scan it) {
      String after = it.after().isEmpty() ? "" : "&After=" + it.after();
      return new Request("GET", "/keys?Starts=" + it.prefix() + after + "&Page=" + PAGE, null);
    } else if (op instanceof StateOp.Watch it) {
      return new Request(
          "GET",
          "/follow?Starts=" + it.prefix() + "&After=" + it.after() + "&BlockMs=" + it.waitMs(),
          null);
    } else if (op instanceof StateOp.Grant it) {
      return new Request("POST", "/leases", Json.bytes(Json.object().put("LifeMs", it.lifeMs())));
    } else if (op instanceof StateOp.Renew it) {
      return new Request("POST", "/leases/" + it.lease() + "/renew", Json.bytes(Json.object()));
    } else if (op instanceof StateOp.Release it) {
      return new Request("DELETE", "/leases/" + it.lease(), null);
    }
    throw new IllegalStateException("unknown operation " + op);
  }

  private static byte[] transaction(StateOp.Transact it) {
    ObjectNode node = Json.object();
    ArrayNode conditions = node.putArray("If");
    for (StateOp.Condition condition : it.conditions()) {
      conditions.addObject().put("Path", condition.key()).put("Stamp", condition.version());
    }
    ArrayNode changes = node.putArray("Then");
    for (StateOp.Change change : it.changes()) {
      ObjectNode one = changes.addObject();
      if (change.record() == null) {
        one.put("Drop", change.key());
      } else {
        one.put("Write", change.key());
        one.set("V", Records.node(change.record()));
        if (change.lease() != 0) {
          one.put("Tether", change.lease());
        }
      }
    }
    return Json.bytes(node);
  }

  /**
   * What the state service's answer to an operation says.
   *
   * @throws BadMessage where it does not follow the protocol
   */
  public static Reply reply(StateOp op, int status, byte[] body) throws BadMessage {
    if (op instanceof StateOp.Get get && status == 404) {
      // A 404 that is not the state service's own says nothing about the key.
      Json.integer(Json.parse(body), "Ledger");
      return new Reply.Value(null, 0);
    }
    if (op instanceof StateOp.Transact && status == 409) {
      return new Reply.Conflict(CloudWire.texts(Json.array(Json.parse(body), "failed")));
    }
    if (op instanceof StateOp.Release && status / 100 == 2) {
      return new Reply.Leased(0);
    }
    if (status != 200) {
      return new Reply.Refused(status);
    }
    if (op instanceof StateOp.Renew renew) {
      return new Reply.Leased(renew.lease());
    }
    JsonNode node = Json.parse(body);
    if (op instanceof StateOp.Transact) {
      return new Reply.Committed(Json.integer(node, "Ledger"));
    } else if (op instanceof StateOp.Get get) {
      return new Reply.Value(
          Records.record(get.key(), node.path("V")), Json.integer(node, "Stamp"));
    } else if (op instanceof StateOp.Scan) {
      ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
      for (JsonNode item : Json.array(node, "Items")) {
        String key = Json.text(item, "Path");
        items.add(
            new Reply.Item(key, Records.record(key, item.path("V")), Json.integer(item, "Stamp")));
      }
      return new Reply.Page(
          items.build(), Json.flag(node, "HasNext"), Json.integer(node, "Ledger"));
    } else if (op instanceof StateOp.Watch) {
      ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
      for (JsonNode event : Json.array(node, "Log")) {
        long version = Json.integer(event, "Stamp");
        if (event.hasNonNull("Drop")) {
          items.add(new Reply.Item(Json.text(event, "Drop"), null, version));
        } else {
          String key = Json.text(event, "Write");
          items.add(new Reply.Item(key, Records.record(key, event.path("V")), version));
        }
      }
      return new Reply.Changes(items.build(), Json.integer(node, "Ledger"));
    } else if (op instanceof StateOp.Grant) {
      return new Reply.Leased(Json.integer(node, "Tether"));
    }
    throw new IllegalStateException("unknown operation " + op);
  }
}
