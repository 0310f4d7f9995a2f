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

/**
 * A cloud API that creates machines within its capacity, boots and deletes them, and lists them
 * with a delay.
 */
final class EmulatedCloud {
  private static final byte[] ERROR_BODY =
      "{\"error\":\"trouble\"}".getBytes(StandardCharsets.UTF_8);
  private static final byte[] NO_CAPACITY_BODY =
      "{\"error\":\"no capacity\"}".getBytes(StandardCharsets.UTF_8);

  /** Time for which a failed machine is still listed as running. */
  private static final long FAILURE_DETECTION_MS = 30_000;

  private static final int MAX_MACHINES_PER_REQUEST = 50;

  /** Supplies addresses to the cloud and is notified of its machines. */
  interface MachineListener {
    /** Returns an address for a new machine, or null if none is left. */
    String allocateAddress();

    /** Called when a machine has booted. */
    void machineUp(Machine machine, MachineType type);

    /** Called when a machine has failed or was deleted; its address may be reused. */
    void machineRemoved(Machine machine);
  }

  private static final class CloudMachine {
    final Machine machine;
    final long requestedMs = SteadyClock.nowMs();
    long upMs = Long.MAX_VALUE;
    long failedMs = Long.MAX_VALUE;
    long deletedMs = Long.MAX_VALUE;

    CloudMachine(Machine machine) {
      this.machine = machine;
    }

    ListedMachine.State state(long atMs) {
      if (failedMs != Long.MAX_VALUE && atMs >= failedMs + FAILURE_DETECTION_MS) {
        return ListedMachine.State.FAILED;
      }
      return atMs >= upMs ? ListedMachine.State.RUNNING : ListedMachine.State.BOOTING;
    }
  }

  private final LoadTestSettings.CloudLimits settings;
  private final EventLoop loop;
  private final UniformRandomProvider random;
  private final CellCounters counters;
  private final MachineListener machineListener;
  private final Map<String, MachineType> types = new HashMap<>();

  /** Machines that can still be created, by type and zone. */
  private final Map<String, Integer> remainingCapacity = new HashMap<>();

  private final Set<String> closedZones = new HashSet<>();
  private final TreeMap<String, CloudMachine> cloudMachines = new TreeMap<>();
  private final Map<String, ImmutableList<String>> machinesByRequest = new HashMap<>();
  private final TokenBucket requestBudget;
  private int lastNumber;

  EmulatedCloud(
      LoadTestSettings settings,
      List<MachineType> offered,
      EventLoop loop,
      UniformRandomProvider random,
      CellCounters counters,
      MachineListener machineListener) {
    this.settings = settings.cloud();
    this.loop = loop;
    this.random = random;
    this.counters = counters;
    this.machineListener = machineListener;
    requestBudget =
        new TokenBucket(settings.cloud().rps(), 2 * settings.cloud().rps(), SteadyClock.nowMs());
    for (int i = 0; i < offered.size(); i++) {
      MachineType type = offered.get(i);
      types.put(type.name(), type);
      double machines = settings.machineTypes().get(i).share() * settings.cells().workers();
      for (String zone : type.zones()) {
        remainingCapacity.put(
            type.name() + " " + zone, (int) Math.ceil(machines / type.zones().size()));
      }
    }
  }

  void handle(HttpServer.Exchange exchange) {
    counters.cloudRequests++;
    if (!requestBudget.tryTake(1, SteadyClock.nowMs())) {
      counters.cloudRefused++;
      exchange.respond(429, ERROR_BODY, 0);
      return;
    }
    try {
      if (exchange.path().equals("/flavors")) {
        exchange.respond(200, CloudServerCodec.encodeTypes(List.copyOf(types.values())), 0);
      } else if (exchange.path().equals("/hosts")) {
        handleScaleOut(exchange, CloudServerCodec.decodeRent(exchange.body()));
      } else if (exchange.path().equals("/hosts/return")) {
        CloudServerCodec.decodeReturn(exchange.body()).forEach(this::deleteMachine);
        exchange.respond(200, CloudServerCodec.encodeMachines(List.of()), 0);
      } else {
        handleList(exchange, new QueryStringDecoder(exchange.path()));
      }
    } catch (MalformedMessageException e) {
      exchange.respond(400, ERROR_BODY, 0);
    }
  }

  private void handleScaleOut(HttpServer.Exchange exchange, StoredRecord.ScaleOutIntent request) {
    ImmutableList<String> machineNames = machinesByRequest.get(request.requestName());
    if (machineNames == null) {
      machineNames = createMachines(request);
    }
    if (machineNames.isEmpty()) {
      exchange.respond(503, NO_CAPACITY_BODY, 0);
    } else {
      machinesByRequest.put(request.requestName(), machineNames);
      exchange.respond(200, CloudServerCodec.encodeMachines(machineNames), 0);
    }
  }

  private ImmutableList<String> createMachines(StoredRecord.ScaleOutIntent request) {
    String capacityKey = request.type() + " " + request.zone();
    // Spot machines use the same capacity as on-demand ones and are never reclaimed here.
    int available =
        closedZones.contains(request.zone()) ? 0 : remainingCapacity.getOrDefault(capacityKey, 0);
    ImmutableList.Builder<String> names = ImmutableList.builder();
    int count = Math.min(Math.min(available, request.count()), MAX_MACHINES_PER_REQUEST);
    for (int i = 0; i < count; i++) {
      String address = machineListener.allocateAddress();
      if (address == null) {
        break;
      }
      String name = String.format("n-%06d", ++lastNumber);
      Machine machine = new Machine(name, address, request.type(), request.zone(), request.spot());
      cloudMachines.put(name, new CloudMachine(machine));
      remainingCapacity.merge(capacityKey, -1, Integer::sum);
      names.add(name);
      MachineType type = types.get(request.type());
      long bootMs = (long) (1000 * type.bootS() * (0.6 + 0.9 * random.nextDouble()));
      loop.schedule(() -> boot(name), bootMs, TimeUnit.MILLISECONDS);
    }
    return names.build();
  }

  private void boot(String name) {
    CloudMachine cloudMachine = cloudMachines.get(name);
    if (cloudMachine != null
        && cloudMachine.deletedMs == Long.MAX_VALUE
        && cloudMachine.failedMs == Long.MAX_VALUE) {
      cloudMachine.upMs = SteadyClock.nowMs();
      machineListener.machineUp(cloudMachine.machine, types.get(cloudMachine.machine.type()));
    }
  }

  private void deleteMachine(String name) {
    CloudMachine cloudMachine = cloudMachines.get(name);
    if (cloudMachine == null || cloudMachine.deletedMs != Long.MAX_VALUE) {
      return;
    }
    cloudMachine.deletedMs = SteadyClock.nowMs();
    remainingCapacity.merge(
        cloudMachine.machine.type() + " " + cloudMachine.machine.zone(), 1, Integer::sum);
    machineListener.machineRemoved(cloudMachine.machine);
  }

  /** Stops all machines of a zone and refuses new ones until it is opened again. */
  void closeZone(String zone) {
    closedZones.add(zone);
    Collection<CloudMachine> all = List.copyOf(cloudMachines.values());
    for (CloudMachine cloudMachine : all) {
      if (cloudMachine.machine.zone().equals(zone) && cloudMachine.deletedMs == Long.MAX_VALUE) {
        cloudMachine.failedMs = Math.min(cloudMachine.failedMs, SteadyClock.nowMs());
        machineListener.machineRemoved(cloudMachine.machine);
      }
    }
  }

  void openZone(String zone) {
    closedZones.remove(zone);
  }

  private void handleList(HttpServer.Exchange exchange, QueryStringDecoder query) {
    List<String> after = query.parameters().get("After");
    int page = Integer.parseInt(query.parameters().get("Page").get(0));
    long atMs = SteadyClock.nowMs() - (long) (1000 * settings.listLagS());
    List<ListedMachine> entries = new ArrayList<>();
    boolean more = false;
    var range = after == null ? cloudMachines : cloudMachines.tailMap(after.get(0), false);
    for (CloudMachine cloudMachine : range.values()) {
      if (atMs < cloudMachine.requestedMs || atMs >= cloudMachine.deletedMs) {
        continue;
      }
      if (entries.size() == page) {
        more = true;
        break;
      }
      entries.add(
          new ListedMachine(
              cloudMachine.machine,
              cloudMachine.state(atMs),
              (atMs - cloudMachine.requestedMs) / 1000.0));
    }
    exchange.respond(200, CloudServerCodec.encodeHosts(entries, more), 0);
  }
}
