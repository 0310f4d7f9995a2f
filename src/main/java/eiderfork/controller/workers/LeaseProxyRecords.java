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
 * The stored records that name the machines whose leases this node renews, and the store lease to
 * which they are attached.
 */
final class LeaseProxyRecords {
  /**
   * The store lease's time to live, as a multiple of the worker lease, so that a worker lease
   * renewed now ends before the store lease.
   */
  private static final int TTL_WORKER_LEASES = 3;

  private static final int RENEWALS_PER_TTL = 6;

  /** The fraction of the maximum size of a stored value that the names in a record may fill. */
  private static final double MAX_VALUE_SHARE = 0.8;

  /** The quotes and the comma around a name, in bytes. */
  private static final int NAME_OVERHEAD_BYTES = 3;

  private static final int BYTES_PER_KB = 1024;

  private static final int STATUS_LEASE_NOT_FOUND = 404;
  private static final int STATUS_LEASE_INVALID = 400;
  private static final long NO_LEASE_ID = 0;

  private final ControllerContext context;
  private final StoreClient store;
  private final String keyPrefix;
  private final long ttlMs;

  /** The machines that are named by committed records. */
  private final Set<String> recordedMachines = new HashSet<>();

  /** The machines to be named by the next records. */
  private final Set<String> pendingMachines = new LinkedHashSet<>();

  /** The number of resets. A reply to a request of an earlier generation is ignored. */
  private long generation;

  private long storeLeaseId = NO_LEASE_ID;
  private long leaseValidUntilMs;
  private long nextRenewMs;
  private boolean leaseRequestInFlight;
  private boolean writeInFlight;
  private long nextWriteMs;
  private int recordCount;

  LeaseProxyRecords(ControllerContext context, StoreClient store) {
    this.context = context;
    this.store = store;
    // Unique to this process, so that a delayed write of an earlier process cannot change its
    // records.
    keyPrefix =
        StoreKeys.LEASE_PROXY_PREFIX
            + context.settings.nodeName()
            + "/"
            + Long.toHexString(context.random.nextLong())
            + "/";
    ttlMs = TTL_WORKER_LEASES * context.workerLeaseMs();
  }

  /** Returns whether a committed record names the machine. */
  boolean isRecorded(String machineName) {
    return recordedMachines.contains(machineName);
  }

  /** Returns the number of machines that committed records name. */
  int recordedMachineCount() {
    return recordedMachines.size();
  }

  /** Returns whether the records are certain to outlast the given time. */
  boolean isValidUntil(long endMs) {
    return endMs < leaseValidUntilMs;
  }

  /** Adds the machine to the next record. */
  void add(String machineName) {
    pendingMachines.add(machineName);
  }

  /** Renews the store lease and writes the next record, each if it is due. */
  void tick() {
    if (!leaseRequestInFlight && context.nowMs() >= nextRenewMs) {
      renewLease();
    }
    if (storeLeaseId != NO_LEASE_ID
        && !writeInFlight
        && !pendingMachines.isEmpty()
        && context.nowMs() >= nextWriteMs) {
      writeRecord();
    }
  }

  /** Releases the store lease, which removes the records. */
  void release() {
    if (storeLeaseId != NO_LEASE_ID) {
      store.send(new StoreRequest.RevokeLease(storeLeaseId), RequestPriority.LEASE, reply -> {});
    }
  }

  /**
   * Discards all machines and the store lease. The stored records remain until the lease expires.
   */
  void reset() {
    generation++;
    recordedMachines.clear();
    pendingMachines.clear();
    storeLeaseId = NO_LEASE_ID;
    leaseValidUntilMs = 0;
    leaseRequestInFlight = false;
    writeInFlight = false;
    nextRenewMs = 0;
    nextWriteMs = 0;
  }

  private void renewLease() {
    leaseRequestInFlight = true;
    long requestedMs = context.nowMs();
    long renewedLeaseId = storeLeaseId;
    long requestGeneration = generation;
    store.send(
        renewedLeaseId == NO_LEASE_ID
            ? new StoreRequest.GrantLease(ttlMs)
            : new StoreRequest.RenewLease(renewedLeaseId),
        RequestPriority.LEASE,
        reply -> {
          if (requestGeneration == generation) {
            onLeaseReply(reply, renewedLeaseId, requestedMs);
          }
        });
  }

  private void onLeaseReply(Reply reply, long renewedLeaseId, long requestedMs) {
    leaseRequestInFlight = false;
    if (reply instanceof Reply.Leased leased) {
      storeLeaseId = renewedLeaseId == NO_LEASE_ID ? leased.leaseId() : renewedLeaseId;
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

  /**
   * Queues the recorded machines for new records, because the store removed the old ones with their
   * lease.
   */
  private void onLeaseLost() {
    storeLeaseId = NO_LEASE_ID;
    leaseValidUntilMs = 0;
    pendingMachines.addAll(recordedMachines);
    recordedMachines.clear();
  }

  private void writeRecord() {
    writeInFlight = true;
    nextWriteMs = context.nowMs() + context.stepMs() / 2;
    ImmutableList<String> batch = nextBatch();
    long writeLeaseId = storeLeaseId;
    long requestGeneration = generation;
    String key = keyPrefix + ++recordCount;
    store.send(
        new StoreRequest.Transaction(
            // Each key is written only once, so that a delayed write cannot remove names.
            ImmutableList.of(new StoreRequest.Condition(key, 0)),
            ImmutableList.of(
                new StoreRequest.Change(key, new StoredRecord.ProxiedLeases(batch), writeLeaseId))),
        RequestPriority.LEASE,
        reply -> {
          if (requestGeneration == generation) {
            onWriteReply(reply, batch, writeLeaseId);
          }
        });
  }

  /** Returns as many pending machines as fit into one stored value. */
  private ImmutableList<String> nextBatch() {
    List<String> batch = new ArrayList<>();
    double remainingBytes = context.settings.safeValueKb() * BYTES_PER_KB * MAX_VALUE_SHARE;
    for (String name : pendingMachines) {
      remainingBytes -= name.length() + NAME_OVERHEAD_BYTES;
      if (remainingBytes < 0) {
        break;
      }
      batch.add(name);
    }
    return ImmutableList.copyOf(batch);
  }

  private void onWriteReply(Reply reply, ImmutableList<String> batch, long writeLeaseId) {
    writeInFlight = false;
    if (reply instanceof Reply.Committed && storeLeaseId == writeLeaseId) {
      recordedMachines.addAll(batch);
      batch.forEach(pendingMachines::remove);
    } else if (reply instanceof Reply.Refused refused && refused.status() == STATUS_LEASE_INVALID) {
      nextRenewMs = context.nowMs();
      onLeaseLost();
    }
  }
}
