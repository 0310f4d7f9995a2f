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
  private final MachineIndexes indexes = new MachineIndexes();
  private int lastNumber;

  /** Machines not seen in this term, and the others in the order in which their leases began. */
  private final ReferenceLinkedOpenHashSet<MachineState> unseenInTerm =
      new ReferenceLinkedOpenHashSet<>();

  private final ReferenceLinkedOpenHashSet<MachineState> byLeaseStart =
      new ReferenceLinkedOpenHashSet<>();

  /**
   * After this many leases nothing that was sent before a machine went can come any more: messages
   * are late by minutes at most.
   */
  private static final int REMOVED_RETENTION_LEASES = 60;

  /**
   * Machines that surely are gone, the first one in front, and since when; their late reports and
   * list entries mean nothing.
   */
  private final Map<String, Long> removedAtMs = new LinkedHashMap<>();

  private ImmutableMap<String, MachineType> types = ImmutableMap.of();

  MachineRegistry(ControllerContext context, JobRegistry jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  void clear() {
    machines.clear();
    byNumber.clear();
    indexes.clear();
    unseenInTerm.clear();
    byLeaseStart.clear();
    removedAtMs.clear();
  }

  /** The longest boot of a machine that the job's tasks fit on. */
  double longestBootMs(Job job) {
    double bootS = 0;
    for (MachineType type : types.values()) {
      if (job.allowsType(type.name()) && job.taskResources().fitsIn(type.capacity())) {
        bootS = Math.max(bootS, type.bootS());
      }
    }
    return bootS * 1000;
  }

  /** The machines by what has to be done about them. */
  MachineIndexes indexes() {
    return indexes;
  }

  /** The machine known next after the one with this number, or the first; there has to be one. */
  MachineState nextAfter(int number) {
    for (int i = number + 1; i <= lastNumber; i++) {
      MachineState machine = byNumber.get(i);
      if (machine != null) {
        return machine;
      }
    }
    return machines.values().iterator().next();
  }

  /** The machine with this number. */
  MachineState get(int number) {
    return byNumber.get(number);
  }

  /** A report of the machine is answered now, which may renew its worker's lease. */
  void renewLease(MachineState machine) {
    machine.incarnation().renewLease(context.nowMs);
    moveToEndOfLeaseOrder(machine);
  }

  /**
   * Takes a machine's newest report, whose session may be a new one with a lease of its own.
   *
   * @return whether it is the first that is seen of its session
   */
  boolean recordHeartbeat(MachineState machine, Heartbeat heartbeat) {
    boolean firstOfSession = machine.recordHeartbeat(heartbeat, context.nowMs);
    if (firstOfSession) {
      moveToEndOfLeaseOrder(machine);
    }
    return firstOfSession;
  }

  private void moveToEndOfLeaseOrder(MachineState machine) {
    unseenInTerm.remove(machine);
    byLeaseStart.addAndMoveToLast(machine);
  }

  /** The machines whose lease was not renewed for that long, or that were not seen in this term. */
  List<MachineState> withLeaseNotRenewedFor(long minAgeMs) {
    List<MachineState> found = new ArrayList<>(unseenInTerm);
    for (MachineState machine : byLeaseStart) {
      if (context.nowMs - machine.incarnation().leaseStartMs() <= minAgeMs) {
        break;
      }
      found.add(machine);
    }
    found.sort(Comparator.comparingInt(machine -> machine.number()));
    return found;
  }

  Collection<MachineState> machines() {
    return machines.values();
  }

  MachineState get(String name) {
    return machines.get(name);
  }

  boolean isRemoved(String name) {
    return removedAtMs.containsKey(name);
  }

  ImmutableMap<String, MachineType> types() {
    return types;
  }

  void types(ImmutableList<MachineType> machineTypes) {
    ImmutableMap.Builder<String, MachineType> builder = ImmutableMap.builder();
    machineTypes.forEach(type -> builder.put(type.name(), type));
    types = builder.buildKeepingLast();
    machines.values().forEach(this::updateCapacity);
  }

  /** The machine types as the state service holds them. */
  StoredRecord.MachineTypes typesRecord() {
    return new StoredRecord.MachineTypes(types.values().asList());
  }

  MachineType typeOf(MachineState machine) {
    return machine.spec() == null ? null : types.get(machine.spec().type());
  }

  /** The entry of a machine, made where there is none. */
  MachineState getOrRegister(String name) {
    return machines.computeIfAbsent(name, this::register);
  }

  private MachineState register(String name) {
    MachineState machine = new MachineState(name, ++lastNumber, indexes, context.nowMs);
    byNumber.put(machine.number(), machine);
    indexes.add(machine);
    unseenInTerm.add(machine);
    return machine;
  }

  MachineState getOrRegister(Machine machine) {
    MachineState state = getOrRegister(machine.name());
    if (state.spec() == null || state.spec().address() == null) {
      state.onIdentified(machine);
      updateCapacity(state);
    }
    return state;
  }

  private void updateCapacity(MachineState machine) {
    MachineType type = typeOf(machine);
    if (type != null) {
      machine.updateCapacity(type.capacity());
    }
  }

  /** The machine and everything on it is gone. */
  void remove(MachineState machine, String reason) {
    LOG.info("machine-removed machine={} reason=\"{}\"", machine.name(), reason);
    settleReservations(machine);
    machines.remove(machine.name());
    byNumber.remove(machine.number());
    indexes.remove(machine);
    unseenInTerm.remove(machine);
    byLeaseStart.remove(machine);
    removedAtMs.put(machine.name(), context.nowMs);
  }

  /** Names would gather for as long as a leader leads. */
  private void forgetLongRemoved() {
    long keptMs = REMOVED_RETENTION_LEASES * context.workerLeaseMs();
    removedAtMs.values().removeIf(since -> context.nowMs - since > keptMs);
  }

  /** None of the tasks reserved on this machine is there any more, nor can they start. */
  void settleReservations(MachineState machine) {
    for (Reservation reservation : List.copyOf(machine.reservations())) {
      jobs.settle(reservation, false);
      machine.removeReservation(reservation);
    }
  }

  /**
   * Takes a whole machine list, asked for at {@code requestedMs}. A list may be as old as twice the
   * lag, so a machine missing from it is gone only if it was alive before that time.
   */
  void applyMachineList(Map<String, ListedMachine> entries, long requestedMs) {
    forgetLongRemoved();
    long describesMs = requestedMs - 2 * context.cloudListLagMs();
    for (ListedMachine entry : entries.values()) {
      String name = entry.machine().name();
      if (isRemoved(name)) {
        continue;
      }
      MachineState machine = getOrRegister(entry.machine());
      boolean hasHeartbeat = machine.lastHeartbeat() != null;
      machine.lifecycle().onListed(entry, hasHeartbeat, describesMs, context.nowMs);
      if (entry.state() == ListedMachine.State.FAILED) {
        if (!machine.reservations().isEmpty()) {
          settleReservations(machine);
        }
        machine.failures().markFaulty();
      }
    }
    for (MachineState machine : List.copyOf(machines.values())) {
      if (!entries.containsKey(machine.name()) && machine.lifecycle().lastAliveMs() < describesMs) {
        remove(machine, "the cloud lists it no more");
      }
    }
  }
}
