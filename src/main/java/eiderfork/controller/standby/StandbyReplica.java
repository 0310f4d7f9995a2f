package eiderfork.controller.standby;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A replica of the committed state: the keys that a new leader reads. They are read once and then
 * followed with watches, and each change is applied in order and with its revision.
 *
 * <p>The replica is proved complete before it is used. A new leader whose leader key was written at
 * revision L brings each range to L or later through an unbroken sequence of replies since the
 * initial read. Writes of an earlier leader are conditional on its own leader key, so none can be
 * committed after L. Submissions and cancellations, which peers may write at any time, are followed
 * as any leader follows them. If anything is missing from the sequence, the replica is dropped and
 * the new leader reads everything from the store instead.
 */
public final class StandbyReplica {
  private static final Logger LOG = LoggerFactory.getLogger(StandbyReplica.class);

  /** The replicated prefixes, in the order in which a new leader restores them. */
  private static final ImmutableList<String> PREFIXES =
      ImmutableList.of(
          StoreKeys.CANCELLATION_PREFIX,
          StoreKeys.CLUSTER_VERSION,
          StoreKeys.MACHINE_TYPES,
          StoreKeys.JOB_PREFIX,
          StoreKeys.ALLOCATION_PREFIX,
          StoreKeys.SCALE_OUT_INTENT_PREFIX,
          StoreKeys.SCALE_IN_INTENT_PREFIX);

  private static final String FIRST_PAGE = "";

  /** The share of the store's request rate limit that the watches may use. */
  private static final double REQUEST_SHARE = 0.05;

  /** The minimum pause between a reply and the next watch, in steps. The rate may require more. */
  private static final double MIN_PAUSE_STEPS = 0.25;

  /** The time for which a watch waits for a change, in steps. */
  private static final int WATCH_TIMEOUT_STEPS = 2;

  /** The share of the process's memory that the replica may use. */
  private static final double MEMORY_SHARE = 0.25;

  /** The delay before an invalid replica is read again, in worker leases. */
  private static final int RETRY_DELAY_LEASES = 1;

  private static final double BYTES_PER_MB = 1024 * 1024;

  private enum Phase {
    NONE,
    READING,
    FOLLOWING,
    /** This node leads and requests the missing changes. */
    CATCHING_UP
  }

  /** One attempt to bring the replica up to a new leader's revision. */
  private static final class CatchUp {
    private final long generation;
    private final long minRevision;
    private final Consumer<Boolean> onComplete;
    private int pendingRanges;

    CatchUp(long generation, long minRevision, int ranges, Consumer<Boolean> onComplete) {
      this.generation = generation;
      this.minRevision = minRevision;
      this.pendingRanges = ranges;
      this.onComplete = onComplete;
    }

    void recordRangeCaughtUp() {
      pendingRanges--;
      if (pendingRanges == 0) {
        onComplete.accept(true);
      }
    }
  }

  private final ControllerContext context;
  private final StoreClient store;
  private final DelayedActions delayedActions;
  private final Map<String, ReplicatedRange> ranges = new LinkedHashMap<>();
  private Phase phase = Phase.NONE;

  /**
   * Incremented at each start, drop and catch-up, so that replies to earlier requests are ignored.
   */
  private long generation;

  private long nextReadMs;
  private String dropReason = "never read";

  /** Creates an empty replica. */
  public StandbyReplica(ControllerContext context, StoreClient store) {
    this.context = context;
    this.store = store;
    delayedActions = new DelayedActions(context);
  }

  /** Returns whether the initial read is complete and the replica is kept current by watches. */
  public boolean isFollowing() {
    return phase == Phase.FOLLOWING;
  }

  /** Starts the initial read if the replica is empty and the delay after a failure is over. */
  public void startIfDue() {
    if (phase == Phase.NONE && context.nowMs() >= nextReadMs) {
      LOG.info("replica-read-started");
      generation++;
      phase = Phase.READING;
      PREFIXES.forEach(prefix -> ranges.put(prefix, new ReplicatedRange(prefix)));
      readPage(0, FIRST_PAGE, generation);
    }
  }

  /** Drops the contents of the replica and logs the reason. */
  public void clear(String reason) {
    if (phase != Phase.NONE) {
      LOG.info("replica-dropped reason={}", reason);
    }
    dropReason = reason;
    generation++;
    phase = Phase.NONE;
    ranges.clear();
    delayedActions.clear();
  }

  /** Drops a replica that can't be proved complete, and delays the next read. */
  private void invalidate(ReplicaInvalidException cause) {
    clear(cause.getMessage());
    nextReadMs = context.nowMs() + RETRY_DELAY_LEASES * context.workerLeaseMs();
  }

  /** Sends the requests whose pause has ended. */
  public void tick() {
    delayedActions.tick();
  }

  private void runAfterPause(long startedGeneration, Runnable action) {
    delayedActions.schedule(
        pauseMs(),
        () -> {
          if (startedGeneration == generation) {
            action.run();
          }
        });
  }

  private long pauseMs() {
    double requestsPerS = context.settings.storeLimits().requestsPerS() * REQUEST_SHARE;
    double minPauseS = PREFIXES.size() / requestsPerS;
    return (long) Math.max(context.stepMs() * MIN_PAUSE_STEPS, 1000 * minPauseS);
  }

  // Initial read.

  private void readPage(int rangeIndex, String afterKey, long startedGeneration) {
    ReplicatedRange range = ranges.get(PREFIXES.get(rangeIndex));
    long requestedMs = context.nowMs();
    store.send(
        new StoreRequest.Scan(range.prefix(), afterKey),
        RequestPriority.CLEANUP,
        reply -> {
          if (startedGeneration != generation) {
            return;
          }
          if (!(reply instanceof Reply.Page page)) {
            runAfterPause(
                startedGeneration, () -> readPage(rangeIndex, afterKey, startedGeneration));
          } else if (addPage(range, page, requestedMs)) {
            readNextPage(rangeIndex, page, startedGeneration);
          }
        });
  }

  private boolean addPage(ReplicatedRange range, Reply.Page page, long requestedMs) {
    try {
      range.addPage(page, requestedMs);
      checkMemory();
      return true;
    } catch (ReplicaInvalidException e) {
      invalidate(e);
      return false;
    }
  }

  private void readNextPage(int rangeIndex, Reply.Page page, long startedGeneration) {
    if (page.hasMore()) {
      String lastKey = page.items().get(page.items().size() - 1).key();
      readPage(rangeIndex, lastKey, startedGeneration);
    } else if (rangeIndex + 1 < PREFIXES.size()) {
      readPage(rangeIndex + 1, FIRST_PAGE, startedGeneration);
    } else {
      phase = Phase.FOLLOWING;
      ranges.values().forEach(range -> follow(range, startedGeneration));
    }
  }

  // Watches.

  private void follow(ReplicatedRange range, long startedGeneration) {
    long requestedMs = context.nowMs();
    long afterRevision = range.revision();
    store.send(
        new StoreRequest.Watch(
            range.prefix(), afterRevision, WATCH_TIMEOUT_STEPS * context.stepMs()),
        RequestPriority.CLEANUP,
        reply -> {
          if (startedGeneration == generation
              && applyWatchReply(range, reply, afterRevision, requestedMs)) {
            runAfterPause(startedGeneration, () -> follow(range, startedGeneration));
          }
        });
  }

  /**
   * Applies the reply to a watch. If the store did not deliver changes because it is unavailable,
   * the replica stays valid and the watch can be repeated.
   *
   * @return whether the replica is still valid
   */
  private boolean applyWatchReply(
      ReplicatedRange range, Reply reply, long afterRevision, long requestedMs) {
    try {
      if (reply instanceof Reply.Changes changes) {
        checkVersionUnchanged(range, changes);
        range.applyChanges(changes, afterRevision, requestedMs);
        checkMemory();
      } else if (StoreClient.requiresFullRead(reply)) {
        throw new ReplicaInvalidException(
            "changes of " + range.prefix() + " are compacted or too large for one reply");
      }
      return true;
    } catch (ReplicaInvalidException e) {
      invalidate(e);
      return false;
    }
  }

  /**
   * Checks that the cluster version is unchanged. Records that were read before a change may have
   * the format of the new version.
   */
  private static void checkVersionUnchanged(ReplicatedRange range, Reply.Changes changes)
      throws ReplicaInvalidException {
    if (range.prefix().equals(StoreKeys.CLUSTER_VERSION) && !changes.items().isEmpty()) {
      throw new ReplicaInvalidException("the cluster version has changed");
    }
  }

  private void checkMemory() throws ReplicaInvalidException {
    double maxMb = context.settings.controllerResources().memoryMb() * MEMORY_SHARE;
    if (memoryMb() > maxMb) {
      throw new ReplicaInvalidException("replica uses more than " + Math.round(maxMb) + " MB");
    }
  }

  // Takeover.

  /**
   * Brings the replica to {@code minRevision} or later. Called only on a new leader, with the
   * revision at which its leader key was written.
   *
   * @param onComplete takes whether the replica contains everything committed up to that revision
   */
  public void catchUp(long minRevision, Consumer<Boolean> onComplete) {
    generation++;
    delayedActions.clear();
    phase = Phase.CATCHING_UP;
    CatchUp attempt = new CatchUp(generation, minRevision, ranges.size(), onComplete);
    for (ReplicatedRange range : ranges.values()) {
      catchUp(range, attempt);
    }
  }

  private void catchUp(ReplicatedRange range, CatchUp attempt) {
    long requestedMs = context.nowMs();
    long afterRevision = range.revision();
    store.send(
        new StoreRequest.Watch(range.prefix(), afterRevision, 0),
        RequestPriority.START,
        reply -> {
          if (attempt.generation != generation) {
            return;
          }
          if (!applyWatchReply(range, reply, afterRevision, requestedMs)) {
            attempt.onComplete.accept(false);
          } else if (!(reply instanceof Reply.Changes) || range.revision() < attempt.minRevision) {
            runAfterPause(attempt.generation, () -> catchUp(range, attempt));
          } else {
            attempt.recordRangeCaughtUp();
          }
        });
  }

  /** Returns the items under one of the prefixes, in the order of their keys. */
  public Collection<Reply.Item> items(String prefix) {
    return ranges.get(prefix).items();
  }

  /** Returns the items under one of the prefixes whose keys follow {@code key}. */
  public Collection<Reply.Item> itemsAfter(String prefix, String key) {
    return ranges.get(prefix).itemsAfter(key);
  }

  /** Returns the item of a key under one of the prefixes, or null. */
  public Reply.Item item(String prefix, String key) {
    return ranges.get(prefix).item(key);
  }

  /** Returns a time up to which all changes under a prefix have been applied. */
  public long caughtUpMs(String prefix) {
    return ranges.get(prefix).caughtUpMs();
  }

  /** Returns the revision up to which every change of every range has been applied. */
  public long revision() {
    return ranges.values().stream().mapToLong(ReplicatedRange::revision).min().orElse(0);
  }

  /** Returns the estimated memory use of the replica, rather too high than too low. */
  public double memoryMb() {
    return ranges.values().stream().mapToLong(ReplicatedRange::bytes).sum() / BYTES_PER_MB;
  }

  /** Returns the state of the replica as keys and values for a log line. */
  public String describe() {
    if (phase == Phase.NONE) {
      return "replica=none reason=" + dropReason;
    }
    if (phase != Phase.FOLLOWING) {
      return "replica=reading";
    }
    int keys = ranges.values().stream().mapToInt(ReplicatedRange::size).sum();
    long oldestCaughtUpMs =
        ranges.values().stream().mapToLong(ReplicatedRange::caughtUpMs).min().orElse(0);
    return String.format(
        Locale.ROOT,
        "replica=following keys=%d revision=%d behindS=%.1f memoryMb=%.1f",
        keys,
        revision(),
        (context.nowMs() - oldestCaughtUpMs) / 1000.0,
        memoryMb());
  }
}
