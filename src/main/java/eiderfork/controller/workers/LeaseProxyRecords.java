package eiderfork.controller.workers;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The stored records that name the machines whose leases this node renews, and the store lease
 * under which they stand.
 */
final class LeaseProxyRecords {
  /** The store lease's time to live, in worker leases; one that is renewed now fits within. */
  private static final int TTL_WORKER_LEASES = 3;

  private static final int RENEWALS_PER_TTL = 6;

  /** How much of a stored value the names of a record may fill. */
  private static final double MAX_VALUE_SHARE = 0.8;

  /** Quotes and comma around a name. */
  private static final int BYTES_AROUND_NAME = 3;

  private static final int BYTES_PER_KB = 1024;

  private static final int STATUS_LEASE_NOT_FOUND = 404;
  private static final int STATUS_LEASE_INVALID = 400;
  private static final long NO_LEASE = 0;

  private final ControllerContext context;
  private final StoreClient store;
  private final String keyPrefix;
  private final long ttlMs;

  /** Machines that a committed record names. */
  private final Set<String> recordedMachines = new HashSet<>();

  /** Machines that the next record will name. */
  private final Set<String> pendingMachines = new LinkedHashSet<>();

  /** Counts resets, so that replies to requests from before them are ignored. */
  private long generation;

  private long storeLease = NO_LEASE;
  private long leaseValidUntilMs;
  private long nextRenewMs;
  private boolean leaseRequestInFlight;
  private boolean writeInFlight;
  private long nextWriteMs;
  private int recordCount;

  LeaseProxyRecords(ControllerContext context, StoreClient store) {
    this.context = context;
    this.store = store;
    // Unique to this process: a late write of an earlier one must not change its records.
    keyPrefix =
        StoreKeys.LEASE_PROXY_PREFIX
            + context.settings.nodeName()
            + "/"
            + Long.toHexString(context.random.nextLong())
            + "/";
    ttlMs = TTL_WORKER_LEASES * context.workerLeaseMs();
  }

  /** Whether a committed record names the machine. */
  boolean isRecorded(String machineName) {
    return recordedMachines.contains(machineName);
  }

  /** How many machines committed records name. */
  int recordedMachineCount() {
    return recordedMachines.size();
  }

  /** Whether the records surely stand until after the given time. */
  boolean isValidUntil(long endMs) {
    return endMs < leaseValidUntilMs;
  }

  /** Names the machine in the next record. */
  void add(String machineName) {
    pendingMachines.add(machineName);
  }

  /** Renews the store lease and writes the next record where that is due. */
  void tick() {
    if (!leaseRequestInFlight && context.nowMs() >= nextRenewMs) {
      renewLease();
    }
    if (storeLease != NO_LEASE
        && !writeInFlight
        && !pendingMachines.isEmpty()
        && context.nowMs() >= nextWriteMs) {
      writeRecord();
    }
  }

  /** Releases the store lease, which removes the records. */
  void release() {
    if (storeLease != NO_LEASE) {
      store.send(new StoreRequest.Release(storeLease), RequestPriority.LEASE, reply -> {});
    }
  }

  /** Forgets all machines and the store lease; the records stand until the lease expires. */
  void reset() {
    generation++;
    recordedMachines.clear();
    pendingMachines.clear();
    storeLease = NO_LEASE;
    leaseValidUntilMs = 0;
    leaseRequestInFlight = false;
    writeInFlight = false;
    nextRenewMs = 0;
    nextWriteMs = 0;
  }

  private void renewLease() {
    leaseRequestInFlight = true;
    long requestedMs = context.nowMs();
    long renewedLease = storeLease;
    long ofGeneration = generation;
    store.send(
        renewedLease == NO_LEASE
            ? new StoreRequest.Grant(ttlMs)
            : new StoreRequest.Renew(renewedLease),
        RequestPriority.LEASE,
        reply -> {
          if (ofGeneration == generation) {
            onLeaseReply(reply, renewedLease, requestedMs);
          }
        });
  }

  private void onLeaseReply(Reply reply, long renewedLease, long requestedMs) {
    leaseRequestInFlight = false;
    if (reply instanceof Reply.Leased leased) {
      storeLease = renewedLease == NO_LEASE ? leased.leaseId() : renewedLease;
      long driftMs = ControllerContext.withClockDrift(ttlMs) - ttlMs;
      leaseValidUntilMs = requestedMs + ttlMs - driftMs;
      nextRenewMs = requestedMs + ttlMs / RENEWALS_PER_TTL;
    } else if (reply instanceof Reply.Refused refused
        && refused.status() == STATUS_LEASE_NOT_FOUND) {
      onLeaseLost();
    } else {
      nextRenewMs = context.nowMs() + context.stepMs() / 2;
    }
  }

  /** The records are gone with their lease; the machines that they named need new ones. */
  private void onLeaseLost() {
    storeLease = NO_LEASE;
    leaseValidUntilMs = 0;
    pendingMachines.addAll(recordedMachines);
    recordedMachines.clear();
  }

  private void writeRecord() {
    writeInFlight = true;
    nextWriteMs = context.nowMs() + context.stepMs() / 2;
    ImmutableList<String> batch = nextBatch();
    long underLease = storeLease;
    long ofGeneration = generation;
    String key = keyPrefix + ++recordCount;
    store.send(
        new StoreRequest.Transaction(
            // Each key is written once, so that a late write removes no name.
            ImmutableList.of(new StoreRequest.Condition(key, 0)),
            ImmutableList.of(
                new StoreRequest.Change(key, new StoredRecord.ProxiedLeases(batch), underLease))),
        RequestPriority.LEASE,
        reply -> {
          if (ofGeneration == generation) {
            onWriteReply(reply, batch, underLease);
          }
        });
  }

  /** As many pending machines as fit into one stored value. */
  private ImmutableList<String> nextBatch() {
    List<String> batch = new ArrayList<>();
    double leftBytes = context.settings.safeValueKb() * BYTES_PER_KB * MAX_VALUE_SHARE;
    for (String name : pendingMachines) {
      leftBytes -= name.length() + BYTES_AROUND_NAME;
      if (leftBytes < 0) {
        break;
      }
      batch.add(name);
    }
    return ImmutableList.copyOf(batch);
  }

  private void onWriteReply(Reply reply, ImmutableList<String> batch, long underLease) {
    writeInFlight = false;
    if (reply instanceof Reply.Committed && storeLease == underLease) {
      recordedMachines.addAll(batch);
      batch.forEach(pendingMachines::remove);
    } else if (reply instanceof Reply.Refused refused && refused.status() == STATUS_LEASE_INVALID) {
      nextRenewMs = context.nowMs();
      onLeaseLost();
    }
  }
}
