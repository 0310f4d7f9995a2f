package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Heartbeat;
import eiderfork.model.Job;
import eiderfork.model.ListedMachine;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.StoredRecord;
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
final class MachineRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final Map<String, MachineState> machines = new LinkedHashMap<>();
  private final Int2ObjectOpenHashMap<MachineState> byNumber = new Int2ObjectOpenHashMap<>();
  private final MachineIndexes sets = new MachineIndexes();
  private int lastNumber;

  /** Machines not seen in this term, and the others in the order in which their leases began. */
  private final ReferenceLinkedOpenHashSet<MachineState> unseen =
      new ReferenceLinkedOpenHashSet<>();

  private final ReferenceLinkedOpenHashSet<MachineState> byLease =
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

  MachineRegistry(ControllerContext context, JobRegistry jobs) {
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
  MachineIndexes sets() {
    return sets;
  }

  /** The machine known next after the one with this number, or the first; there has to be one. */
  MachineState after(int number) {
    for (int i = number + 1; i <= lastNumber; i++) {
      MachineState m = byNumber.get(i);
      if (m != null) {
        return m;
      }
    }
    return machines.values().iterator().next();
  }

  /** The machine with this number. */
  MachineState get(int number) {
    return byNumber.get(number);
  }

  /** A report of the machine is answered now, which may renew its worker's lease. */
  void answered(MachineState m) {
    m.session.renewed(context.nowMs);
    movedToLast(m);
  }

  /**
   * Takes a machine's newest report, whose session may be a new one with a lease of its own.
   *
   * @return whether it is the first that is seen of its session
   */
  boolean reported(MachineState m, Heartbeat newest) {
    boolean firstOfSession = m.reported(newest, context.nowMs);
    if (firstOfSession) {
      movedToLast(m);
    }
    return firstOfSession;
  }

  private void movedToLast(MachineState m) {
    unseen.remove(m);
    byLease.addAndMoveToLast(m);
  }

  /** The machines whose lease was not renewed for that long, or that were not seen in this term. */
  List<MachineState> notRenewedFor(long ms) {
    List<MachineState> found = new ArrayList<>(unseen);
    for (MachineState m : byLease) {
      if (context.nowMs - m.session.leaseFromMs() <= ms) {
        break;
      }
      found.add(m);
    }
    found.sort(Comparator.comparingInt(m -> m.number));
    return found;
  }

  Collection<MachineState> machines() {
    return machines.values();
  }

  MachineState get(String name) {
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
  StoredRecord.Types typesRecord() {
    return new StoredRecord.Types(types.values().asList());
  }

  MachineType type(MachineState m) {
    return m.machine == null ? null : types.get(m.machine.type());
  }

  /** The entry of a machine, made where there is none. */
  MachineState known(String name) {
    return machines.computeIfAbsent(name, this::add);
  }

  private MachineState add(String name) {
    MachineState m = new MachineState(name, ++lastNumber, sets, context.nowMs);
    byNumber.put(m.number, m);
    sets.added(m);
    unseen.add(m);
    return m;
  }

  MachineState known(Machine machine) {
    MachineState m = known(machine.name());
    if (m.machine == null || m.machine.addr() == null) {
      m.machine = machine;
      fillRoom(m);
    }
    return m;
  }

  private void fillRoom(MachineState m) {
    MachineType type = type(m);
    if (type != null) {
      m.room(type.room());
    }
  }

  /** The machine and everything on it is gone. */
  void remove(MachineState m, String why) {
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
  void settleAll(MachineState m) {
    for (Reservation p : List.copyOf(m.placed)) {
      jobs.release(p, false);
      m.remove(p);
    }
  }

  /**
   * Takes a whole machine list, asked for at {@code askedMs}. A list may be as old as twice the
   * lag, so a machine missing from it is gone only if it was alive before that time.
   */
  void listing(Map<String, ListedMachine> entries, long askedMs) {
    forgetLongGone();
    long describesMs = askedMs - 2 * context.listLagMs();
    for (ListedMachine entry : entries.values()) {
      String name = entry.machine().name();
      if (isGone(name)) {
        continue;
      }
      MachineState m = known(entry.machine());
      m.listed = true;
      m.aliveMs = Math.max(m.aliveMs, describesMs);
      m.sinceMs = Math.min(m.sinceMs, context.nowMs - (long) (entry.ageS() * 1000));
      m.booting = m.report() == null && entry.state() == ListedMachine.State.BOOTING;
      if (entry.state() == ListedMachine.State.RUNNING && m.upMs == 0) {
        m.upMs = context.nowMs;
      }
      if (entry.state() == ListedMachine.State.FAILED) {
        if (!m.placed.isEmpty()) {
          settleAll(m);
        }
        m.faulty = true;
      }
    }
    for (MachineState m : List.copyOf(machines.values())) {
      if (!entries.containsKey(m.name) && m.aliveMs < describesMs) {
        remove(m, "the cloud lists it no more");
      }
    }
  }
}
