package eiderfork.core;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.model.HostEntry;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Record;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The machines of a leader. */
final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

  private final Context context;
  private final JobTable jobs;
  private final Map<String, MachineEntry> machines = new LinkedHashMap<>();

  /** Machines that surely are gone; their late reports and list entries mean nothing. */
  private final Set<String> gone = new HashSet<>();

  private ImmutableMap<String, MachineType> types = ImmutableMap.of();

  Fleet(Context context, JobTable jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  void clear() {
    machines.clear();
    gone.clear();
  }

  Collection<MachineEntry> machines() {
    return machines.values();
  }

  MachineEntry get(String name) {
    return machines.get(name);
  }

  boolean isGone(String name) {
    return gone.contains(name);
  }

  ImmutableMap<String, MachineType> types() {
    return types;
  }

  void types(ImmutableList<MachineType> list) {
    ImmutableMap.Builder<String, MachineType> builder = ImmutableMap.builder();
    list.forEach(type -> builder.put(type.name(), type));
    types = builder.buildKeepingLast();
    machines.values().forEach(this::fillRoom);
  }

  /** The machine types as the state service holds them. */
  Record.Types typesRecord() {
    return new Record.Types(types.values().asList());
  }

  MachineType type(MachineEntry m) {
    return m.machine == null ? null : types.get(m.machine.type());
  }

  /** The entry of a machine, made where there is none. */
  MachineEntry known(String name) {
    return machines.computeIfAbsent(name, n -> new MachineEntry(n, context.nowMs));
  }

  MachineEntry known(Machine machine) {
    MachineEntry m = known(machine.name());
    if (m.machine == null || m.machine.addr() == null) {
      m.machine = machine;
      fillRoom(m);
    }
    return m;
  }

  private void fillRoom(MachineEntry m) {
    MachineType type = type(m);
    if (type != null) {
      m.room = type.room();
    }
  }

  /** The machine and everything on it is gone. */
  void remove(MachineEntry m, String why) {
    LOG.info("machine {} is gone: {}", m.name, why);
    settleAll(m);
    machines.remove(m.name);
    gone.add(m.name);
  }

  /** None of the tasks reserved on this machine is there any more, nor can they start. */
  void settleAll(MachineEntry m) {
    for (Reservation p : List.copyOf(m.placed)) {
      jobs.release(p, false);
      m.remove(p);
    }
  }

  /**
   * Takes a whole machine list, asked for at {@code askedMs}. A list may be as old as twice the
   * lag, so a machine missing from it is gone only if it was alive before that time.
   */
  void listing(Map<String, HostEntry> entries, long askedMs) {
    long describesMs = askedMs - 2 * context.listLagMs();
    for (HostEntry entry : entries.values()) {
      String name = entry.machine().name();
      if (gone.contains(name)) {
        continue;
      }
      MachineEntry m = known(entry.machine());
      m.listed = true;
      m.aliveMs = Math.max(m.aliveMs, describesMs);
      m.sinceMs = Math.min(m.sinceMs, context.nowMs - (long) (entry.ageS() * 1000));
      m.booting = m.report == null && entry.state() == HostEntry.State.BOOTING;
      if (entry.state() == HostEntry.State.RUNNING && m.upMs == 0) {
        m.upMs = context.nowMs;
      }
      if (entry.state() == HostEntry.State.FAILED) {
        if (!m.placed.isEmpty()) {
          settleAll(m);
        }
        m.faulty = true;
      }
    }
    for (MachineEntry m : List.copyOf(machines.values())) {
      if (!entries.containsKey(m.name) && m.aliveMs < describesMs) {
        remove(m, "the cloud lists it no more");
      }
    }
  }
}
