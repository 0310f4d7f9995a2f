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

  private final MachineIndexes sets;

  /** Where the machine stands in the index of free room; null while it is not in it. */
  CapacityIndex.Place place;

  /** Null while only the name is known, from a rent or a reservation. */
  Machine machine;

  /** What the type offers; null while the type is not known. Changed by {@link #room} alone. */
  Resources room;

  /** What is reserved here; changed by {@link #add} and {@link #remove} alone. */
  final Set<Reservation> placed = new LinkedHashSet<>();

  /** What the reservations take; kept, since rounds and plans ask for it at every machine. */
  private Resources taken = Resources.NONE;

  /** What no reservation takes; null while the room is not known. */
  private Resources free;

  /**
   * The worker's session and its lease; changed by {@link #reported} and {@link MachineRegistry}
   * alone.
   */
  final WorkerIncarnation session = new WorkerIncarnation();

  /** The token that commands go out with now. */
  long token;

  /** The largest token that a start was sent with in direct commands; 0 for none. */
  long directToken;

  /** When a record was last seen by which another node answers its worker; 0 for never. */
  long proxiedMs;

  /** When anything last proved that the machine exists. */
  long aliveMs;

  /** When it was rented or first known, and whether the cloud says that it is booting. */
  long sinceMs;

  boolean booting;

  /** When the cloud's list first called it running in this term; 0 for not yet. */
  long upMs;

  /** It was listed by the cloud at least once in this term. */
  boolean listed;

  /** Direct commands are under way. */
  private boolean commanding;

  /** Something waits that should not wait for the next report. */
  private boolean urgent;

  /** A search found room here and passed it over, since no task could be placed here then. */
  boolean passedOver;

  /**
   * The newest report agrees with what is reserved in every task, so that the same tasks in the
   * next one say nothing new.
   */
  boolean agrees;

  int unanswered;
  long commandNotBeforeMs;

  /** Since when reports fail to show the token that was sent; 0 where they show it. */
  long deafSinceMs;

  /** A return is decided: nothing starts here any more. */
  boolean returning;

  /** When its return was decided because nothing was heard of it; 0 for other reasons. */
  long returnedSilentMs;

  /** Its replicas are being moved away, and nothing starts here. */
  boolean draining;

  long drainingSinceMs;

  /** Since when all that it holds would fit elsewhere; 0 while it would not. */
  long spareSinceMs;

  /** Since when the machine holds nothing; 0 while it holds something. */
  long idleSinceMs;

  /** Jobs whose task ended here with an error since the last good end. */
  final Set<String> errors = new HashSet<>();

  /** Those of them that have since ended well on another machine. */
  final Set<String> confirmedErrors = new HashSet<>();

  boolean faulty;

  /** Images last used, oldest first, with their size. */
  final Map<String, Double> images = new LinkedHashMap<>();

  /** When the fetch of an image should be over. */
  final Object2LongOpenHashMap<String> fetchedAtMs = new Object2LongOpenHashMap<>();

  MachineState(String name, int number, MachineIndexes sets, long nowMs) {
    this.name = name;
    this.number = number;
    this.sets = sets;
    this.sinceMs = nowMs;
    this.aliveMs = nowMs;
  }

  String zone() {
    return machine == null ? "" : machine.zone();
  }

  String addr() {
    return machine == null ? null : machine.addr();
  }

  /** The newest report of this term, null before the first. */
  Heartbeat report() {
    return session.report();
  }

  /** Takes what is known from the rent alone; the address comes with the first report or list. */
  void rentedAs(CloudProvisioner.Kind kind, eiderfork.model.MachineType type) {
    machine = new Machine(name, null, kind.type(), kind.zone(), kind.spot());
    room(type == null ? null : type.room());
  }

  /** Takes what the machine's type offers. */
  void room(Resources offered) {
    room = offered;
    freeChanged();
    sets.roomIndex().grew(this);
  }

  /**
   * Takes the newest report.
   *
   * @return whether it is the first that is seen of its session
   */
  boolean reported(Heartbeat newest, long nowMs) {
    boolean firstOfAll = report() == null;
    boolean firstOfSession = session.take(newest, nowMs);
    if (firstOfAll) {
      freeChanged();
      sets.roomIndex().grew(this);
    }
    return firstOfSession;
  }

  private void freeChanged() {
    agrees = false;
    free = room == null ? null : room.minus(taken);
    if (report() != null && room != null && machine != null) {
      sets.roomIndex().put(this);
    }
  }

  boolean isUrgent() {
    return urgent;
  }

  /** Has the machine commanded soon. */
  void setUrgent() {
    agrees = false;
    urgent = true;
    sets.urgent(this, true);
  }

  void clearUrgent() {
    urgent = false;
    sets.urgent(this, false);
  }

  boolean isCommanding() {
    return commanding;
  }

  void setCommanding(boolean value) {
    commanding = value;
    sets.commanding(this, value);
  }

  void add(Reservation p) {
    if (placed.add(p)) {
      taken = taken.plus(p.job.job.need());
      freeChanged();
    }
  }

  void remove(Reservation p) {
    if (placed.remove(p)) {
      // Nothing is left of sums of decimal amounts where nothing is left of what was added.
      taken = placed.isEmpty() ? Resources.NONE : taken.minus(p.job.job.need());
      freeChanged();
      sets.roomIndex().grew(this);
    }
  }

  /** What no reservation takes, whether its task has started or not. */
  Resources free() {
    return free;
  }

  ImmutableList<eiderfork.model.TaskStatus> tasks() {
    return report() == null ? ImmutableList.of() : report().tasks();
  }

  /** Notes that a task with this image was put here; the least recently used ones fall out. */
  void touchImage(String image, double gb, double cacheGb) {
    images.remove(image);
    images.put(image, gb);
    double sum = images.values().stream().mapToDouble(Double::doubleValue).sum();
    var oldest = images.entrySet().iterator();
    while (sum > cacheGb && images.size() > 1) {
      Map.Entry<String, Double> evicted = oldest.next();
      sum -= evicted.getValue();
      fetchedAtMs.removeLong(evicted.getKey());
      oldest.remove();
    }
  }
}
