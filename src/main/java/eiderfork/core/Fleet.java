package eiderfork.core;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.core.context.Context;
import eiderfork.model.HostEntry;
import eiderfork.model.Job;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Record;
import eiderfork.model.Report;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The machines of a leader. */
final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

  private final Context context;
  private final JobTable jobs;
  private final Map<String, MachineEntry> machines = new LinkedHashMap<>();
  private final Int2ObjectOpenHashMap<MachineEntry> byNumber = new Int2ObjectOpenHashMap<>();
  private final MachineSets sets = new MachineSets();
  private int lastNumber;

  /** Machines not seen in this term, and the others in the order in which their leases began. */
  private final ReferenceLinkedOpenHashSet<MachineEntry> unseen =
      new ReferenceLinkedOpenHashSet<>();

  private final ReferenceLinkedOpenHashSet<MachineEntry> byLease =
      new ReferenceLinkedOpenHashSet<>();

  /**
   * After this many leases nothing that was sent before a machine went can come any more: messages
   * are late by minutes at most.
   */
  private static final int GONE_LEASES = 60;

  /**
   * Machines that surely are gone, the first one in front, and since when; their late reports and
   * list entries mean nothing.
   */
  private final Map<String, Long> gone = new LinkedHashMap<>();

  private ImmutableMap<String, MachineType> types = ImmutableMap.of();

  Fleet(Context context, JobTable jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  void clear() {
    machines.clear();
    byNumber.clear();
    sets.clear();
    unseen.clear();
    byLease.clear();
    gone.clear();
  }

  /** The longest boot of a machine that the job's tasks fit on. */
  double longestBootMs(Job job) {
    double bootS = 0;
    for (MachineType type : types.values()) {
      if (job.allowsType(type.name()) && job.need().fitsIn(type.room())) {
        bootS = Math.max(bootS, type.bootS());
      }
    }
    return bootS * 1000;
  }

  /** The machines by what has to be done about them. */
  MachineSets sets() {
    return sets;
  }

  /** The machine known next after the one with this number, or the first; there has to be one. */
  MachineEntry after(int number) {
    for (int i = number + 1; i <= lastNumber; i++) {
      MachineEntry m = byNumber.get(i);
      if (m != null) {
        return m;
      }
    }
    return machines.values().iterator().next();
  }

  /** The machine with this number. */
  MachineEntry get(int number) {
    return byNumber.get(number);
  }

  /** A report of the machine is answered now, which may renew its worker's lease. */
  void answered(MachineEntry m) {
    m.session.renewed(context.nowMs);
    movedToLast(m);
  }

  /**
   * Takes a machine's newest report, whose session may be a new one with a lease of its own.
   *
   * @return whether it is the first that is seen of its session
   */
  boolean reported(MachineEntry m, Report newest) {
    boolean firstOfSession = m.reported(newest, context.nowMs);
    if (firstOfSession) {
      movedToLast(m);
    }
    return firstOfSession;
  }

  private void movedToLast(MachineEntry m) {
    unseen.remove(m);
    byLease.addAndMoveToLast(m);
  }

  /** The machines whose lease was not renewed for that long, or that were not seen in this term. */
  List<MachineEntry> notRenewedFor(long ms) {
    List<MachineEntry> found = new ArrayList<>(unseen);
    for (MachineEntry m : byLease) {
      if (context.nowMs - m.session.leaseFromMs() <= ms) {
        break;
      }
      found.add(m);
    }
    found.sort(Comparator.comparingInt(m -> m.number));
    return found;
  }

  Collection<MachineEntry> machines() {
    return machines.values();
  }

  MachineEntry get(String name) {
    return machines.get(name);
  }

  boolean isGone(String name) {
    return gone.containsKey(name);
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
    return machines.computeIfAbsent(name, this::add);
  }

  private MachineEntry add(String name) {
    MachineEntry m = new MachineEntry(name, ++lastNumber, sets, context.nowMs);
    byNumber.put(m.number, m);
    sets.added(m);
    unseen.add(m);
    return m;
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
      m.room(type.room());
    }
  }

  /** The machine and everything on it is gone. */
  void remove(MachineEntry m, String why) {
    LOG.info("machine {} is gone: {}", m.name, why);
    settleAll(m);
    machines.remove(m.name);
    byNumber.remove(m.number);
    sets.removed(m);
    unseen.remove(m);
    byLease.remove(m);
    gone.put(m.name, context.nowMs);
  }

  /** Names would gather for as long as a leader leads. */
  private void forgetLongGone() {
    long keptMs = GONE_LEASES * context.leaseMs();
    gone.values().removeIf(since -> context.nowMs - since > keptMs);
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
    forgetLongGone();
    long describesMs = askedMs - 2 * context.listLagMs();
    for (HostEntry entry : entries.values()) {
      String name = entry.machine().name();
      if (isGone(name)) {
        continue;
      }
      MachineEntry m = known(entry.machine());
      m.listed = true;
      m.aliveMs = Math.max(m.aliveMs, describesMs);
      m.sinceMs = Math.min(m.sinceMs, context.nowMs - (long) (entry.ageS() * 1000));
      m.booting = m.report() == null && entry.state() == HostEntry.State.BOOTING;
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
