package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud, with one machine type and a fixed number of machines in each zone. */
final class Cloud {
  /** Starts and ends the machines. */
  interface Machines {
    /** Makes a machine's address known; its worker starts with {@link #up}. */
    String create(String name, String breed, String zone, boolean spot) throws IOException;

    void up(String name);

    void gone(String name);
  }

  private static final class Host {
    String name;
    String address;
    String breed;
    String zone;
    boolean spot;
    long rentedMs;
    long upMs;
    long goneMs = Long.MAX_VALUE;
  }

  private final Record record;
  private final Machines machines;
  private final List<String> zones;
  private final Map<String, Integer> left = new HashMap<>();
  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final Map<String, List<String>> charters = new HashMap<>();
  private final long lagMs;
  private final long bootMs;
  private int number;
  private final Server server;

  Cloud(Record record, Machines machines, List<String> zones, int perZone, double lagS, long bootMs)
      throws IOException {
    this.record = record;
    this.machines = machines;
    this.zones = zones;
    this.bootMs = bootMs;
    lagMs = (long) (1000 * lagS);
    zones.forEach(zone -> left.put(zone, perZone));
    server = new Server(this::handle);
  }

  int port() {
    return server.port();
  }

  private Server.Answer handle(
      String method, String path, Map<String, String> query, JsonNode body) throws Exception {
    if (path.equals("/flavors")) {
      ObjectNode node = Server.object();
      ObjectNode type = node.putArray("Breeds").addObject();
      type.put("Label", "kishi-stanok").put("Cpus", 16.0).put("Gpus", 0.0).put("RamGb", 32.0);
      type.put("LocalGb", 35.0).put("PullGbPerS", 0.8).put("Rate", 0.52);
      type.put("MarketPrice", 0.18).put("ReadyS", 30.0);
      zones.forEach(type.putArray("Shores")::add);
      return new Server.Answer(200, node);
    } else if (path.equals("/hosts") && method.equals("POST")) {
      return rent(body);
    } else if (path.equals("/hosts/return")) {
      return giveBack(body);
    } else if (path.equals("/hosts")) {
      return list(query);
    }
    return new Server.Answer(400, Server.object());
  }

  private synchronized Server.Answer rent(JsonNode body) throws IOException {
    String charter = body.path("Charter").asText();
    if (!charters.containsKey(charter)) {
      String zone = body.path("Shore").asText();
      int count = Math.min(body.path("Count").asInt(), left.getOrDefault(zone, 0));
      if (count == 0) {
        return new Server.Answer(503, Server.object().put("error", "no capacity"));
      }
      List<String> names = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        names.add(create(body, zone));
      }
      charters.put(charter, names);
    }
    ObjectNode node = Server.object();
    charters.get(charter).forEach(node.putArray("Roosts")::add);
    return new Server.Answer(200, node);
  }

  private String create(JsonNode body, String zone) throws IOException {
    left.merge(zone, -1, Integer::sum);
    Host host = new Host();
    host.name = String.format("n-%06d", ++number);
    host.breed = body.path("Breed").asText();
    host.zone = zone;
    host.spot = body.path("Driftwood").asBoolean();
    host.rentedMs = record.nowMs();
    host.upMs = host.rentedMs + bootMs;
    host.address = machines.create(host.name, host.breed, zone, host.spot);
    hosts.put(host.name, host);
    record.line("cloud: %s rented in %s", host.name, zone);
    Thread boot =
        new Thread(
            () -> {
              try {
                Thread.sleep(bootMs);
              } catch (InterruptedException e) {
                return;
              }
              machines.up(host.name);
            });
    boot.setDaemon(true);
    boot.start();
    return host.name;
  }

  private synchronized Server.Answer giveBack(JsonNode body) {
    for (JsonNode name : body.path("Roosts")) {
      Host host = hosts.get(name.asText());
      if (host != null && host.goneMs == Long.MAX_VALUE) {
        host.goneMs = record.nowMs();
        left.merge(host.zone, 1, Integer::sum);
        record.line("cloud: %s returned", host.name);
        machines.gone(host.name);
      }
    }
    return new Server.Answer(200, Server.object());
  }

  private synchronized Server.Answer list(Map<String, String> query) {
    long atMs = record.nowMs() - lagMs;
    ObjectNode node = Server.object();
    ArrayNode list = node.putArray("Roosts");
    for (Host host : hosts.tailMap(query.getOrDefault("After", ""), false).values()) {
      if (atMs >= host.rentedMs && atMs < host.goneMs) {
        ObjectNode item = list.addObject().put("Uid", host.name).put("Addr", host.address);
        item.put("Breed", host.breed).put("Shore", host.zone).put("Driftwood", host.spot);
        item.put("Stance", atMs >= host.upMs ? "running" : "starting");
        item.put("AgeS", (atMs - host.rentedMs) / 1000.0);
      }
    }
    return new Server.Answer(200, node.put("HasNext", false));
  }
}
