package eiderfork.controller.standby;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A copy of what leaders commit: the keys that a new leader reads, read once and then followed with
 * watches, each change taken in order and with its revision.
 *
 * <p>It is proved before it is used. A new leader whose leader key was written as revision L brings
 * each range to L or later by one unbroken sequence of answers since the first read. What an older
 * leader writes is conditional on its own leader key, so that nothing of it can follow L; what
 * peers may write at any time, submissions and cancellations, is followed as by any leader. Where
 * anything is missing from the sequence the copy is dropped, and everything is read instead.
 */
public final class StandbyReplica {
  private static final Logger LOG = LoggerFactory.getLogger(StandbyReplica.class);

  /** In the order in which a new leader takes them up. */
  private static final ImmutableList<String> PREFIXES =
      ImmutableList.of(
          StoreKeys.CANCELLATION_PREFIX,
          StoreKeys.CLUSTER_VERSION,
          StoreKeys.MACHINE_TYPES,
          StoreKeys.JOB_PREFIX,
          StoreKeys.ALLOC_PREFIX,
          StoreKeys.RENT_PREFIX,
          StoreKeys.RETURN_PREFIX);

  /** The share of the state service's rate of requests that the watches may take. */
  private static final double REQUEST_SHARE = 0.05;

  /** The pause between a watch's answer and the next watch, in steps, where the rate allows it. */
  private static final double PAUSE_STEPS = 0.25;

  /** How long a watch waits for a change, in steps. */
  private static final int WATCH_STEPS = 2;

  /** The share of the process's memory that the copy may take. */
  private static final double MEMORY_SHARE = 0.25;

  /** How long a dropped copy is not read anew, in leases of workers. */
  private static final int RETRY_LEASES = 1;

  private static final double MB = 1024 * 1024;

  private enum Phase {
    NONE,
    READING,
    FOLLOWING,
    /** This node leads and asks for what is missing. */
    CATCHING_UP
  }

  private record ScheduledAction(long atMs, Runnable action) {}

  private final ControllerContext context;
  private final StoreClient store;
  private final Map<String, ReplicatedRange> ranges = new LinkedHashMap<>();
  private final List<ScheduledAction> scheduleAfterPause = new ArrayList<>();
  private Phase phase = Phase.NONE;
  private long generation;
  private long nextReadMs;
  private String dropReason = "never read";

  /** Makes a copy that holds nothing. */
  public StandbyReplica(ControllerContext context, StoreClient store) {
    this.context = context;
    this.store = store;
  }

  /** Whether the copy is followed, so that a new leader may bring it up to its own revision. */
  public boolean isFollowing() {
    return phase == Phase.FOLLOWING;
  }

  /** Begins to read where nothing is held and the rest after a failure is over. */
  public void startIfDue() {
    if (phase == Phase.NONE && context.nowMs >= nextReadMs) {
      LOG.info("a copy of what is committed is read");
      generation++;
      phase = Phase.READING;
      PREFIXES.forEach(prefix -> ranges.put(prefix, new ReplicatedRange(prefix)));
      read(0, "", generation);
    }
  }

  /** Lets go of everything, for want of a use for it. */
  public void clear(String reason) {
    if (phase != Phase.NONE) {
      LOG.info("the copy is dropped: {}", reason);
    }
    dropReason = reason;
    generation++;
    phase = Phase.NONE;
    ranges.clear();
    scheduleAfterPause.clear();
  }

  /** The copy can't be proved right; it is read anew after a while. */
  private void invalidate(String reason) {
    clear(reason);
    nextReadMs = context.nowMs + RETRY_LEASES * context.workerLeaseMs();
  }

  /** Does what its time has come for. */
  public void tick() {
    if (scheduleAfterPause.isEmpty()) {
      return;
    }
    List<ScheduledAction> due = new ArrayList<>();
    scheduleAfterPause.removeIf(it -> it.atMs <= context.nowMs && due.add(it));
    due.forEach(it -> it.action.run());
  }

  private void scheduleAfterPause(long expectedGeneration, Runnable action) {
    scheduleAfterPause.add(
        new ScheduledAction(
            context.nowMs + pauseMs(),
            () -> {
              if (expectedGeneration == generation) {
                action.run();
              }
            }));
  }

  private long pauseMs() {
    double rps = context.settings.storeLimits().requestsPerS() * REQUEST_SHARE;
    double leastS = PREFIXES.size() / rps;
    return (long) Math.max(context.stepMs() * PAUSE_STEPS, 1000 * leastS);
  }

  // Reading.

  private void read(int rangeIndex, String afterKey, long expectedGeneration) {
    ReplicatedRange range = ranges.get(PREFIXES.get(rangeIndex));
    long requestedMs = context.nowMs;
    store.send(
        new StoreRequest.Scan(range.prefix(), afterKey),
        RequestPriority.CLEANUP,
        reply -> {
          if (expectedGeneration != generation) {
            return;
          }
          if (!(reply instanceof Reply.Page page)) {
            scheduleAfterPause(
                expectedGeneration, () -> read(rangeIndex, afterKey, expectedGeneration));
            return;
          }
          try {
            range.take(page, requestedMs);
            checkMemory();
          } catch (ReplicaInvalidException e) {
            invalidate(e.getMessage());
            return;
          }
          if (page.hasMore()) {
            String last = page.items().get(page.items().size() - 1).key();
            read(rangeIndex, last, expectedGeneration);
          } else if (rangeIndex + 1 < PREFIXES.size()) {
            read(rangeIndex + 1, "", expectedGeneration);
          } else {
            phase = Phase.FOLLOWING;
            ranges.values().forEach(each -> follow(each, expectedGeneration));
          }
        });
  }

  // Following.

  private void follow(ReplicatedRange range, long expectedGeneration) {
    long requestedMs = context.nowMs;
    long afterRevision = range.revision();
    store.send(
        new StoreRequest.Watch(range.prefix(), afterRevision, WATCH_STEPS * context.stepMs()),
        RequestPriority.CLEANUP,
        reply -> {
          if (expectedGeneration != generation) {
            return;
          }
          try {
            if (reply instanceof Reply.Changes changes) {
              takeChanges(range, changes, afterRevision, requestedMs);
            } else {
              checkChangesAvailable(range, reply);
            }
          } catch (ReplicaInvalidException e) {
            invalidate(e.getMessage());
            return;
          }
          scheduleAfterPause(expectedGeneration, () -> follow(range, expectedGeneration));
        });
  }

  private void takeChanges(
      ReplicatedRange range, Reply.Changes changes, long afterRevision, long requestedMs)
      throws ReplicaInvalidException {
    if (range.prefix().equals(StoreKeys.CLUSTER_VERSION) && !changes.items().isEmpty()) {
      // Records of a form that came with it may be in what was read before.
      throw new ReplicaInvalidException("the cluster's version has moved");
    }
    range.take(changes, afterRevision, requestedMs);
    checkMemory();
  }

  private static void checkChangesAvailable(ReplicatedRange range, Reply reply)
      throws ReplicaInvalidException {
    if (StoreClient.requiresFullRead(reply)) {
      throw new ReplicaInvalidException(
          "changes of " + range.prefix() + " are not to be had any more");
    }
  }

  private void checkMemory() throws ReplicaInvalidException {
    double mostMb = context.settings.controllerResources().memoryMb() * MEMORY_SHARE;
    if (memoryMb() > mostMb) {
      throw new ReplicaInvalidException("it takes more than " + Math.round(mostMb) + " MB");
    }
  }

  // Using.

  /**
   * Brings the copy to this revision or a later one; only a leader does whose key was written as
   * that revision.
   *
   * @param onComplete takes whether the copy holds all that was committed up to there
   */
  public void catchUp(long minRevision, Consumer<Boolean> onComplete) {
    generation++;
    scheduleAfterPause.clear();
    phase = Phase.CATCHING_UP;
    int[] open = {ranges.size()};
    for (ReplicatedRange range : ranges.values()) {
      catchUp(range, minRevision, generation, open, onComplete);
    }
  }

  private void catchUp(
      ReplicatedRange range,
      long minRevision,
      long expectedGeneration,
      int[] open,
      Consumer<Boolean> onComplete) {
    long requestedMs = context.nowMs;
    long afterRevision = range.revision();
    store.send(
        new StoreRequest.Watch(range.prefix(), afterRevision, 0),
        RequestPriority.START,
        reply -> {
          if (expectedGeneration != generation) {
            return;
          }
          try {
            if (reply instanceof Reply.Changes changes) {
              takeChanges(range, changes, afterRevision, requestedMs);
            } else {
              checkChangesAvailable(range, reply);
            }
          } catch (ReplicaInvalidException e) {
            invalidate(e.getMessage());
            onComplete.accept(false);
            return;
          }
          if (!(reply instanceof Reply.Changes) || range.revision() < minRevision) {
            scheduleAfterPause(
                expectedGeneration,
                () -> catchUp(range, minRevision, expectedGeneration, open, onComplete));
          } else if (--open[0] == 0) {
            onComplete.accept(true);
          }
        });
  }

  /** The copied items under one of the prefixes, in the order of their keys. */
  public Collection<Reply.Item> items(String prefix) {
    return ranges.get(prefix).items();
  }

  /** Those of them behind one key. */
  public Collection<Reply.Item> itemsAfter(String prefix, String key) {
    return ranges.get(prefix).itemsAfter(key);
  }

  /** The item of a key under one of the prefixes, or null. */
  public Reply.Item item(String prefix, String key) {
    return ranges.get(prefix).item(key);
  }

  /** A moment of which all changes under a prefix have been taken. */
  public long caughtUpMs(String prefix) {
    return ranges.get(prefix).caughtUpMs();
  }

  /** Every change of every range up to this revision has been taken. */
  public long revision() {
    return ranges.values().stream().mapToLong(ReplicatedRange::revision).min().orElse(0);
  }

  /** What the copy takes of memory, as an estimate on the high side. */
  public double memoryMb() {
    return ranges.values().stream().mapToLong(ReplicatedRange::bytes).sum() / MB;
  }

  /** How the copy stands, for an operator. */
  public String describe() {
    if (phase != Phase.FOLLOWING) {
      return phase == Phase.NONE ? "none, " + dropReason : "being read";
    }
    int keys = ranges.values().stream().mapToInt(ReplicatedRange::size).sum();
    long oldestMs = ranges.values().stream().mapToLong(ReplicatedRange::caughtUpMs).min().orElse(0);
    return String.format(
        java.util.Locale.ROOT,
        "%d keys at revision %d, %.1f s behind, %.1f MB",
        keys,
        revision(),
        (context.nowMs - oldestMs) / 1000.0,
        memoryMb());
  }
}
