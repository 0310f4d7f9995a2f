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
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The newest version that every member of the cluster is known to run. Record formats that an older
 * version can't read are written, and requests that it can't handle are accepted, only once all
 * members run the version that introduced them.
 *
 * <p>Each member sends its version with its pings. The first leader that knows that all members run
 * the current version stores it, so that later leaders need not prove it again. From then on no
 * member may be rolled back to an older version.
 */
public final class ClusterVersion {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterVersion.class);

  /** The version assumed for a member that does not send its version. */
  public static final int FIRST = 1;

  /** The first version that reads packed allocations and runs gangs. */
  public static final int PACKED_ALLOCS = 2;

  /** The first version that looks up archived jobs before it treats a job as unknown. */
  public static final int ARCHIVED_JOBS = 3;

  /** The first version that reads bitmap allocations. */
  public static final int BITMAP_ALLOCS = 4;

  /** The first version whose leaders adopt fencing tokens that lease proxies have raised. */
  public static final int ADOPTED_TOKENS = 5;

  /**
   * The version of this program, incremented for each format that the previous one can't read and
   * for each message that it can't handle.
   */
  public static final int CURRENT = ADOPTED_TOKENS;

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
   * Creates the version of a cluster about whose other members nothing is known yet.
   *
   * @param ownVersion the version of this node; tests set an earlier one
   */
  public ClusterVersion(
      ControllerContext context, StoreClient store, LeaderElection election, int ownVersion) {
    this.ownVersion = ownVersion;
    this.context = context;
    this.store = store;
    this.election = election;
  }

  /** Creates the version of a cluster in which this node runs the current version. */
  public ClusterVersion(ControllerContext context, StoreClient store, LeaderElection election) {
    this(context, store, election, CURRENT);
  }

  /** Returns the version that this node runs. */
  public int ownVersion() {
    return ownVersion;
  }

  /** Returns whether every member is known to run the required version or a later one. */
  public boolean isSupportedByAll(int required) {
    return ownVersion >= required && (storedVersion >= required || allPeersRun(required));
  }

  /**
   * Returns whether the required version is stored as the minimum, so that no member may be rolled
   * back to an earlier one. Otherwise a member that is rolled back could report a job as unknown
   * that has been moved to where the earlier version does not look.
   */
  public boolean isMinimumVersion(int required) {
    return ownVersion >= required && storedVersion >= required;
  }

  private boolean allPeersRun(int required) {
    return context.settings.peerEndpoints().keySet().stream()
        .allMatch(node -> peerVersions.getOrDefault(node, FIRST) >= required);
  }

  /** Records the version in a peer's reply to a request, which proves that the peer runs it now. */
  void recordReply(String node, int version) {
    peerVersions.put(node, version);
  }

  /**
   * Records the version in an unsolicited message of a peer. The message may be delayed, so it can
   * lower the known version but not raise it.
   */
  void recordUnsolicited(String node, int version) {
    if (version < peerVersions.getOrDefault(node, FIRST)) {
      peerVersions.put(node, version);
    }
  }

  /** Records the version that is stored. */
  public void recordStored(StoredRecord.StoredVersion record, long keyVersion) {
    storedVersion = Math.max(storedVersion, record.version());
    storedKeyVersion = Math.max(storedKeyVersion, keyVersion);
  }

  /**
   * Reads the stored version, for a node that has not proved the version itself.
   *
   * @param onComplete receives whether the store has answered the read
   */
  public void loadStored(RequestPriority priority, Consumer<Boolean> onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.CLUSTER_VERSION),
        priority,
        reply -> {
          if (reply instanceof Reply.Value value
              && value.record() instanceof StoredRecord.StoredVersion record) {
            recordStored(record, value.version());
          }
          onComplete.accept(reply instanceof Reply.Value);
        });
  }

  /** Stores the current version once all members run it. Called only on a recovered leader. */
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
            loadStored(RequestPriority.SUBMIT, isRead -> {});
          }
        });
  }
}
