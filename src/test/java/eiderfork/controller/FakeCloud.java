package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Reply;
import eiderfork.model.ListedMachine;
import eiderfork.model.Machine;
import eiderfork.model.MachineKind;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** The scripted cloud: rents machines out, takes them back and lists them late. */
final class FakeCloud {
  /** A machine, from its rent on. */
  static final class Host {
    final Machine machine;
    final long rentedMs;
    final long bootedMs;
    long endedMs = Long.MAX_VALUE;
    FakeWorker worker;

    Host(Machine machine, long rentedMs, long upMs) {
      this.machine = machine;
      this.rentedMs = rentedMs;
      this.bootedMs = upMs;
    }
  }

  /** How long a rented machine boots; 0 for 2 to 8 s. */
  long bootMs;

  /** How long machines of a kind boot where that is not {@link #bootMs}. */
  final Map<MachineKind, Long> bootMsByKind = new HashMap<>();

  /** The cloud refuses every request. */
  boolean isDown;

  /** How much it has of each kind that {@link #stockByKind} does not name. */
  int defaultStock = 10;

  /** What the cloud has, and how much of each kind where that is not {@link #defaultStock}. */
  ImmutableList<MachineType> types = SMALL_TYPES;

  final Map<MachineKind, Integer> stockByKind = new HashMap<>();

  private static final ImmutableList<MachineType> SMALL_TYPES =
      ImmutableList.of(
          new MachineType(
              "g4", new Resources(16, 4, 64), 50, 2, 8, 3, 4, ImmutableList.of("a", "b")),
          new MachineType(
              "c8", new Resources(8, 0, 32), 50, 1, 1, 0.4, 3, ImmutableList.of("a", "b")));

  private final Random random;
  private final long lagMs;
  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final Map<String, ImmutableList<String>> requests = new HashMap<>();
  private int lastHostNumber;

  /** How many machines were given back. */
  int returnedHostCount;

  FakeCloud(Random random, double listLagS) {
    this.random = random;
    lagMs = (long) (listLagS * 1000);
  }

  /** All machines that there ever were. */
  Collection<Host> hosts() {
    return hosts.values();
  }

  /** The machine of this name, or null. */
  Host host(String name) {
    return hosts.get(name);
  }

  Reply rent(StoredRecord.ScaleOutIntent rent, long nowMs) {
    ImmutableList<String> known = requests.get(rent.requestName());
    if (known != null) {
      return new Reply.Rented(known);
    }
    ImmutableList.Builder<String> names = ImmutableList.builder();
    long same =
        hosts.values().stream()
            .filter(
                h ->
                    h.endedMs == Long.MAX_VALUE
                        && h.machine.type().equals(rent.type())
                        && h.machine.zone().equals(rent.zone())
                        && h.machine.spot() == rent.spot())
            .count();
    MachineKind kind = new MachineKind(rent.type(), rent.zone(), rent.spot());
    int count = (int) Math.min(rent.count(), stockByKind.getOrDefault(kind, defaultStock) - same);
    for (int i = 0; i < count; i++) {
      long slowMs = 2000 + random.nextLong(6000);
      long usualMs = bootMs > 0 ? bootMs : slowMs;
      long upAfterMs = bootMsByKind.getOrDefault(kind, usualMs);
      addHost(rent.type(), rent.zone(), rent.spot(), upAfterMs, nowMs);
      names.add(hosts.lastKey());
    }
    if (count <= 0) {
      return new Reply.NoCapacity();
    }
    requests.put(rent.requestName(), names.build());
    return new Reply.Rented(names.build());
  }

  /** A machine that comes up after a while, asked for or not. */
  void addHost(String type, String zone, boolean spot, long upAfterMs, long nowMs) {
    String name = "n-%06d".formatted(++lastHostNumber);
    Machine machine = new Machine(name, name + ":9000", type, zone, spot);
    hosts.put(name, new Host(machine, nowMs, nowMs + upAfterMs));
  }

  void returnHost(String name, long nowMs) {
    Host host = hosts.get(name);
    if (host != null && host.endedMs == Long.MAX_VALUE) {
      host.endedMs = nowMs;
      returnedHostCount++;
      kill(host);
    }
  }

  private void kill(Host host) {
    if (host.worker != null) {
      host.worker.loseAllTasks();
      host.worker.isDead = true;
    }
  }

  /** A machine stops with all that is on it. */
  void fail(String name, long nowMs) {
    Host host = hosts.get(name);
    host.endedMs = nowMs;
    kill(host);
  }

  Reply list(String after, long nowMs) {
    // A list may be as old as twice the lag, and older than the one before it.
    long asOfMs = nowMs - lagMs / 2 - random.nextLong(lagMs * 3 / 2);
    ImmutableList.Builder<ListedMachine> entries = ImmutableList.builder();
    for (Host host : hosts.tailMap(after, false).values()) {
      if (host.rentedMs <= asOfMs && host.endedMs > asOfMs) {
        ListedMachine.State s =
            host.bootedMs <= asOfMs ? ListedMachine.State.RUNNING : ListedMachine.State.BOOTING;
        entries.add(new ListedMachine(host.machine, s, (asOfMs - host.rentedMs) / 1000.0));
      }
    }
    return new Reply.Hosts(entries.build(), false);
  }

  List<FakeWorker> workers() {
    List<FakeWorker> live = new ArrayList<>();
    hosts
        .values()
        .forEach(
            h -> {
              if (h.worker != null && !h.worker.isDead) {
                live.add(h.worker);
              }
            });
    return live;
  }

  long liveHostCount() {
    return hosts.values().stream().filter(h -> h.endedMs == Long.MAX_VALUE).count();
  }
}
