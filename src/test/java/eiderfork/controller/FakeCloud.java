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

/** A cloud that rents out machines, takes them back and lists them with a delay. */
final class FakeCloud {
  /** A rented machine. */
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

  /** The boot time of a rented machine; 0 for a random time of 2 to 8 s. */
  long bootMs;

  /** Boot times of machine kinds, in place of {@link #bootMs}. */
  final Map<MachineKind, Long> bootMsByKind = new HashMap<>();

  /** True if the cloud refuses every request. */
  boolean isDown;

  /** The number of machines available of each kind that {@link #stockByKind} does not name. */
  int defaultStock = 10;

  /** The machine types on offer. */
  ImmutableList<MachineType> types = SMALL_TYPES;

  /** The number of machines available by kind, in place of {@link #defaultStock}. */
  final Map<MachineKind, Integer> stockByKind = new HashMap<>();

  private static final ImmutableList<MachineType> SMALL_TYPES =
      ImmutableList.of(
          new MachineType(
              "g4", new Resources(16, 4, 64), 50, 2, 8, 3, 4, ImmutableList.of("a", "b")),
          new MachineType(
              "c8", new Resources(8, 0, 32), 50, 1, 1, 0.4, 3, ImmutableList.of("a", "b")));

  private final Random random;
  private final long listLagMs;
  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final Map<String, ImmutableList<String>> requests = new HashMap<>();
  private int lastHostNumber;

  /** The number of machines that were returned. */
  int returnedHostCount;

  FakeCloud(Random random, double listLagS) {
    this.random = random;
    listLagMs = (long) (listLagS * 1000);
  }

  /** Returns all machines ever rented, ended ones too. */
  Collection<Host> hosts() {
    return hosts.values();
  }

  /** Returns the machine of this name, or null. */
  Host host(String name) {
    return hosts.get(name);
  }

  /** Rents machines; a repeated request returns the machines of the first one. */
  Reply rent(StoredRecord.ScaleOutIntent intent, long nowMs) {
    ImmutableList<String> earlierNames = requests.get(intent.requestName());
    if (earlierNames != null) {
      return new Reply.Rented(earlierNames);
    }
    ImmutableList.Builder<String> names = ImmutableList.builder();
    long existing =
        hosts.values().stream()
            .filter(
                host ->
                    host.endedMs == Long.MAX_VALUE
                        && host.machine.type().equals(intent.type())
                        && host.machine.zone().equals(intent.zone())
                        && host.machine.spot() == intent.spot())
            .count();
    MachineKind kind = new MachineKind(intent.type(), intent.zone(), intent.spot());
    int count =
        (int) Math.min(intent.count(), stockByKind.getOrDefault(kind, defaultStock) - existing);
    for (int i = 0; i < count; i++) {
      long randomBootMs = 2000 + random.nextLong(6000);
      long defaultBootMs = bootMs > 0 ? bootMs : randomBootMs;
      long bootDelayMs = bootMsByKind.getOrDefault(kind, defaultBootMs);
      addHost(intent.type(), intent.zone(), intent.spot(), bootDelayMs, nowMs);
      names.add(hosts.lastKey());
    }
    if (count <= 0) {
      return new Reply.NoCapacity();
    }
    requests.put(intent.requestName(), names.build());
    return new Reply.Rented(names.build());
  }

  /** Adds a machine that boots in this time, whether it was requested or not. */
  void addHost(String type, String zone, boolean spot, long bootDelayMs, long nowMs) {
    String name = "n-%06d".formatted(++lastHostNumber);
    Machine machine = new Machine(name, name + ":9000", type, zone, spot);
    hosts.put(name, new Host(machine, nowMs, nowMs + bootDelayMs));
  }

  void returnHost(String name, long nowMs) {
    Host host = hosts.get(name);
    if (host != null && host.endedMs == Long.MAX_VALUE) {
      host.endedMs = nowMs;
      returnedHostCount++;
      stopWorker(host);
    }
  }

  private void stopWorker(Host host) {
    if (host.worker != null) {
      host.worker.loseAllTasks();
      host.worker.isDead = true;
    }
  }

  /** Stops a machine with all its tasks. */
  void failHost(String name, long nowMs) {
    Host host = hosts.get(name);
    host.endedMs = nowMs;
    stopWorker(host);
  }

  Reply listHosts(String afterName, long nowMs) {
    // A list may be up to twice the lag old, and older than the one before it.
    long asOfMs = nowMs - listLagMs / 2 - random.nextLong(listLagMs * 3 / 2);
    ImmutableList.Builder<ListedMachine> entries = ImmutableList.builder();
    for (Host host : hosts.tailMap(afterName, false).values()) {
      if (host.rentedMs <= asOfMs && host.endedMs > asOfMs) {
        ListedMachine.State state =
            host.bootedMs <= asOfMs ? ListedMachine.State.RUNNING : ListedMachine.State.BOOTING;
        entries.add(new ListedMachine(host.machine, state, (asOfMs - host.rentedMs) / 1000.0));
      }
    }
    return new Reply.Hosts(entries.build(), false);
  }

  /** Returns the workers of machines that are up. */
  List<FakeWorker> workers() {
    List<FakeWorker> live = new ArrayList<>();
    hosts
        .values()
        .forEach(
            host -> {
              if (host.worker != null && !host.worker.isDead) {
                live.add(host.worker);
              }
            });
    return live;
  }

  /** Returns the number of machines that are rented, booting ones too. */
  long liveHostCount() {
    return hosts.values().stream().filter(host -> host.endedMs == Long.MAX_VALUE).count();
  }
}
