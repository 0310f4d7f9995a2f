import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL-eiderfork.md: one machine type in some zones, lists that lag. */
final class Cloud {
  record Kind(String name, double cpus, double gpus, double ramGb, double readyS) {}

  final Kind kind;
  final List<String> zones;
  final Fleet fleet;
  private final long listLagMs;
  private final Map<String, String> answers = new HashMap<>();
  private int lastNumber;
  int capacity = 1000;

  Cloud(Kind kind, List<String> zones, double listLagS, Fleet fleet) {
    this.kind = kind;
    this.zones = zones;
    this.listLagMs = (long) (listLagS * 1000);
    this.fleet = fleet;
  }

  void listen(int port) throws IOException {
    Net.serve(port, this::handle);
  }

  private Net.Response handle(Net.Request request) {
    try {
      if (request.path().equals("/flavors")) {
        return flavors();
      } else if (request.path().equals("/hosts") && request.method().equals("POST")) {
        return rent(State.JSON.readTree(request.body()));
      } else if (request.path().equals("/hosts/return")) {
        return giveBack(State.JSON.readTree(request.body()));
      } else if (request.path().startsWith("/hosts?")) {
        return list(request.path());
      }
    } catch (IOException e) {
      return new Net.Response(400, "{}");
    }
    return new Net.Response(400, "{}");
  }

  private Net.Response flavors() {
    ObjectNode node = State.JSON.createObjectNode();
    ObjectNode type = node.putArray("Breeds").addObject();
    type.put("Label", kind.name).put("Cpus", kind.cpus).put("Gpus", kind.gpus);
    type.put("RamGb", kind.ramGb).put("LocalGb", 600.0).put("PullGbPerS", 4.0);
    type.put("Rate", 12.0).put("MarketPrice", 4.5).put("ReadyS", kind.readyS);
    ArrayNode shores = type.putArray("Shores");
    zones.forEach(shores::add);
    return new Net.Response(200, node.toString());
  }

  private synchronized Net.Response rent(JsonNode request) throws IOException {
    String charter = request.get("Charter").asText();
    String known = answers.get(charter);
    if (known != null) {
      return new Net.Response(200, known);
    }
    int count = Math.min(request.get("Count").asInt(), capacity - fleet.size());
    if (count <= 0) {
      return new Net.Response(503, "{\"error\":\"no capacity\"}");
    }
    ObjectNode node = State.JSON.createObjectNode();
    ArrayNode names = node.putArray("Roosts");
    for (int i = 0; i < count; i++) {
      String name = String.format("n-%06d", ++lastNumber);
      names.add(name);
      fleet.add(new Worker(name, kind, request.get("Shore").asText(),
          request.get("Driftwood").asBoolean(), fleet, (long) (kind.readyS * 1000)));
    }
    answers.put(charter, node.toString());
    Record.log("cloud rent %s -> %s", charter, names);
    return new Net.Response(200, node.toString());
  }

  private Net.Response giveBack(JsonNode request) {
    for (JsonNode name : request.get("Roosts")) {
      Worker worker = fleet.get(name.asText());
      if (worker != null) {
        Record.log("cloud return %s", name.asText());
        worker.end();
        worker.goneMs = Record.nowMs();
      }
    }
    return new Net.Response(200, "{}");
  }

  private Net.Response list(String path) {
    String after = path.contains("&After=") ? path.replaceAll(".*&After=([^&]*).*", "$1") : "";
    long asOfMs = Record.nowMs() - listLagMs;
    TreeMap<String, Worker> shown = new TreeMap<>();
    for (Worker worker : new ArrayList<>(fleet.all())) {
      if (worker.rentedMs <= asOfMs && (worker.goneMs == 0 || worker.goneMs > asOfMs)) {
        shown.put(worker.name, worker);
      }
    }
    ObjectNode node = State.JSON.createObjectNode();
    ArrayNode roosts = node.putArray("Roosts");
    boolean more = false;
    for (Worker worker : (after.isEmpty() ? shown : shown.tailMap(after, false)).values()) {
      if (roosts.size() == 500) {
        more = true;
        break;
      }
      ObjectNode item = roosts.addObject();
      item.put("Uid", worker.name).put("Addr", "127.0.0.1:" + worker.port);
      item.put("Breed", kind.name).put("Shore", worker.zone).put("Driftwood", worker.spot);
      item.put("Stance", worker.upMs <= asOfMs ? "running" : "starting");
      item.put("AgeS", (asOfMs - worker.rentedMs) / 1000.0);
    }
    node.put("HasNext", more);
    return new Net.Response(200, node.toString());
  }
}
