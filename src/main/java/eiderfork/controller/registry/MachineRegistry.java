package eiderfork.controller.registry;

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

/** The leader's machines, by name, by number and by the start time of their leases. */
public final class MachineRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

  /**
   * The time for which the name of a removed machine is kept, in worker leases: no message is
   * delayed for longer.
   */
  private static final int REMOVED_RETENTION_LEASES = 60;

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final Map<String, MachineState> machines = new LinkedHashMap<>();
  private final Int2ObjectOpenHashMap<MachineState> byNumber = new Int2ObjectOpenHashMap<>();
  private final MachineIndexes indexes = new MachineIndexes();
  private int lastNumber;

  /** The machines without a heartbeat in this term. */
  private final ReferenceLinkedOpenHashSet<MachineState> unseenInTerm =
      new ReferenceLinkedOpenHashSet<>();

  /** All other machines, ordered by the start time of their leases. */
  private final ReferenceLinkedOpenHashSet<MachineState> byLeaseStart =
      new ReferenceLinkedOpenHashSet<>();

  /**
   * The removal time by machine name, oldest first; late heartbeats and list entries are ignored.
   */
  private final Map<String, Long> removedAtMs = new LinkedHashMap<>();

  private ImmutableMap<String, MachineType> types = ImmutableMap.of();

  /** Creates an empty registry. */
  public MachineRegistry(ControllerContext context, JobRegistry jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  /** Removes all machines. */
  public void clear() {
    machines.clear();
    byNumber.clear();
    indexes.clear();
    unseenInTerm.clear();
    byLeaseStart.clear();
    removedAtMs.clear();
  }

  /** The longest boot time among the machine types that the job's tasks fit on. */
  public double longestBootMs(Job job) {
    double bootS = 0;
    for (MachineType type : types.values()) {
      if (job.allowsType(type.name()) && job.taskResources().fitsIn(type.capacity())) {
        bootS = Math.max(bootS, type.bootS());
      }
    }
    return bootS * 1000;
  }

  /** The indexes of the machines by required action and by free capacity. */
  public MachineIndexes indexes() {
    return indexes;
  }

  /** The machine with the next larger number, or the first one; requires at least one machine. */
  public MachineState nextAfter(int number) {
    for (int i = number + 1; i <= lastNumber; i++) {
      MachineState machine = byNumber.get(i);
      if (machine != null) {
        return machine;
      }
    }
    return machines.values().iterator().next();
  }

  /** The machine with this number; null for none. */
  public MachineState get(int number) {
    return byNumber.get(number);
  }

  /**
   * Records that a heartbeat is answered now, which may renew the lease of the machine's worker.
   */
  public void renewLease(MachineState machine) {
    machine.incarnation().renewLease(context.nowMs());
    moveToEndOfLeaseOrder(machine);
  }

  /**
   * Records a machine's newest heartbeat, which may begin an incarnation with a lease of its own.
   *
   * @return whether it is the first one received from its incarnation
   */
  public boolean recordHeartbeat(MachineState machine, Heartbeat heartbeat) {
    boolean firstOfIncarnation = machine.recordHeartbeat(heartbeat, context.nowMs());
    if (firstOfIncarnation) {
      moveToEndOfLeaseOrder(machine);
    }
    return firstOfIncarnation;
  }

  private void moveToEndOfLeaseOrder(MachineState machine) {
    unseenInTerm.remove(machine);
    byLeaseStart.addAndMoveToLast(machine);
  }

  /** The machines with a lease older than {@code minAgeMs} or none in this term, by number. */
  public List<MachineState> machinesWithLeaseOlderThan(long minAgeMs) {
    List<MachineState> matches = new ArrayList<>(unseenInTerm);
    for (MachineState machine : byLeaseStart) {
      if (context.nowMs() - machine.incarnation().leaseStartMs() <= minAgeMs) {
        break;
      }
      matches.add(machine);
    }
    matches.sort(Comparator.comparingInt(machine -> machine.number()));
    return matches;
  }

  /** All machines in the order in which they were registered. */
  public Collection<MachineState> machines() {
    return machines.values();
  }

  /** The machine with this name; null for none. */
  public MachineState get(String name) {
    return machines.get(name);
  }

  /** Returns whether the machine was removed recently. */
  public boolean isRemoved(String name) {
    return removedAtMs.containsKey(name);
  }

  /** The machine types by name; empty while they are not known. */
  public ImmutableMap<String, MachineType> types() {
    return types;
  }

  /** Replaces the machine types and updates the capacity of each machine. */
  public void updateTypes(ImmutableList<MachineType> machineTypes) {
    ImmutableMap.Builder<String, MachineType> builder = ImmutableMap.builder();
    machineTypes.forEach(type -> builder.put(type.name(), type));
    types = builder.buildKeepingLast();
    machines.values().forEach(this::updateCapacity);
  }

  /** Returns the record in which the machine types are stored. */
  public StoredRecord.MachineTypes typesRecord() {
    return new StoredRecord.MachineTypes(types.values().asList());
  }

  /** The machine's type; null while it is not known. */
  public MachineType typeOf(MachineState machine) {
    return machine.spec() == null ? null : types.get(machine.spec().type());
  }

  /** Returns the machine with this name, and registers it if it is new. */
  public MachineState getOrRegister(String name) {
    return machines.computeIfAbsent(name, this::register);
  }

  private MachineState register(String name) {
    MachineState machine = new MachineState(name, ++lastNumber, indexes, context.nowMs());
    byNumber.put(machine.number(), machine);
    indexes.add(machine);
    unseenInTerm.add(machine);
    return machine;
  }

  /** Returns the machine with these properties, and registers it if it is new. */
  public MachineState getOrRegister(Machine machine) {
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

  /** Removes a machine that is known to no longer exist, and settles its reservations. */
  public void remove(MachineState machine, String reason) {
    LOG.info("machine-removed machine={} reason=\"{}\"", machine.name(), reason);
    settleReservations(machine);
    machines.remove(machine.name());
    byNumber.remove(machine.number());
    indexes.remove(machine);
    unseenInTerm.remove(machine);
    byLeaseStart.remove(machine);
    removedAtMs.put(machine.name(), context.nowMs());
  }

  /** Drops the names of machines that were removed long ago, which bounds their number. */
  private void expireRemovedNames() {
    long retentionMs = REMOVED_RETENTION_LEASES * context.workerLeaseMs();
    removedAtMs.values().removeIf(removedMs -> context.nowMs() - removedMs > retentionMs);
  }

  /** Settles all reservations of a machine on which no task runs or can start any more. */
  public void settleReservations(MachineState machine) {
    for (Reservation reservation : List.copyOf(machine.reservations())) {
      jobs.settle(reservation, false);
      machine.removeReservation(reservation);
    }
  }

  /**
   * Applies a complete list of the cloud's machines.
   *
   * <p>A list may be older than its request by up to twice the list lag. A missing machine is
   * therefore removed only if the last proof that it existed is older than that.
   *
   * @param requestedMs the time when the list was requested
   */
  public void applyMachineList(Map<String, ListedMachine> entries, long requestedMs) {
    expireRemovedNames();
    long oldestListedMs = requestedMs - 2 * context.cloudListLagMs();
    for (ListedMachine entry : entries.values()) {
      if (!isRemoved(entry.machine().name())) {
        applyListed(entry, oldestListedMs);
      }
    }
    for (MachineState machine : List.copyOf(machines.values())) {
      if (!entries.containsKey(machine.name())
          && machine.lifecycle().lastAliveMs() < oldestListedMs) {
        remove(machine, "missing from the cloud's list");
      }
    }
  }

  private void applyListed(ListedMachine entry, long oldestListedMs) {
    MachineState machine = getOrRegister(entry.machine());
    boolean hasHeartbeat = machine.lastHeartbeat() != null;
    machine.lifecycle().onListed(entry, hasHeartbeat, oldestListedMs, context.nowMs());
    if (entry.state() == ListedMachine.State.FAILED) {
      settleReservations(machine);
      machine.failures().markFaulty();
    }
  }
}
