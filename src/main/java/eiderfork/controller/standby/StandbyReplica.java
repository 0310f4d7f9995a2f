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
 * A replica of what leaders commit: the keys that a new leader reads, read once and then followed
 * with watches, each change applied in order and with its revision.
 *
 * <p>It is proved before it is used. A new leader whose leader key was written as revision L brings
 * each range to L or later by one unbroken sequence of replies since the first read. What an older
 * leader writes is conditional on its own leader key, so that nothing of it can follow L; what
 * peers may write at any time, submissions and cancellations, is followed as by any leader. Where
 * anything is missing from the sequence the replica is dropped, and everything is read instead.
 */
public final class StandbyReplica {
  private static final Logger LOG = LoggerFactory.getLogger(StandbyReplica.class);

  /** In the order in which a new leader restores them. */
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

  /** The share of the store's rate of requests that the watches may take. */
  private static final double REQUEST_SHARE = 0.05;

  /** The pause between a watch's reply and the next watch, in steps, where the rate allows it. */
  private static final double PAUSE_STEPS = 0.25;

  /** How long a watch waits for a change, in steps. */
  private static final int WATCH_STEPS = 2;

  /** The share of the process's memory that the replica may take. */
  private static final double MEMORY_SHARE = 0.25;

  /** How long after an invalid replica none is read, in leases of workers. */
  private static final int RETRY_LEASES = 1;

  private static final double BYTES_PER_MB = 1024 * 1024;

  private enum Phase {
    NONE,
    READING,
    FOLLOWING,
    /** This node leads and requests what is missing. */
    CATCHING_UP
  }

  /** One attempt to bring the replica up to a new leader's revision. */
  private static final class CatchUp {
    private final long generation;
    private final long minRevision;
    private final Consumer<Boolean> onComplete;
    private int rangesBehind;

    CatchUp(long generation, long minRevision, int ranges, Consumer<Boolean> onComplete) {
      this.generation = generation;
      this.minRevision = minRevision;
      this.rangesBehind = ranges;
      this.onComplete = onComplete;
    }

    void recordRangeCaughtUp() {
      rangesBehind--;
      if (rangesBehind == 0) {
        onComplete.accept(true);
      }
    }
  }

  private final ControllerContext context;
  private final StoreClient store;
  private final DelayedActions delayedActions;
  private final Map<String, ReplicatedRange> ranges = new LinkedHashMap<>();
  private Phase phase = Phase.NONE;

  /** Counts up with each start, drop and catch-up; replies to earlier requests are ignored. */
  private long generation;

  private long nextReadMs;
  private String dropReason = "never read";

  /** Makes a replica that holds nothing. */
  public StandbyReplica(ControllerContext context, StoreClient store) {
    this.context = context;
    this.store = store;
    delayedActions = new DelayedActions(context);
  }

  /** Whether the replica is followed, so that a new leader may bring it up to its own revision. */
  public boolean isFollowing() {
    return phase == Phase.FOLLOWING;
  }

  /** Begins to read where nothing is held and the pause after a failure is over. */
  public void startIfDue() {
    if (phase == Phase.NONE && context.nowMs() >= nextReadMs) {
      LOG.info("replica-read-started");
      generation++;
      phase = Phase.READING;
      PREFIXES.forEach(prefix -> ranges.put(prefix, new ReplicatedRange(prefix)));
      readPage(0, FIRST_PAGE, generation);
    }
  }

  /** Drops everything that is held. */
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

  /** The replica can't be proved right; it is read again after a while. */
  private void invalidate(ReplicaInvalidException cause) {
    clear(cause.getMessage());
    nextReadMs = context.nowMs() + RETRY_LEASES * context.workerLeaseMs();
  }

  /** Sends the requests whose pause is over. */
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
    double minS = PREFIXES.size() / requestsPerS;
    return (long) Math.max(context.stepMs() * PAUSE_STEPS, 1000 * minS);
  }

  // Reading.

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

  // Following.

  private void follow(ReplicatedRange range, long startedGeneration) {
    long requestedMs = context.nowMs();
    long afterRevision = range.revision();
    store.send(
        new StoreRequest.Watch(range.prefix(), afterRevision, WATCH_STEPS * context.stepMs()),
        RequestPriority.CLEANUP,
        reply -> {
          if (startedGeneration == generation
              && applyWatchReply(range, reply, afterRevision, requestedMs)) {
            runAfterPause(startedGeneration, () -> follow(range, startedGeneration));
          }
        });
  }

  /**
   * Applies the reply to a watch; one that brought nothing, for want of the store, may be followed
   * by another watch.
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
            "changes of " + range.prefix() + " are not kept any more");
      }
      return true;
    } catch (ReplicaInvalidException e) {
      invalidate(e);
      return false;
    }
  }

  /** Records of a form that came with a new version may be in what was read before. */
  private static void checkVersionUnchanged(ReplicatedRange range, Reply.Changes changes)
      throws ReplicaInvalidException {
    if (range.prefix().equals(StoreKeys.CLUSTER_VERSION) && !changes.items().isEmpty()) {
      throw new ReplicaInvalidException("the cluster version has changed");
    }
  }

  private void checkMemory() throws ReplicaInvalidException {
    double maxMb = context.settings.controllerResources().memoryMb() * MEMORY_SHARE;
    if (memoryMb() > maxMb) {
      throw new ReplicaInvalidException("it takes more than " + Math.round(maxMb) + " MB");
    }
  }

  // Using.

  /**
   * Brings the replica to this revision or a later one; only a leader does whose key was written as
   * that revision.
   *
   * @param onComplete takes whether the replica holds all that was committed up to there
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

  /** The items under one of the prefixes, in the order of their keys. */
  public Collection<Reply.Item> items(String prefix) {
    return ranges.get(prefix).items();
  }

  /** The items under one of the prefixes behind this key. */
  public Collection<Reply.Item> itemsAfter(String prefix, String key) {
    return ranges.get(prefix).itemsAfter(key);
  }

  /** The item of a key under one of the prefixes, or null. */
  public Reply.Item item(String prefix, String key) {
    return ranges.get(prefix).item(key);
  }

  /** A moment up to which all changes under a prefix have been applied. */
  public long caughtUpMs(String prefix) {
    return ranges.get(prefix).caughtUpMs();
  }

  /** The revision up to which every change of every range has been applied. */
  public long revision() {
    return ranges.values().stream().mapToLong(ReplicatedRange::revision).min().orElse(0);
  }

  /** What the replica takes of memory, as an estimate on the high side. */
  public double memoryMb() {
    return ranges.values().stream().mapToLong(ReplicatedRange::bytes).sum() / BYTES_PER_MB;
  }

  /** The state of the replica, for a line in the log. */
  public String describe() {
    if (phase == Phase.NONE) {
      return "replica=none reason=" + dropReason;
    }
    if (phase != Phase.FOLLOWING) {
      return "replica=reading";
    }
    int keys = ranges.values().stream().mapToInt(ReplicatedRange::size).sum();
    long oldestMs = ranges.values().stream().mapToLong(ReplicatedRange::caughtUpMs).min().orElse(0);
    return String.format(
        Locale.ROOT,
        "replica=following keys=%d revision=%d behindS=%.1f memoryMb=%.1f",
        keys,
        revision(),
        (context.nowMs() - oldestMs) / 1000.0,
        memoryMb());
  }
}
