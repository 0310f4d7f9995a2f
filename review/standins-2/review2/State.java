package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service. It enforces no rates, so it never answers 429. */
final class State {
  private static final int KEPT_CHANGES = 10_000;

  private record Entry(JsonNode value, long stamp, long lease) {}

  private record Change(String key, JsonNode value, long stamp) {}

  private static final class Lease {
    long lifeMs;
    long endsNs;
    final Set<String> keys = new HashSet<>();
  }

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Deque<Change> log = new ArrayDeque<>();
  private long ledger = 1;
  private long lastLease;
  private long dropped;
  private volatile boolean isOut;
  private final Server server;

  State() throws IOException {
    server = new Server(this::handle);
    Thread ticker =
        new Thread(
            () -> {
              while (true) {
                endLeases();
                try {
                  Thread.sleep(10);
                } catch (InterruptedException e) {
                  return;
                }
              }
            });
    ticker.setDaemon(true);
    ticker.start();
  }

  /** Begins or ends an outage; after it every lease has its full time again. */
  synchronized void setOut(boolean out) {
    isOut = out;
    leases.values().forEach(lease -> lease.endsNs = System.nanoTime() + lease.lifeMs * 1_000_000);
    notifyAll();
  }

  int port() {
    return server.port();
  }

  private Server.Answer handle(
      String method, String path, Map<String, String> query, JsonNode body) throws Exception {
    if (isOut) {
      return new Server.Answer(503, Server.object());
    }
    if (path.startsWith("/keys/")) {
      return get(path.substring(6));
    } else if (path.equals("/keys")) {
      return range(query);
    } else if (path.equals("/multi")) {
      return multi(body);
    } else if (path.equals("/follow")) {
      return follow(query);
    } else if (path.equals("/leases")) {
      return grant(body.path("LifeMs").asLong());
    } else if (path.startsWith("/leases/")) {
      String rest = path.substring(8);
      boolean renews = rest.endsWith("/renew");
      long id = Long.parseLong(renews ? rest.substring(0, rest.length() - 6) : rest);
      return renews ? renew(id) : end(id);
    }
    return new Server.Answer(400, Server.object());
  }

  private synchronized Server.Answer get(String key) {
    Entry entry = entries.get(key);
    if (entry == null) {
      return new Server.Answer(404, Server.object().put("Ledger", ledger));
    }
    ObjectNode node = Server.object().put("Path", key);
    node.set("V", entry.value);
    node.put("Stamp", entry.stamp);
    if (entry.lease != 0) {
      node.put("Tether", entry.lease);
    }
    return new Server.Answer(200, node);
  }

  private synchronized Server.Answer range(Map<String, String> query) {
    String starts = query.getOrDefault("Starts", "");
    String after = query.getOrDefault("After", "");
    int page = Math.min(1000, Integer.parseInt(query.getOrDefault("Page", "1000")));
    ObjectNode node = Server.object();
    ArrayNode items = node.putArray("Items");
    boolean more = false;
    int bytes = 0;
    for (var each : entries.tailMap(after.compareTo(starts) > 0 ? after : starts, true).entrySet()) {
      if (!each.getKey().startsWith(starts)) {
        break;
      }
      if (each.getKey().equals(after)) {
        continue;
      }
      bytes += each.getKey().length() + each.getValue().value.toString().length() + 40;
      if (items.size() == page || bytes > 500_000 && items.size() > 0) {
        more = true;
        break;
      }
      ObjectNode item = items.addObject().put("Path", each.getKey());
      item.set("V", each.getValue().value);
      item.put("Stamp", each.getValue().stamp);
    }
    node.put("HasNext", more).put("Ledger", ledger);
    return new Server.Answer(200, node);
  }

  private synchronized Server.Answer multi(JsonNode body) {
    endLeases();
    for (JsonNode change : body.path("Then")) {
      long lease = change.path("Tether").asLong(0);
      if (change.has("Write") && lease != 0 && !leases.containsKey(lease)) {
        return new Server.Answer(400, Server.object().put("error", "no such lease"));
      }
    }
    List<String> failed = new ArrayList<>();
    for (JsonNode condition : body.path("If")) {
      Entry entry = entries.get(condition.path("Path").asText());
      if ((entry == null ? 0 : entry.stamp) != condition.path("Stamp").asLong()) {
        failed.add(condition.path("Path").asText());
      }
    }
    if (!failed.isEmpty()) {
      ObjectNode node = Server.object();
      failed.forEach(node.putArray("failed")::add);
      return new Server.Answer(409, node.put("Ledger", ledger));
    }
    if (body.path("Then").size() > 0) {
      ledger++;
      for (JsonNode change : body.path("Then")) {
        if (change.has("Drop")) {
          put(change.path("Drop").asText(), null, 0);
        } else {
          put(change.path("Write").asText(), change.path("V"), change.path("Tether").asLong(0));
        }
      }
      notifyAll();
    }
    return new Server.Answer(200, Server.object().put("Ledger", ledger));
  }

  private void put(String key, JsonNode value, long lease) {
    Entry before = entries.get(key);
    if (before != null && leases.containsKey(before.lease)) {
      leases.get(before.lease).keys.remove(key);
    }
    if (value == null) {
      if (entries.remove(key) == null) {
        return;
      }
    } else {
      entries.put(key, new Entry(value, ledger, lease));
      if (lease != 0) {
        leases.get(lease).keys.add(key);
      }
    }
    log.addLast(new Change(key, value, ledger));
    if (log.size() > KEPT_CHANGES) {
      dropped = log.removeFirst().stamp;
    }
  }

  private synchronized Server.Answer follow(Map<String, String> query) throws Exception {
    String starts = query.getOrDefault("Starts", "");
    long after = Long.parseLong(query.getOrDefault("After", "0"));
    long endNs =
        System.nanoTime() + Long.parseLong(query.getOrDefault("BlockMs", "0")) * 1_000_000;
    if (after < dropped) {
      return new Server.Answer(410, Server.object());
    }
    while (true) {
      ObjectNode node = Server.object().put("Ledger", ledger);
      ArrayNode changes = node.putArray("Log");
      for (Change change : log) {
        if (change.stamp > after && change.key.startsWith(starts)) {
          ObjectNode item = changes.addObject();
          item.put(change.value == null ? "Drop" : "Write", change.key);
          if (change.value != null) {
            item.set("V", change.value);
          }
          item.put("Stamp", change.stamp);
        }
      }
      long leftMs = (endNs - System.nanoTime()) / 1_000_000;
      if (!isOut && (changes.size() > 0 || leftMs <= 0)) {
        return new Server.Answer(200, node);
      }
      wait(Math.max(10, leftMs));
    }
  }

  private synchronized Server.Answer grant(long lifeMs) {
    Lease lease = new Lease();
    lease.lifeMs = lifeMs;
    lease.endsNs = System.nanoTime() + lifeMs * 1_000_000;
    leases.put(++lastLease, lease);
    return new Server.Answer(200, Server.object().put("Tether", lastLease));
  }

  private synchronized Server.Answer renew(long id) {
    endLeases();
    Lease lease = leases.get(id);
    if (lease == null) {
      return new Server.Answer(404, Server.object());
    }
    lease.endsNs = System.nanoTime() + lease.lifeMs * 1_000_000;
    return new Server.Answer(200, Server.object().put("Tether", id));
  }

  private synchronized Server.Answer end(long id) {
    if (!leases.containsKey(id)) {
      return new Server.Answer(404, Server.object());
    }
    removeLease(id);
    return new Server.Answer(200, Server.object());
  }

  private synchronized void endLeases() {
    if (isOut) {
      return;
    }
    long nowNs = System.nanoTime();
    List<Long> ended = new ArrayList<>();
    leases.forEach(
        (id, lease) -> {
          if (nowNs > lease.endsNs) {
            ended.add(id);
          }
        });
    ended.forEach(this::removeLease);
  }

  private void removeLease(long id) {
    Lease lease = leases.get(id);
    if (!lease.keys.isEmpty()) {
      ledger++;
      List.copyOf(lease.keys).forEach(key -> put(key, null, 0));
      notifyAll();
    }
    leases.remove(id);
  }
}
