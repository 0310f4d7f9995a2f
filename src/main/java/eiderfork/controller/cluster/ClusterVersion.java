package eiderfork.controller.cluster;

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
 * <p>Each member sends its version with its pings. The first leader that knows all of them to run
 * the current version stores it, so that no later leader needs the proof again; from then on no
 * member may be rolled back to an older version.
 */
public final class ClusterVersion {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterVersion.class);

  /** The version of a member that does not send its version. */
  public static final int FIRST = 1;

  /** The first version that reads packed allocations and runs gangs. */
  public static final int PACKED_ALLOCS = 2;

  /** The first version that looks for archived jobs before it treats one as unknown. */
  public static final int ARCHIVED_JOBS = 3;

  /** The first version that reads bitmap allocations. */
  public static final int BITMAP_ALLOCS = 4;

  /** The version of this program. It counts up with each form that the one before can't read. */
  public static final int CURRENT = BITMAP_ALLOCS;

  private final ControllerContext context;
  private final StoreClient store;
  private final LeaderElection election;
  private final Map<String, Integer> peerVersions = new HashMap<>();
  private final int ownVersion;
  private int storedVersion = FIRST;
  private long storedKeyVersion;
  private boolean storePending;
  private long nextStoreMs;

  /**
   * Makes the version of a cluster of which nothing is known.
   *
   * @param ownVersion the version of this node, which tests set to an earlier one
   */
  public ClusterVersion(
      ControllerContext context, StoreClient store, LeaderElection election, int ownVersion) {
    this.ownVersion = ownVersion;
    this.context = context;
    this.store = store;
    this.election = election;
  }

  /** Makes the version of a cluster in which this node runs the current version. */
  public ClusterVersion(ControllerContext context, StoreClient store, LeaderElection election) {
    this(context, store, election, CURRENT);
  }

  /** The version that this node runs. */
  public int ownVersion() {
    return ownVersion;
  }

  /** Whether every member is known to run this version or a later one. */
  public boolean isSupportedByAll(int required) {
    return ownVersion >= required && (storedVersion >= required || allPeersRun(required));
  }

  /**
   * Whether no member may be rolled back to a version before this one. Until then one that was
   * rolled back would deny a job that it does not find where it was.
   */
  public boolean isMinimumVersion(int required) {
    return ownVersion >= required && storedVersion >= required;
  }

  private boolean allPeersRun(int required) {
    return context.settings.peerEndpoints().keySet().stream()
        .allMatch(node -> peerVersions.getOrDefault(node, FIRST) >= required);
  }

  /** A peer replied to a request of this node, so that it runs this version now. */
  void recordReply(String node, int version) {
    peerVersions.put(node, version);
  }

  /** A message that a peer sent on its own may be an old copy, and proves no newer version. */
  void recordUnsolicited(String node, int version) {
    if (version < peerVersions.getOrDefault(node, FIRST)) {
      peerVersions.put(node, version);
    }
  }

  /** The store holds this version. */
  public void recordStored(StoredRecord.StoredVersion record, long keyVersion) {
    storedVersion = Math.max(storedVersion, record.version());
    storedKeyVersion = Math.max(storedKeyVersion, keyVersion);
  }

  /** Reads the stored version, for a node that has no proof of its own. */
  public void loadStored(Runnable onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.CLUSTER_VERSION),
        RequestPriority.SUBMIT,
        reply -> {
          if (reply instanceof Reply.Value value
              && value.record() instanceof StoredRecord.StoredVersion record) {
            recordStored(record, value.version());
          }
          onComplete.run();
        });
  }

  /** Stores the current version once all members run it; only a recovered leader does. */
  public void tick() {
    boolean needed = ownVersion >= CURRENT && storedVersion < CURRENT && allPeersRun(CURRENT);
    if (needed && !storePending && context.nowMs() >= nextStoreMs) {
      storeCurrentVersion();
    }
  }

  private void storeCurrentVersion() {
    storePending = true;
    nextStoreMs = context.nowMs() + context.stepMs();
    StoredRecord.StoredVersion record = new StoredRecord.StoredVersion(CURRENT);
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(
                election.leaderCondition(),
                new StoreRequest.Condition(StoreKeys.CLUSTER_VERSION, storedKeyVersion)),
            ImmutableList.of(StoreRequest.Change.put(StoreKeys.CLUSTER_VERSION, record))),
        RequestPriority.FLEET,
        reply -> {
          storePending = false;
          if (reply instanceof Reply.Committed committed) {
            LOG.info("cluster-version-committed version={}", CURRENT);
            recordStored(record, committed.revision());
          } else if (reply instanceof Reply.Conflict) {
            loadStored(() -> {});
          }
        });
  }
}
