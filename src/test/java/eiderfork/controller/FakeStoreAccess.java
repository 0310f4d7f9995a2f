package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.model.StoredRecord;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Connects the nodes of a {@link SimulatedCluster} to its store, and decodes records as the version
 * of each node does.
 */
final class FakeStoreAccess {
  private final SimulatedCluster cluster;

  /** Nodes whose requests the store refuses. */
  final Set<String> refusedNodes = new HashSet<>();

  /** Nodes whose watches never return, apart from watches of the leader key. */
  final Set<String> nodesWithSilentWatches = new HashSet<>();

  FakeStoreAccess(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Executes a node's request after {@link SimulatedCluster#storeDelayMs}. */
  void serve(String node, StoreRequest request, Consumer<Reply> onComplete) {
    if (cluster.storeDelayMs > 0) {
      cluster.schedule(cluster.storeDelayMs, () -> execute(node, request, onComplete));
    } else {
      execute(node, request, onComplete);
    }
  }

  private boolean isSilentWatch(String node, StoreRequest request) {
    return nodesWithSilentWatches.contains(node)
        && request instanceof StoreRequest.Watch watch
        && watch.timeoutMs() > 0
        && !watch.prefix().equals(StoreKeys.LEADER);
  }

  private void execute(String node, StoreRequest request, Consumer<Reply> onComplete) {
    if (isSilentWatch(node, request)) {
      return;
    }
    if (!refusedNodes.contains(node)) {
      cluster.store.execute(
          request,
          cluster.nowMs,
          reply -> runWhenNotRefused(node, () -> onComplete.accept(decode(node, reply))));
    } else if (!(request instanceof StoreRequest.Watch)) {
      onComplete.accept(new Reply.Refused(503));
    }
  }

  /** Returns a reply with its records as the version of this node reads them. */
  private Reply decode(String node, Reply reply) {
    if (reply instanceof Reply.Value value) {
      return new Reply.Value(decode(node, value.record()), value.version());
    } else if (reply instanceof Reply.Page page) {
      return new Reply.Page(decode(node, page.items()), page.hasMore(), page.revision());
    } else if (reply instanceof Reply.Changes changes) {
      return new Reply.Changes(decode(node, changes.items()), changes.revision());
    }
    return reply;
  }

  private ImmutableList<Reply.Item> decode(String node, ImmutableList<Reply.Item> items) {
    return items.stream()
        .map(item -> new Reply.Item(item.key(), decode(node, item.record()), item.version()))
        .collect(ImmutableList.toImmutableList());
  }

  private StoredRecord decode(String node, StoredRecord record) {
    int version = cluster.version(node);
    if (record instanceof StoredRecord.BitmapAllocation bitmap) {
      return decodeAllocation(ClusterVersion.BITMAP_ALLOCS, version, bitmap.alloc());
    } else if (record instanceof StoredRecord.PackedAllocation packed) {
      return decodeAllocation(ClusterVersion.PACKED_ALLOCS, version, packed.alloc());
    }
    return record;
  }

  private static StoredRecord decodeAllocation(
      int firstVersion, int version, StoredRecord.Allocation allocation) {
    return version < firstVersion ? new StoredRecord.Unreadable("a newer form") : allocation;
  }

  private void runWhenNotRefused(String node, Runnable action) {
    if (refusedNodes.contains(node)) {
      cluster.schedule(SimulatedCluster.TICK_MS, () -> runWhenNotRefused(node, action));
    } else {
      action.run();
    }
  }
}
