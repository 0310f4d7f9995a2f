package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Heartbeat;
import eiderfork.model.Machine;
import eiderfork.model.Resources;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** A machine as the leader holds it. */
final class MachineState {
  final String name;

  /** Ascends with the order in which the leader learned of its machines. */
  final int number;

  private final MachineIndexes indexes;

  /** Where the machine stands in the index of free room; null while it is not in it. */
  CapacityIndex.Position indexPosition;

  /** Null while only the name is known, from a rent or a reservation. */
  Machine spec;

  /** What the type offers; null while the type is not known. Changed by {@link #capacity} alone. */
  Resources capacity;

  /**
   * What is reserved here; changed by {@link #enqueueQuery} and {@link #removeReservation} alone.
   */
  final Set<Reservation> reservations = new LinkedHashSet<>();

  /** What the reservations take; kept, since rounds and plans ask for it at every machine. */
  private Resources reservedCapacity = Resources.NONE;

  /** What no reservation takes; null while the room is not known. */
  private Resources freeCapacity;

  /**
   * The worker's session and its lease; changed by {@link #recordHeartbeat} and {@link
   * MachineRegistry} alone.
   */
  final WorkerIncarnation incarnation = new WorkerIncarnation();

  /** The token that commands go out with now. */
  long fencingToken;

  /** The largest token that a start was sent with in direct commands; 0 for none. */
  long directStartToken;

  /** When a record was last seen by which another node answers its worker; 0 for never. */
  long leaseProxySeenMs;

  /** When anything last proved that the machine exists. */
  long lastAliveMs;

  /** When it was rented or first known, and whether the cloud says that it is booting. */
  long knownSinceMs;

  boolean booting;

  /** When the cloud's list first called it running in this term; 0 for not yet. */
  long firstRunningMs;

  /** It was listed by the cloud at least once in this term. */
  boolean listedByCloud;

  /** Direct commands are under way. */
  private boolean commandInFlight;

  /** Something waits that should not wait for the next report. */
  private boolean commandDue;

  /** A search found room here and passed it over, since no task could be placed here then. */
  boolean skippedBySearch;

  /**
   * The newest report agrees with what is reserved in every task, so that the same tasks in the
   * next one say nothing new.
   */
  boolean reconciled;

  int unansweredCommands;
  long nextCommandMs;

  /** Since when reports fail to show the token that was sent; 0 where they show it. */
  long unresponsiveSinceMs;

  /** A return is decided: nothing starts here any more. */
  boolean scalingIn;

  /** When its return was decided because nothing was heard of it; 0 for other reasons. */
  long scaledInUnreachableMs;

  /** Its replicas are being moved away, and nothing starts here. */
  boolean draining;

  long drainingSinceMs;

  /** Since when all that it holds would fit elsewhere; 0 while it would not. */
  long drainableSinceMs;

  /** Since when the machine holds nothing; 0 while it holds something. */
  long idleSinceMs;

  /** Jobs whose task ended here with an error since the last good end. */
  final Set<String> failedJobs = new HashSet<>();

  /** Those of them that have since ended well on another machine. */
  final Set<String> jobsFailedOnlyHere = new HashSet<>();

  boolean faulty;

  /** Images last used, oldest first, with their size. */
  final Map<String, Double> cachedImagesGb = new LinkedHashMap<>();

  /** When the fetch of an image should be over. */
  final Object2LongOpenHashMap<String> imageReadyMs = new Object2LongOpenHashMap<>();

  MachineState(String name, int number, MachineIndexes indexes, long nowMs) {
    this.name = name;
    this.number = number;
    this.indexes = indexes;
    this.knownSinceMs = nowMs;
    this.lastAliveMs = nowMs;
  }

  String zone() {
    return spec == null ? "" : spec.zone();
  }

  String address() {
    return spec == null ? null : spec.address();
  }

  /** The newest report of this term, null before the first. */
  Heartbeat lastHeartbeat() {
    return incarnation.lastHeartbeat();
  }

  /** Takes what is known from the rent alone; the address comes with the first report or list. */
  void provisionedAs(CloudProvisioner.MachineKind kind, eiderfork.model.MachineType type) {
    spec = new Machine(name, null, kind.type(), kind.zone(), kind.spot());
    capacity(type == null ? null : type.capacity());
  }

  /** Takes what the machine's type offers. */
  void capacity(Resources offered) {
    capacity = offered;
    updateFreeCapacity();
    indexes.capacityIndex().capacityIncreased(this);
  }

  /**
   * Takes the newest report.
   *
   * @return whether it is the first that is seen of its session
   */
  boolean recordHeartbeat(Heartbeat heartbeat, long nowMs) {
    boolean firstOfAll = lastHeartbeat() == null;
    boolean firstOfSession = incarnation.recordHeartbeat(heartbeat, nowMs);
    if (firstOfAll) {
      updateFreeCapacity();
      indexes.capacityIndex().capacityIncreased(this);
    }
    return firstOfSession;
  }

  private void updateFreeCapacity() {
    reconciled = false;
    freeCapacity = capacity == null ? null : capacity.minus(reservedCapacity);
    if (lastHeartbeat() != null && capacity != null && spec != null) {
      indexes.capacityIndex().update(this);
    }
  }

  boolean isCommandDue() {
    return commandDue;
  }

  /** Has the machine commanded soon. */
  void requestCommand() {
    reconciled = false;
    commandDue = true;
    indexes.commandDue(this, true);
  }

  void clearCommandDue() {
    commandDue = false;
    indexes.commandDue(this, false);
  }

  boolean hasCommandInFlight() {
    return commandInFlight;
  }

  void setCommandInFlight(boolean value) {
    commandInFlight = value;
    indexes.commandInFlight(this, value);
  }

  void addReservation(Reservation reservation) {
    if (reservations.add(reservation)) {
      reservedCapacity = reservedCapacity.plus(reservation.job.spec.taskResources());
      updateFreeCapacity();
    }
  }

  void removeReservation(Reservation reservation) {
    if (reservations.remove(reservation)) {
      // Nothing is left of sums of decimal amounts where nothing is left of what was added.
      reservedCapacity =
          reservations.isEmpty()
              ? Resources.NONE
              : reservedCapacity.minus(reservation.job.spec.taskResources());
      updateFreeCapacity();
      indexes.capacityIndex().capacityIncreased(this);
    }
  }

  /** What no reservation takes, whether its task has started or not. */
  Resources freeCapacity() {
    return freeCapacity;
  }

  ImmutableList<eiderfork.model.TaskStatus> reportedTasks() {
    return lastHeartbeat() == null ? ImmutableList.of() : lastHeartbeat().tasks();
  }

  /** Notes that a task with this image was put here; the least recently used ones fall out. */
  void recordImageUse(String image, double sizeGb, double cacheGb) {
    cachedImagesGb.remove(image);
    cachedImagesGb.put(image, sizeGb);
    double sum = cachedImagesGb.values().stream().mapToDouble(Double::doubleValue).sum();
    var oldest = cachedImagesGb.entrySet().iterator();
    while (sum > cacheGb && cachedImagesGb.size() > 1) {
      Map.Entry<String, Double> evicted = oldest.next();
      sum -= evicted.getValue();
      imageReadyMs.removeLong(evicted.getKey());
      oldest.remove();
    }
  }
}
