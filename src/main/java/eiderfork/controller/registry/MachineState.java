package eiderfork.controller.registry;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Heartbeat;
import eiderfork.model.Machine;
import eiderfork.model.MachineKind;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;

/** The leader's state of one machine: its reservations, its worker and its lifecycle. */
public final class MachineState {
  private final String name;
  private final int number;
  private final MachineIndexes indexes;
  private final MachineLifecycle lifecycle;
  private final CommandChannel commandChannel;
  private final WorkerIncarnation incarnation = new WorkerIncarnation();
  private final ImageCache images = new ImageCache();
  private final MachineFailures failures = new MachineFailures();
  private final Set<Reservation> reservations = new LinkedHashSet<>();
  private final Set<Reservation> reservationsView = Collections.unmodifiableSet(reservations);

  private CapacityIndex.Position indexPosition;
  private Machine spec;
  private Resources capacity;

  /** Maintained incrementally, since every scheduling round and plan reads it for every machine. */
  private Resources reservedCapacity = Resources.NONE;

  private Resources freeCapacity;
  private boolean skippedBySearch;
  private boolean reconciled;
  private long leaseProxySeenMs;

  /** Creates the state of a machine of which only the name is known. */
  public MachineState(String name, int number, MachineIndexes indexes, long nowMs) {
    this.name = name;
    this.number = number;
    this.indexes = indexes;
    lifecycle = new MachineLifecycle(nowMs);
    commandChannel = new CommandChannel(this, indexes);
  }

  /** The machine's name, which is never reused. */
  public String name() {
    return name;
  }

  /** The machine's number, ascending in the order in which the leader registered its machines. */
  public int number() {
    return number;
  }

  /** The machine's address, type and zone; null while only its name is known. */
  public Machine spec() {
    return spec;
  }

  /** The machine's zone; empty while it is not known. */
  public String zone() {
    return spec == null ? "" : spec.zone();
  }

  /** The worker's address; null while it is not known. */
  public String address() {
    return spec == null ? null : spec.address();
  }

  /** The machine's lifecycle state, from its provisioning to its return. */
  public MachineLifecycle lifecycle() {
    return lifecycle;
  }

  /** The channel for commands to the machine's worker. */
  public CommandChannel commandChannel() {
    return commandChannel;
  }

  /** The worker's newest incarnation and its lease. */
  public WorkerIncarnation incarnation() {
    return incarnation;
  }

  /** The estimated contents of the machine's image cache. */
  public ImageCache images() {
    return images;
  }

  /** The jobs that failed on the machine. */
  public MachineFailures failures() {
    return failures;
  }

  /** The capacity of the machine's type; null while the type is not known. */
  public Resources capacity() {
    return capacity;
  }

  /** The capacity minus all reservations, started or not; null while the capacity is not known. */
  public Resources freeCapacity() {
    return freeCapacity;
  }

  /** The reservations on the machine, oldest first. */
  public Set<Reservation> reservations() {
    return reservationsView;
  }

  /** The newest heartbeat of this term; null before the first. */
  public Heartbeat lastHeartbeat() {
    return incarnation.lastHeartbeat();
  }

  /** The tasks of the newest heartbeat. */
  public ImmutableList<TaskStatus> reportedTasks() {
    return lastHeartbeat() == null ? ImmutableList.of() : lastHeartbeat().tasks();
  }

  /**
   * Returns whether the newest heartbeat agrees with the reservations in every task, so that an
   * equal task list in the next one needs no reconciliation.
   */
  public boolean isReconciled() {
    return reconciled;
  }

  /** Records whether the newest heartbeat agrees with the reservations. */
  public void recordReconciliation(boolean agrees) {
    reconciled = agrees;
  }

  /**
   * Returns whether a search skipped the machine's free capacity because no task could start here
   * at that time.
   */
  public boolean isSkippedBySearch() {
    return skippedBySearch;
  }

  /**
   * Records that a search skipped the machine's free capacity because no task can start here now.
   */
  public void onSkippedBySearch() {
    skippedBySearch = true;
  }

  /** Records that the machine accepts tasks again and invalidates the searches that skipped it. */
  public void onSchedulableAgain() {
    skippedBySearch = false;
    indexes.capacityIndex().capacityIncreased(this);
  }

  /** The time when a lease proxy's record was last seen to name the machine; 0 for never. */
  public long leaseProxySeenMs() {
    return leaseProxySeenMs;
  }

  /** Records that a lease proxy's record names the machine. */
  public void onLeaseProxySeen(long nowMs) {
    leaseProxySeenMs = nowMs;
  }

  /** The machine's position in the index of free capacity; null while it is not indexed. */
  CapacityIndex.Position indexPosition() {
    return indexPosition;
  }

  /** Records that the index of free capacity has added the machine. */
  void onIndexed(CapacityIndex.Position position) {
    indexPosition = position;
  }

  /** Records that the index of free capacity has removed the machine. */
  void onUnindexed() {
    indexPosition = null;
  }

  /**
   * Records the properties of the provisioning request; the address becomes known with a heartbeat
   * or the cloud's list.
   */
  public void onProvisioned(MachineKind kind, MachineType type) {
    spec = new Machine(name, null, kind.type(), kind.zone(), kind.spot());
    updateCapacity(type == null ? null : type.capacity());
  }

  /** Records the machine's properties from a heartbeat or the cloud's list. */
  void onIdentified(Machine machine) {
    spec = machine;
  }

  /** Sets the capacity of the machine's type; null while the type is not known. */
  void updateCapacity(Resources newCapacity) {
    capacity = newCapacity;
    updateFreeCapacity();
    indexes.capacityIndex().capacityIncreased(this);
  }

  /**
   * Records the newest heartbeat.
   *
   * @return whether it is the first one received from its incarnation
   */
  public boolean recordHeartbeat(Heartbeat heartbeat, long nowMs) {
    boolean firstOfTerm = lastHeartbeat() == null;
    boolean firstOfIncarnation = incarnation.recordHeartbeat(heartbeat, nowMs);
    if (firstOfTerm) {
      updateFreeCapacity();
      indexes.capacityIndex().capacityIncreased(this);
    }
    return firstOfIncarnation;
  }

  /** Requests that commands are sent to the worker without waiting for its next heartbeat. */
  public void requestCommand() {
    reconciled = false;
    commandChannel.markCommandDue();
  }

  /** Reserves capacity for a task. */
  void addReservation(Reservation reservation) {
    if (reservations.add(reservation)) {
      reservedCapacity = reservedCapacity.plus(reservation.job().spec().taskResources());
      updateFreeCapacity();
    }
  }

  /** Releases the capacity of a settled reservation. */
  void removeReservation(Reservation reservation) {
    if (reservations.remove(reservation)) {
      // Reset to exactly zero: subtracting decimal amounts would leave a rounding remainder.
      reservedCapacity =
          reservations.isEmpty()
              ? Resources.NONE
              : reservedCapacity.minus(reservation.job().spec().taskResources());
      updateFreeCapacity();
      indexes.capacityIndex().capacityIncreased(this);
    }
  }

  private void updateFreeCapacity() {
    reconciled = false;
    freeCapacity = capacity == null ? null : capacity.minus(reservedCapacity);
    if (lastHeartbeat() != null && capacity != null && spec != null) {
      indexes.capacityIndex().update(this);
    }
  }
}
