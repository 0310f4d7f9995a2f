package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.model.StoredRecord;

/** The controller's side of the store's protocol: encodes requests and decodes responses. */
public final class StoreCodec {
  /** The maximum number of items in a page. */
  private static final int MAX_PAGE_ITEMS = 1000;

  private static final String LEASES_PATH = "/leases";

  private StoreCodec() {}

  /** An HTTP request; the body is null if there is none. */
  public record Request(String method, String path, byte[] body) {}

  /** Encodes a request to the store. */
  public static Request encodeRequest(StoreRequest request) {
    if (request instanceof StoreRequest.Transaction transaction) {
      return new Request("POST", "/multi", encodeTransaction(transaction));
    } else if (request instanceof StoreRequest.Get get) {
      return new Request("GET", "/keys/" + get.key(), null);
    } else if (request instanceof StoreRequest.Scan scan) {
      return new Request("GET", path(scan), null);
    } else if (request instanceof StoreRequest.Watch watch) {
      return new Request("GET", path(watch), null);
    } else if (request instanceof StoreRequest.GrantLease grant) {
      byte[] body =
          JsonReader.toBytes(
              JsonReader.newObject().put(ProtocolFields.LEASE_TTL_MS, grant.ttlMs()));
      return new Request("POST", LEASES_PATH, body);
    } else if (request instanceof StoreRequest.RenewLease renew) {
      byte[] body = JsonReader.toBytes(JsonReader.newObject());
      return new Request("POST", LEASES_PATH + "/" + renew.leaseId() + "/renew", body);
    } else if (request instanceof StoreRequest.RevokeLease revoke) {
      return new Request("DELETE", LEASES_PATH + "/" + revoke.leaseId(), null);
    }
    throw new IllegalArgumentException("unknown request " + request);
  }

  private static String path(StoreRequest.Scan scan) {
    String after = scan.afterKey().isEmpty() ? "" : "&After=" + scan.afterKey();
    return "/keys?Starts=" + scan.prefix() + after + "&Page=" + MAX_PAGE_ITEMS;
  }

  private static String path(StoreRequest.Watch watch) {
    String after = "&After=" + watch.afterRevision();
    return "/follow?Starts=" + watch.prefix() + after + "&BlockMs=" + watch.timeoutMs();
  }

  private static byte[] encodeTransaction(StoreRequest.Transaction transaction) {
    ObjectNode node = JsonReader.newObject();
    ArrayNode conditions = node.putArray(ProtocolFields.CONDITIONS);
    for (StoreRequest.Condition condition : transaction.conditions()) {
      conditions
          .addObject()
          .put(ProtocolFields.KEY, condition.key())
          .put(ProtocolFields.VERSION, condition.version());
    }
    ArrayNode changes = node.putArray(ProtocolFields.CHANGES);
    transaction.changes().forEach(change -> putChange(changes.addObject(), change));
    return JsonReader.toBytes(node);
  }

  private static void putChange(ObjectNode node, StoreRequest.Change change) {
    if (change.record() == null) {
      node.put(ProtocolFields.REMOVED_KEY, change.key());
      return;
    }
    node.put(ProtocolFields.WRITTEN_KEY, change.key());
    node.set(ProtocolFields.VALUE, StoredRecordCodec.toJson(change.record()));
    if (change.leaseId() != 0) {
      node.put(ProtocolFields.LEASE, change.leaseId());
    }
  }

  /**
   * Decodes the store's response to a request.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
   */
  public static Reply decodeReply(StoreRequest request, int status, byte[] body)
      throws MalformedMessageException {
    if (request instanceof StoreRequest.Get && status == HttpStatus.NOT_FOUND) {
      return decodeMissingKey(body);
    }
    if (request instanceof StoreRequest.Transaction && status == HttpStatus.CONFLICT) {
      JsonNode node = JsonReader.parse(body);
      return new Reply.Conflict(CloudCodec.decodeTexts(JsonReader.array(node, "failed")));
    }
    if (request instanceof StoreRequest.RevokeLease && status / 100 == 2) {
      return new Reply.Leased(0);
    }
    if (status != HttpStatus.OK) {
      return new Reply.Refused(status);
    }
    if (request instanceof StoreRequest.RenewLease renew) {
      return new Reply.Leased(renew.leaseId());
    }
    return decodeOk(request, JsonReader.parse(body));
  }

  /** Decodes the store's own 404, which has a revision; any other says nothing about the key. */
  private static Reply decodeMissingKey(byte[] body) throws MalformedMessageException {
    JsonReader.integer(JsonReader.parse(body), ProtocolFields.REVISION);
    return new Reply.Value(null, 0);
  }

  private static Reply decodeOk(StoreRequest request, JsonNode node)
      throws MalformedMessageException {
    if (request instanceof StoreRequest.Transaction) {
      return new Reply.Committed(JsonReader.integer(node, ProtocolFields.REVISION));
    } else if (request instanceof StoreRequest.Get get) {
      StoredRecord record = StoredRecordCodec.fromJson(get.key(), node.path(ProtocolFields.VALUE));
      return new Reply.Value(record, JsonReader.integer(node, ProtocolFields.VERSION));
    } else if (request instanceof StoreRequest.Scan) {
      return decodePage(node);
    } else if (request instanceof StoreRequest.Watch) {
      return decodeChanges(node);
    } else if (request instanceof StoreRequest.GrantLease) {
      return new Reply.Leased(JsonReader.integer(node, ProtocolFields.LEASE));
    }
    throw new IllegalArgumentException("unknown request " + request);
  }

  private static Reply.Page decodePage(JsonNode node) throws MalformedMessageException {
    ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
    for (JsonNode item : JsonReader.array(node, ProtocolFields.ITEMS)) {
      items.add(decodeItem(item, JsonReader.text(item, ProtocolFields.KEY)));
    }
    return new Reply.Page(
        items.build(),
        JsonReader.flag(node, ProtocolFields.HAS_MORE),
        JsonReader.integer(node, ProtocolFields.REVISION));
  }

  private static Reply.Changes decodeChanges(JsonNode node) throws MalformedMessageException {
    ImmutableList.Builder<Reply.Item> items = ImmutableList.builder();
    for (JsonNode event : JsonReader.array(node, ProtocolFields.WATCHED_CHANGES)) {
      if (event.hasNonNull(ProtocolFields.REMOVED_KEY)) {
        String key = JsonReader.text(event, ProtocolFields.REMOVED_KEY);
        items.add(new Reply.Item(key, null, JsonReader.integer(event, ProtocolFields.VERSION)));
      } else {
        items.add(decodeItem(event, JsonReader.text(event, ProtocolFields.WRITTEN_KEY)));
      }
    }
    return new Reply.Changes(items.build(), JsonReader.integer(node, ProtocolFields.REVISION));
  }

  private static Reply.Item decodeItem(JsonNode node, String key) throws MalformedMessageException {
    StoredRecord record = StoredRecordCodec.fromJson(key, node.path(ProtocolFields.VALUE));
    return new Reply.Item(key, record, JsonReader.integer(node, ProtocolFields.VERSION));
  }
}
