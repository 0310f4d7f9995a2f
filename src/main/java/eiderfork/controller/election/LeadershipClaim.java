package eiderfork.controller.election;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.function.Consumer;

/**
 * One attempt to become the leader while the leader key is missing. It reads the last term,
 * requests a lease, and writes the leader key, attached to that lease, together with the next term
 * in one compare-and-swap transaction.
 */
final class LeadershipClaim {
  /**
   * The result of a successful attempt.
   *
   * @param leaseRequestedMs the time of the lease request, from which the lease is counted
   * @param leaderKeyVersion the revision at which the leader key was written
   */
  record Leadership(long term, long leaseId, long leaseRequestedMs, long leaderKeyVersion) {}

  private final ControllerContext context;
  private final StoreClient store;
  private final long leaseMs;
  private final Consumer<Leadership> onWon;
  private final Runnable onFailed;

  /**
   * Creates an attempt, which begins when {@link #start} is called.
   *
   * @param leaseMs the duration of the lease to request
   */
  LeadershipClaim(
      ControllerContext context,
      StoreClient store,
      long leaseMs,
      Consumer<Leadership> onWon,
      Runnable onFailed) {
    this.context = context;
    this.store = store;
    this.leaseMs = leaseMs;
    this.onWon = onWon;
    this.onFailed = onFailed;
  }

  /** Starts the attempt by reading the last term. */
  void start() {
    store.send(
        new StoreRequest.Get(StoreKeys.TERM),
        RequestPriority.LEASE,
        reply -> {
          if (reply instanceof Reply.Value value) {
            boolean isStored = value.record() instanceof StoredRecord.TermCounter;
            long lastTerm = isStored ? ((StoredRecord.TermCounter) value.record()).term() : 0;
            requestLease(lastTerm + 1, value.version());
          } else {
            onFailed.run();
          }
        });
  }

  private void requestLease(long newTerm, long termKeyVersion) {
    long requestedMs = context.nowMs();
    store.send(
        new StoreRequest.GrantLease(leaseMs),
        RequestPriority.LEASE,
        reply -> {
          if (reply instanceof Reply.Leased leased) {
            writeLeaderKey(newTerm, termKeyVersion, leased.leaseId(), requestedMs);
          } else {
            onFailed.run();
          }
        });
  }

  private void writeLeaderKey(long newTerm, long termKeyVersion, long leaseId, long requestedMs) {
    store.send(
        transaction(newTerm, termKeyVersion, leaseId),
        RequestPriority.LEASE,
        reply -> {
          if (reply instanceof Reply.Committed committed) {
            onWon.accept(new Leadership(newTerm, leaseId, requestedMs, committed.revision()));
          } else {
            // Without a reply, the transaction may still be applied. The leader key then lasts only
            // until the lease expires, as nobody renews it.
            store.send(new StoreRequest.RevokeLease(leaseId), RequestPriority.LEASE, ignored -> {});
            onFailed.run();
          }
        });
  }

  private StoreRequest.Transaction transaction(long newTerm, long termKeyVersion, long leaseId) {
    StoredRecord leader = new StoredRecord.Leadership(context.settings.nodeName(), newTerm);
    return new StoreRequest.Transaction(
        ImmutableList.of(
            new StoreRequest.Condition(StoreKeys.LEADER, 0),
            new StoreRequest.Condition(StoreKeys.TERM, termKeyVersion)),
        ImmutableList.of(
            new StoreRequest.Change(StoreKeys.LEADER, leader, leaseId),
            StoreRequest.Change.put(StoreKeys.TERM, new StoredRecord.TermCounter(newTerm))));
  }
}
