package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The newest version that every member of the cluster is known to run. What an older version can't
 * read is written, and what it can't do is accepted, only from that version on.
 *
 * <p>Each member tells its version with its pings. The first leader that has heard of the current
 * version from all of them stores it, so that no later leader needs the proof again; from then on
 * no member may be taken back to an older version.
 */
final class ClusterVersion {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterVersion.class);

  /** The version of a member that does not tell its version. */
  static final int FIRST = 1;

  /** The first version that reads packed allocs and carries out gangs. */
  static final int PACKED_ALLOCS = 2;

  /** The first version that looks for archived jobs before it takes one for unknown. */
  static final int ARCHIVED_JOBS = 3;

  /** The first version that reads bitmap allocs. */
  static final int BITMAP_ALLOCS = 4;

  /** The version of this program. It counts up with each form that the one before can't read. */
  static final int CURRENT = BITMAP_ALLOCS;

  private final ControllerContext context;
  private final StoreClient gate;
  private final LeaderElection term;
  private final Map<String, Integer> peers = new HashMap<>();
  private final int own;
  private int stored = FIRST;
  private long storedStamp;
  private boolean storing;
  private long nextStoreMs;

  /**
   * @param own the version of this node, which tests set to an earlier one
   */
  ClusterVersion(ControllerContext context, StoreClient gate, LeaderElection term, int own) {
    this.own = own;
    this.context = context;
    this.gate = gate;
    this.term = term;
  }

  ClusterVersion(ControllerContext context, StoreClient gate, LeaderElection term) {
    this(context, gate, term, CURRENT);
  }

  /** The version that this node runs. */
  int own() {
    return own;
  }

  /** Whether every member is known to run this version or a later one. */
  boolean allows(int needed) {
    return own >= needed && (stored >= needed || allPeersRun(needed));
  }

  /**
   * Whether no member may be taken back to a version before this one. Until then one that was taken
   * back would deny a job that it does not find where it was.
   */
  boolean isSettledOn(int needed) {
    return own >= needed && stored >= needed;
  }

  private boolean allPeersRun(int needed) {
    return context.settings.peers().keySet().stream()
        .allMatch(node -> peers.getOrDefault(node, FIRST) >= needed);
  }

  /** A peer answered a question of this node, so that it runs this version now. */
  void answered(String node, int version) {
    peers.put(node, version);
  }

  /** A peer's message says this; it may be an old copy, so that it proves no newer version. */
  void heard(String node, int version) {
    if (version < peers.getOrDefault(node, FIRST)) {
      peers.put(node, version);
    }
  }

  /** The state service holds this version. */
  void read(StoredRecord.StoredVersion record, long stamp) {
    stored = Math.max(stored, record.version());
    storedStamp = Math.max(storedStamp, stamp);
  }

  /**
   * Reads the stored version for a node that has no proof of its own, and goes on with {@code
   * then}.
   */
  void load(Runnable then) {
    gate.send(
        new StoreRequest.Get(StoreKeys.VERSION),
        RequestPriority.SUBMIT,
        reply -> {
          if (reply instanceof Reply.Value value
              && value.record() instanceof StoredRecord.StoredVersion record) {
            read(record, value.version());
          }
          then.run();
        });
  }

  /** Stores the current version once all members run it; only a leader that has rebuilt does. */
  void tick() {
    boolean due = own >= CURRENT && stored < CURRENT && allPeersRun(CURRENT);
    if (due && !storing && context.nowMs >= nextStoreMs) {
      store();
    }
  }

  private void store() {
    storing = true;
    nextStoreMs = context.nowMs + context.stepMs();
    StoredRecord.StoredVersion record = new StoredRecord.StoredVersion(CURRENT);
    gate.send(
        new StoreRequest.Transact(
            ImmutableList.of(
                term.condition(), new StoreRequest.Condition(StoreKeys.VERSION, storedStamp)),
            ImmutableList.of(StoreRequest.Change.put(StoreKeys.VERSION, record))),
        RequestPriority.FLEET,
        reply -> {
          storing = false;
          if (reply instanceof Reply.Committed committed) {
            LOG.info("every member runs version {}", CURRENT);
            read(record, committed.revision());
          } else if (reply instanceof Reply.Conflict) {
            load(() -> {});
          }
        });
  }
}
