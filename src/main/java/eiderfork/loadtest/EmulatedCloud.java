package eiderfork.loadtest;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.model.ListedMachine;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.StoredRecord;
import eiderfork.net.HttpServer;
import eiderfork.wire.CloudServerCodec;
import eiderfork.wire.MalformedMessageException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/** A cloud: rents machines within its capacity, boots them, lists them late, takes them back. */
final class EmulatedCloud {
  private static final byte[] TROUBLE = "{\"error\":\"trouble\"}".getBytes(StandardCharsets.UTF_8);
  private static final byte[] NO_CAPACITY =
      "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8);

  /** How long a machine that died is still listed as running. */
  private static final long FAILURE_SEEN_MS = 30_000;

  private static final int MOST_RENTED = 50;

  /** What the cloud needs of the machines' other side. */
  interface Machines {
    /** An address for a new machine; null where none is left. */
    String takeAddress();

    /** A machine is up. */
    void up(Machine machine, MachineType type);

    /** A machine is gone, and its address free. */
    void gone(Machine machine);
  }

  private static final class Rented {
    final Machine machine;
    final long rentedMs = SteadyClock.nowMs();
    long upMs = Long.MAX_VALUE;
    long failedMs = Long.MAX_VALUE;
    long goneMs = Long.MAX_VALUE;

    Rented(Machine machine) {
      this.machine = machine;
    }

    ListedMachine.State state(long atMs) {
      if (failedMs != Long.MAX_VALUE && atMs >= failedMs + FAILURE_SEEN_MS) {
        return ListedMachine.State.FAILED;
      }
      return atMs >= upMs ? ListedMachine.State.RUNNING : ListedMachine.State.BOOTING;
    }
  }

  private final LoadTestSettings.Cloud settings;
  private final EventLoop loop;
  private final UniformRandomProvider random;
  private final CellCounters counters;
  private final Machines machines;
  private final Map<String, MachineType> types = new HashMap<>();

  /** How many machines of a type a zone still has, by type and zone. */
  private final Map<String, Integer> free = new HashMap<>();

  private final Set<String> closedZones = new HashSet<>();
  private final TreeMap<String, Rented> rented = new TreeMap<>();
  private final Map<String, ImmutableList<String>> answered = new HashMap<>();
  private final TokenBucket requests;
  private int lastNumber;

  EmulatedCloud(
      LoadTestSettings settings,
      List<MachineType> offered,
      EventLoop loop,
      UniformRandomProvider random,
      CellCounters counters,
      Machines machines) {
    this.settings = settings.cloud();
    this.loop = loop;
    this.random = random;
    this.counters = counters;
    this.machines = machines;
    requests =
        new TokenBucket(settings.cloud().rps(), 2 * settings.cloud().rps(), SteadyClock.nowMs());
    for (int i = 0; i < offered.size(); i++) {
      MachineType type = offered.get(i);
      types.put(type.name(), type);
      double all = settings.machineTypes().get(i).share() * settings.cells().workers();
      for (String zone : type.zones()) {
        free.put(type.name() + " " + zone, (int) Math.ceil(all / type.zones().size()));
      }
    }
  }

  void handle(HttpServer.Exchange exchange) {
    counters.cloudRequests++;
    if (!requests.tryTake(1, SteadyClock.nowMs())) {
      counters.cloudRefused++;
      exchange.respond(429, TROUBLE, 0);
      return;
    }
    try {
      if (exchange.path.equals("/flavors")) {
        exchange.respond(200, CloudServerCodec.encodeTypes(List.copyOf(types.values())), 0);
      } else if (exchange.path.equals("/hosts")) {
        rent(exchange, CloudServerCodec.decodeRent(exchange.body));
      } else if (exchange.path.equals("/hosts/return")) {
        CloudServerCodec.machines(exchange.body).forEach(this::giveBack);
        exchange.respond(200, CloudServerCodec.machines(List.of()), 0);
      } else {
        list(exchange, new QueryStringDecoder(exchange.path));
      }
    } catch (MalformedMessageException e) {
      exchange.respond(400, TROUBLE, 0);
    }
  }

  private void rent(HttpServer.Exchange exchange, StoredRecord.ScaleOutIntent request) {
    ImmutableList<String> before = answered.get(request.requestName());
    if (before == null) {
      before = rentNew(request);
    }
    if (before.isEmpty()) {
      exchange.respond(503, NO_CAPACITY, 0);
    } else {
      answered.put(request.requestName(), before);
      exchange.respond(200, CloudServerCodec.machines(before), 0);
    }
  }

  private ImmutableList<String> rentNew(StoredRecord.ScaleOutIntent request) {
    String kind = request.type() + " " + request.zone();
    // Spot machines come from the same stock and are not taken back here.
    int left = closedZones.contains(request.zone()) ? 0 : free.getOrDefault(kind, 0);
    ImmutableList.Builder<String> names = ImmutableList.builder();
    int count = Math.min(Math.min(left, request.count()), MOST_RENTED);
    for (int i = 0; i < count; i++) {
      String address = machines.takeAddress();
      if (address == null) {
        break;
      }
      String name = String.format("n-%06d", ++lastNumber);
      Machine machine = new Machine(name, address, request.type(), request.zone(), request.spot());
      rented.put(name, new Rented(machine));
      free.merge(kind, -1, Integer::sum);
      names.add(name);
      MachineType type = types.get(request.type());
      long bootMs = (long) (1000 * type.bootS() * (0.6 + 0.9 * random.nextDouble()));
      loop.schedule(() -> boot(name), bootMs, TimeUnit.MILLISECONDS);
    }
    return names.build();
  }

  private void boot(String name) {
    Rented it = rented.get(name);
    if (it != null && it.goneMs == Long.MAX_VALUE && it.failedMs == Long.MAX_VALUE) {
      it.upMs = SteadyClock.nowMs();
      machines.up(it.machine, types.get(it.machine.type()));
    }
  }

  private void giveBack(String name) {
    Rented it = rented.get(name);
    if (it == null || it.goneMs != Long.MAX_VALUE) {
      return;
    }
    it.goneMs = SteadyClock.nowMs();
    free.merge(it.machine.type() + " " + it.machine.zone(), 1, Integer::sum);
    machines.gone(it.machine);
  }

  /** A zone's machines stop, and it has none until it is opened again. */
  void closeZone(String zone) {
    closedZones.add(zone);
    Collection<Rented> all = List.copyOf(rented.values());
    for (Rented it : all) {
      if (it.machine.zone().equals(zone) && it.goneMs == Long.MAX_VALUE) {
        it.failedMs = Math.min(it.failedMs, SteadyClock.nowMs());
        machines.gone(it.machine);
      }
    }
  }

  void openZone(String zone) {
    closedZones.remove(zone);
  }

  private void list(HttpServer.Exchange exchange, QueryStringDecoder query) {
    List<String> after = query.parameters().get("After");
    int page = Integer.parseInt(query.parameters().get("Page").get(0));
    long atMs = SteadyClock.nowMs() - (long) (1000 * settings.listLagS());
    List<ListedMachine> entries = new ArrayList<>();
    boolean more = false;
    var range = after == null ? rented : rented.tailMap(after.get(0), false);
    for (Rented it : range.values()) {
      if (atMs < it.rentedMs || atMs >= it.goneMs) {
        continue;
      }
      if (entries.size() == page) {
        more = true;
        break;
      }
      entries.add(new ListedMachine(it.machine, it.state(atMs), (atMs - it.rentedMs) / 1000.0));
    }
    exchange.respond(200, CloudServerCodec.encodeHosts(entries, more), 0);
  }
}
