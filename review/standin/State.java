import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service of PROTOCOL-eiderfork.md, with one port and one fault mode for each node. */
final class State {
  static final ObjectMapper JSON = new ObjectMapper();

  /** What happens to the requests of one node. */
  static class Gate {
    /** Answers 503 and executes nothing; open watches wait. */
    volatile boolean refuse;

    /** No request arrives and no answer leaves. */
    volatile boolean cut;

    /** Called before a request is executed; may sleep or wait. */
    void before(Net.Request request) throws InterruptedException {}

    /** Called after a request was executed; may sleep, or return false to lose the answer. */
    boolean after(Net.Request request, Net.Response response) throws InterruptedException {
      return true;
    }
  }

  private record Stored(JsonNode value, long stamp, long lease) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private static final class Lease {
    long lifeMs;
    long endMs;
    final Set<String> keys = new HashSet<>();
  }

  private final TreeMap<String, Stored> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Deque<Change> log = new ArrayDeque<>();
  private long ledger = 1;
  private long lastLease;
  private volatile boolean outage;
  private final int maxOps;
  private final int maxValueBytes;

  State(int maxOps, int maxValueKb) {
    this.maxOps = maxOps;
    this.maxValueBytes = maxValueKb * 1024;
    Net.daemon("leases", this::expireLeases);
  }

  /** Listens on a port for one node. */
  void listen(int port, String node, Gate gate) throws IOException {
    Net.serve(port, request -> handle(request, node, gate));
  }

  /** Begins or ends an outage; afterwards every lease has its full time again. */
  synchronized void setOutage(boolean value) {
    outage = value;
    if (!value) {
      leases.values().forEach(lease -> lease.endMs = Record.nowMs() + lease.lifeMs);
    }
    notifyAll();
  }

  synchronized JsonNode value(String key) {
    Stored stored = keys.get(key);
    return stored == null ? null : stored.value;
  }

  synchronized List<String> keysWith(String prefix) {
    List<String> found = new ArrayList<>();
    keys.tailMap(prefix).keySet().stream().filter(k -> k.startsWith(prefix)).forEach(found::add);
    return found;
  }

  private void expireLeases() {
    while (true) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        if (!outage) {
          for (long id : List.copyOf(leases.keySet())) {
            if (Record.nowMs() > leases.get(id).endMs) {
              endLease(id);
            }
          }
        }
      }
    }
  }

  private void endLease(long id) {
    Lease lease = leases.remove(id);
    if (!lease.keys.isEmpty()) {
      ledger++;
      for (String key : lease.keys) {
        keys.remove(key);
        addToLog(new Change(key, null, ledger));
      }
      notifyAll();
    }
  }

  private void addToLog(Change change) {
    log.addLast(change);
    if (log.size() > 10_000) {
      log.removeFirst();
    }
  }

  private Net.Response handle(Net.Request request, String node, Gate gate)
      throws InterruptedException {
    if (gate.cut) {
      return holdUntilUncut(gate);
    }
    gate.before(request);
    if (gate.cut) {
      return holdUntilUncut(gate);
    }
    Net.Response response = gate.refuse || outage ? refusal(request) : execute(request, gate);
    if (!request.path().startsWith("/follow") && !request.method().equals("GET")) {
      Record.log("state %s %s %s %s -> %d", node, request.method(), request.path(),
          request.body(), response.status());
    }
    if (!gate.after(request, response)) {
      return null;
    }
    return gate.cut ? holdUntilUncut(gate) : response;
  }

  private static Net.Response holdUntilUncut(Gate gate) throws InterruptedException {
    while (gate.cut) {
      Thread.sleep(50);
    }
    return null;
  }

  private static Net.Response refusal(Net.Request request) {
    return new Net.Response(503, "{\"error\":\"out\"}");
  }

  private Net.Response execute(Net.Request request, Gate gate) throws InterruptedException {
    try {
      String path = request.path();
      if (path.startsWith("/keys/")) {
        return get(path.substring(6));
      } else if (path.startsWith("/keys?")) {
        return range(query(path));
      } else if (path.equals("/multi")) {
        return multi(JSON.readTree(request.body()));
      } else if (path.startsWith("/follow?")) {
        return follow(query(path), gate);
      } else if (path.equals("/leases")) {
        return grant(JSON.readTree(request.body()).path("LifeMs").asLong());
      } else if (path.startsWith("/leases/")) {
        return lease(path.substring(8));
      }
    } catch (IOException e) {
      return new Net.Response(400, "{}");
    }
    return new Net.Response(400, "{}");
  }

  private static Map<String, String> query(String path) {
    Map<String, String> values = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      String[] pair = part.split("=", 2);
      values.put(pair[0], pair.length < 2 ? "" : URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
    }
    return values;
  }

  private synchronized Net.Response get(String key) {
    Stored stored = keys.get(key);
    if (stored == null) {
      return new Net.Response(404, "{\"Ledger\":" + ledger + "}");
    }
    ObjectNode node = JSON.createObjectNode();
    node.put("Path", key);
    node.set("V", stored.value);
    node.put("Stamp", stored.stamp);
    if (stored.lease != 0) {
      node.put("Tether", stored.lease);
    }
    return new Net.Response(200, node.toString());
  }

  private synchronized Net.Response range(Map<String, String> query) {
    String prefix = query.getOrDefault("Starts", "");
    String after = query.getOrDefault("After", "");
    int page = Math.min(1000, Integer.parseInt(query.getOrDefault("Page", "1000")));
    ObjectNode node = JSON.createObjectNode();
    ArrayNode items = node.putArray("Items");
    boolean more = false;
    int bytes = 0;
    var tail = after.isEmpty() ? keys.tailMap(prefix, true) : keys.tailMap(after, false);
    for (var entry : tail.entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      String text = entry.getValue().value.toString();
      bytes += text.length();
      if (items.size() == page || bytes > 500_000 && items.size() > 0) {
        more = true;
        break;
      }
      ObjectNode item = items.addObject();
      item.put("Path", entry.getKey());
      item.set("V", entry.getValue().value);
      item.put("Stamp", entry.getValue().stamp);
    }
    node.put("HasNext", more);
    node.put("Ledger", ledger);
    return new Net.Response(200, node.toString());
  }

  private synchronized Net.Response multi(JsonNode request) {
    JsonNode then = request.path("Then");
    if (then.size() > maxOps || request.path("If").size() > 4 * maxOps) {
      return new Net.Response(400, "{\"error\":\"too many\"}");
    }
    for (JsonNode change : then) {
      if (change.has("Write") && change.path("V").toString().length() > maxValueBytes) {
        return new Net.Response(400, "{\"error\":\"too large\"}");
      }
      if (change.hasNonNull("Tether") && !leases.containsKey(change.get("Tether").asLong())) {
        return new Net.Response(400, "{\"error\":\"no such lease\"}");
      }
    }
    ArrayNode failed = JSON.createArrayNode();
    for (JsonNode condition : request.path("If")) {
      Stored stored = keys.get(condition.get("Path").asText());
      if ((stored == null ? 0 : stored.stamp) != condition.get("Stamp").asLong()) {
        failed.add(condition.get("Path").asText());
      }
    }
    if (failed.size() > 0) {
      return new Net.Response(409, "{\"failed\":" + failed + ",\"Ledger\":" + ledger + "}");
    }
    if (then.size() > 0) {
      ledger++;
      then.forEach(this::apply);
      notifyAll();
    }
    return new Net.Response(200, "{\"Ledger\":" + ledger + "}");
  }

  private void apply(JsonNode change) {
    String key = change.has("Write") ? change.get("Write").asText() : change.get("Drop").asText();
    Stored before = keys.get(key);
    if (before != null && before.lease != 0 && leases.containsKey(before.lease)) {
      leases.get(before.lease).keys.remove(key);
    }
    if (change.has("Write")) {
      long lease = change.path("Tether").asLong(0);
      keys.put(key, new Stored(change.get("V"), ledger, lease));
      if (lease != 0) {
        leases.get(lease).keys.add(key);
      }
      addToLog(new Change(key, change.get("V"), ledger));
    } else {
      keys.remove(key);
      addToLog(new Change(key, null, ledger));
    }
  }

  private Net.Response follow(Map<String, String> query, Gate gate) throws InterruptedException {
    String prefix = query.getOrDefault("Starts", "");
    long after = Long.parseLong(query.getOrDefault("After", "0"));
    long endMs = Record.nowMs() + Long.parseLong(query.getOrDefault("BlockMs", "0"));
    while (true) {
      synchronized (this) {
        boolean held = outage || gate.refuse || gate.cut;
        if (!held) {
          if (log.size() == 10_000 && log.peekFirst().stamp > after + 1) {
            return new Net.Response(410, "{}");
          }
          ArrayNode changes = JSON.createArrayNode();
          for (Change change : log) {
            if (change.stamp > after && change.key.startsWith(prefix)) {
              ObjectNode item = changes.addObject();
              item.put(change.value == null ? "Drop" : "Write", change.key);
              if (change.value != null) {
                item.set("V", change.value);
              }
              item.put("Stamp", change.stamp);
            }
          }
          if (changes.size() > 0 || Record.nowMs() >= endMs) {
            return new Net.Response(200, "{\"Ledger\":" + ledger + ",\"Log\":" + changes + "}");
          }
        }
        wait(held ? 100 : Math.max(1, Math.min(100, endMs - Record.nowMs())));
      }
    }
  }

  private synchronized Net.Response grant(long lifeMs) {
    Lease lease = new Lease();
    lease.lifeMs = lifeMs;
    lease.endMs = Record.nowMs() + lifeMs;
    leases.put(++lastLease, lease);
    return new Net.Response(200, "{\"Tether\":" + lastLease + "}");
  }

  private synchronized Net.Response lease(String idAndAction) {
    boolean renew = idAndAction.endsWith("/renew");
    long id = Long.parseLong(renew ? idAndAction.substring(0, idAndAction.indexOf('/')) : idAndAction);
    Lease lease = leases.get(id);
    if (lease == null) {
      return new Net.Response(404, "{}");
    }
    if (renew) {
      lease.endMs = Record.nowMs() + lease.lifeMs;
    } else {
      endLease(id);
    }
    return new Net.Response(200, "{\"Tether\":" + id + "}");
  }
}
