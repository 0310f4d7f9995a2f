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
 * How the nodes of a {@link SimulatedCluster} reach its store, and what each makes of its records.
 */
final class FakeStoreAccess {
  private final SimulatedCluster cluster;

  /** Nodes that the store refuses, while it serves the others. */
  final Set<String> refusedNodes = new HashSet<>();

  /** Nodes whose watches bring nothing, apart from those of the leader key. */
  final Set<String> nodesWithSilentWatches = new HashSet<>();

  FakeStoreAccess(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Carries out a node's request. */
  void serve(String node, StoreRequest request, Consumer<Reply> onComplete) {
    if (cluster.storeDelayMs > 0) {
      cluster.schedule(cluster.storeDelayMs, () -> served(node, request, onComplete));
    } else {
      served(node, request, onComplete);
    }
  }

  private boolean isBlindTo(String node, StoreRequest request) {
    return nodesWithSilentWatches.contains(node)
        && request instanceof StoreRequest.Watch watch
        && watch.timeoutMs() > 0
        && !watch.prefix().equals(StoreKeys.LEADER);
  }

  private void served(String node, StoreRequest request, Consumer<Reply> onComplete) {
    if (isBlindTo(node, request)) {
      return;
    }
    if (!refusedNodes.contains(node)) {
      cluster.store.execute(
          request,
          cluster.nowMs,
          reply -> whenServed(node, () -> onComplete.accept(asRead(node, reply))));
    } else if (!(request instanceof StoreRequest.Watch)) {
      onComplete.accept(new Reply.Refused(503));
    }
  }

  /** What a node makes of the bytes that the store holds, by its version. */
  private Reply asRead(String node, Reply reply) {
    if (reply instanceof Reply.Value it) {
      return new Reply.Value(asRead(node, it.record()), it.version());
    } else if (reply instanceof Reply.Page it) {
      return new Reply.Page(asRead(node, it.items()), it.hasMore(), it.revision());
    } else if (reply instanceof Reply.Changes it) {
      return new Reply.Changes(asRead(node, it.items()), it.revision());
    }
    return reply;
  }

  private ImmutableList<Reply.Item> asRead(String node, ImmutableList<Reply.Item> items) {
    return items.stream()
        .map(item -> new Reply.Item(item.key(), asRead(node, item.record()), item.version()))
        .collect(ImmutableList.toImmutableList());
  }

  private StoredRecord asRead(String node, StoredRecord record) {
    int version = cluster.version(node);
    if (record instanceof StoredRecord.BitmapAllocation it) {
      return readFrom(ClusterVersion.BITMAP_ALLOCS, version, it.alloc());
    } else if (record instanceof StoredRecord.PackedAllocation it) {
      return readFrom(ClusterVersion.PACKED_ALLOCS, version, it.alloc());
    }
    return record;
  }

  private static StoredRecord readFrom(
      int firstVersion, int version, StoredRecord.Allocation allocation) {
    return version < firstVersion ? new StoredRecord.Unreadable("a newer form") : allocation;
  }

  private void whenServed(String node, Runnable action) {
    if (refusedNodes.contains(node)) {
      cluster.schedule(SimulatedCluster.TICK_MS, () -> whenServed(node, action));
    } else {
      action.run();
    }
  }
}
