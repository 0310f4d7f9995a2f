package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Heartbeat;
import eiderfork.model.StoredRecord;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the tasks of workers alive that can't reach the leader, while this node can reach the state
 * service: two zones that can't reach each other have lost all that ran in the leader's other zone.
 *
 * <p>A leaseProxy renews leases under the token that a worker shows and gives no command but the
 * end of what was cancelled. Before it answers a worker, a record that names the machine stands in
 * the state service, on a lease that outlasts every lease that the leaseProxy renews. The leader
 * counts no worker's lease as lapsed before it has read, after the lapse, that no such record names
 * the machine. So either it sees the record, or the leaseProxy's first answer comes after the lapse
 * and renews a session that has nothing left of the one before.
 */
final class LeaseProxy {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseProxy.class);

  /** The record's lease, in leases of workers; one that is renewed now has to fit within. */
  private static final int RECORD_TTL_LEASES = 3;

  /** A record's lease is renewed this many times in its life. */
  private static final int RENEWALS_PER_TTL = 6;

  /** How much of a value the names of a record may take. */
  private static final double MAX_VALUE_SHARE = 0.8;

  /** Quotes and comma around a name. */
  private static final int BYTES_AROUND_NAME = 3;

  private final ControllerContext context;
  private final StoreClient store;
  private final LeaderElection election;
  private final PeerMonitor peers;
  private final CancellationTracker cancellations;
  private final String keyPrefix;
  private final long recordTtlMs;

  /** Counts what was begun anew, so that replies to what was given up are told. */
  private long generation;

  private boolean active;
  private long recordLease;
  private long leaseValidUntilMs;
  private long nextRenewMs;
  private boolean leaseRequestInFlight;
  private boolean writeInFlight;
  private long nextWriteMs;
  private int recordCount;
  private long lastAnswerMs;

  /** Machines that a committed record names, and those that a next one will. */
  private final Set<String> recordedMachines = new HashSet<>();

  private final Set<String> pendingMachines = new LinkedHashSet<>();

  /** When a worker was last sent to the leader from here, and where it came back. */
  private final Map<String, Long> redirectedMs = new HashMap<>();

  LeaseProxy(
      ControllerContext context,
      StoreClient store,
      LeaderElection election,
      PeerMonitor peers,
      CancellationTracker cancellations) {
    this.context = context;
    this.store = store;
    this.election = election;
    this.peers = peers;
    this.cancellations = cancellations;
    // A name of this process alone: a late write of an earlier one changes nothing of its records.
    keyPrefix =
        StoreKeys.LEASE_PROXY_PREFIX
            + context.settings.nodeName()
            + "/"
            + Long.toHexString(context.random.nextLong())
            + "/";
    recordTtlMs = RECORD_TTL_LEASES * context.workerLeaseMs();
  }

  /**
   * Whether this node may answer this worker in the leader's place, now or soon. It may where the
   * worker has something to lose, stands in this zone, and the leader is out of reach from here: as
   * all of its zone is, or as the worker found that was sent there.
   */
  boolean canAnswer(Heartbeat heartbeat) {
    String name = heartbeat.machine().name();
    if (election.isLeading()
        || heartbeat.tasks().isEmpty()
        || !heartbeat.machine().zone().equals(context.settings.zone())) {
      return false;
    }
    String leader = election.leader();
    if (leader == null) {
      return recordedMachines.contains(name);
    }
    if (!context.settings.peerEndpoints().containsKey(leader) || peers.isReachable(leader)) {
      return false;
    }
    String zone = context.settings.peerZones().getOrDefault(leader, "");
    if (zone.isEmpty() || zone.equals(context.settings.zone())) {
      return false;
    }
    Long awayMs = redirectedMs.get(name);
    boolean cameBack =
        awayMs != null
            && context.nowMs - awayMs > context.stepMs()
            && context.nowMs - awayMs < context.workerLeaseMs();
    if (!recordedMachines.contains(name) && !peers.isZoneUnreachable(zone) && !cameBack) {
      return false;
    }
    if (!recordedMachines.contains(name)) {
      pendingMachines.add(name);
      start();
    }
    return true;
  }

  /** Whether the answer may go out now, to a worker that this node takes. */
  boolean canAnswerNow(Heartbeat heartbeat) {
    long endMs =
        context.nowMs
            + ControllerContext.withClockDrift(context.workerLeaseMs())
            + context.stepMs() / 2;
    return recordedMachines.contains(heartbeat.machine().name())
        && endMs < leaseValidUntilMs
        && cancellations.mayRenewLeases();
  }

  /** Renews the worker's lease under the token that it shows, and ends what was cancelled. */
  void answer(long ticket, Heartbeat heartbeat) {
    lastAnswerMs = context.nowMs;
    ImmutableList.Builder<WorkerCommand> stops = ImmutableList.builder();
    for (TaskStatus task : heartbeat.tasks()) {
      if (!task.hasEnded() && cancellations.contains(task.attempt().task().jobUid())) {
        stops.add(new WorkerCommand.Kill(task.attempt(), 0));
      }
    }
    context.emit(new Effect.RespondToWorker(ticket, heartbeat.fencingToken(), stops.build()));
  }

  /** A worker was sent to the leader. */
  void recordRedirect(Heartbeat heartbeat) {
    if (!heartbeat.tasks().isEmpty()) {
      redirectedMs.put(heartbeat.machine().name(), context.nowMs);
    }
  }

  /** How many machines this node answers in the leader's place. */
  int proxiedMachineCount() {
    return recordedMachines.size();
  }

  private void start() {
    if (active) {
      return;
    }
    LOG.info("answering workers in place of {}, who can't be reached", election.leader());
    active = true;
    generation++;
    lastAnswerMs = context.nowMs;
    readCancellations(generation, "", context.nowMs, -1);
  }

  /**
   * Answers nobody any more. The records stay until their lease ends, which outlasts what was
   * renewed.
   */
  void stop() {
    active = false;
    generation++;
    recordedMachines.clear();
    pendingMachines.clear();
    recordLease = 0;
    leaseValidUntilMs = 0;
    leaseRequestInFlight = false;
    writeInFlight = false;
    // The times of the records of before are none of the next ones'.
    nextRenewMs = 0;
    nextWriteMs = 0;
  }

  void tick() {
    redirectedMs.values().removeIf(at -> context.nowMs - at > context.workerLeaseMs());
    if (!active) {
      return;
    }
    if (context.nowMs - lastAnswerMs
        > ControllerContext.withClockDrift(context.workerLeaseMs()) + context.stepMs()) {
      LOG.info("no worker needs to be answered in the leader's place any more");
      if (recordLease != 0) {
        store.send(new StoreRequest.Release(recordLease), RequestPriority.LEASE, reply -> {});
      }
      stop();
      cancellations.reset();
      return;
    }
    if (!leaseRequestInFlight && context.nowMs >= nextRenewMs) {
      recordLease();
    }
    if (recordLease != 0
        && !writeInFlight
        && !pendingMachines.isEmpty()
        && context.nowMs >= nextWriteMs) {
      writeRecord();
    }
  }

  private void recordLease() {
    leaseRequestInFlight = true;
    long of = generation;
    long requestedMs = context.nowMs;
    long renewed = recordLease;
    store.send(
        renewed == 0 ? new StoreRequest.Grant(recordTtlMs) : new StoreRequest.Renew(renewed),
        RequestPriority.LEASE,
        reply -> {
          if (of != generation) {
            return;
          }
          leaseRequestInFlight = false;
          if (reply instanceof Reply.Leased leased) {
            recordLease = renewed == 0 ? leased.leaseId() : renewed;
            leaseValidUntilMs =
                requestedMs
                    + recordTtlMs
                    - (ControllerContext.withClockDrift(recordTtlMs) - recordTtlMs);
            nextRenewMs = requestedMs + recordTtlMs / RENEWALS_PER_TTL;
          } else if (reply instanceof Reply.Refused refused && refused.status() == 404) {
            // The records went with it; what they named needs new ones.
            recordLease = 0;
            leaseValidUntilMs = 0;
            pendingMachines.addAll(recordedMachines);
            recordedMachines.clear();
          } else {
            nextRenewMs = context.nowMs + context.stepMs() / 2;
          }
        });
  }

  private void writeRecord() {
    writeInFlight = true;
    nextWriteMs = context.nowMs + context.stepMs() / 2;
    List<String> batch = new ArrayList<>();
    double leftBytes = context.settings.safeValueKb() * 1024 * MAX_VALUE_SHARE;
    for (String name : pendingMachines) {
      leftBytes -= name.length() + BYTES_AROUND_NAME;
      if (leftBytes < 0) {
        break;
      }
      batch.add(name);
    }
    long of = generation;
    long under = recordLease;
    String key = keyPrefix + ++recordCount;
    store.send(
        new StoreRequest.Transaction(
            // A key is written once, so that a late write takes no name away.
            ImmutableList.of(new StoreRequest.Condition(key, 0)),
            ImmutableList.of(
                new StoreRequest.Change(
                    key, new StoredRecord.ProxiedLeases(ImmutableList.copyOf(batch)), under))),
        RequestPriority.LEASE,
        reply -> {
          if (of != generation) {
            return;
          }
          writeInFlight = false;
          if (reply instanceof Reply.Committed && recordLease == under) {
            recordedMachines.addAll(batch);
            batch.forEach(pendingMachines::remove);
          } else if (reply instanceof Reply.Refused refused && refused.status() == 400) {
            recordLease = 0;
            leaseValidUntilMs = 0;
            nextRenewMs = context.nowMs;
            pendingMachines.addAll(recordedMachines);
            recordedMachines.clear();
          }
        });
  }

  /** Reads which jobs were cancelled, and then follows it. */
  private void readCancellations(
      long ofGeneration, String afterKey, long firstRequestMs, long firstRevision) {
    store.send(
        new StoreRequest.Scan(StoreKeys.CANCELLATION_PREFIX, afterKey),
        RequestPriority.LEASE,
        reply -> {
          if (ofGeneration != generation) {
            return;
          }
          if (!(reply instanceof Reply.Page page)) {
            retryLater(
                ofGeneration,
                () -> readCancellations(ofGeneration, afterKey, firstRequestMs, firstRevision));
            return;
          }
          String last = afterKey;
          for (Reply.Item item : page.items()) {
            applyCancellation(item);
            last = item.key();
          }
          long revision = firstRevision < 0 ? page.revision() : firstRevision;
          if (page.hasMore()) {
            readCancellations(ofGeneration, last, firstRequestMs, revision);
          } else {
            cancellations.recordCaughtUp(firstRequestMs);
            followCancellations(ofGeneration, revision);
          }
        });
  }

  private void followCancellations(long ofGeneration, long revision) {
    long requestedMs = context.nowMs;
    store.send(
        new StoreRequest.Watch(StoreKeys.CANCELLATION_PREFIX, revision, 2 * context.stepMs()),
        RequestPriority.LEASE,
        reply -> {
          if (ofGeneration != generation) {
            return;
          }
          if (reply instanceof Reply.Changes changes) {
            changes.items().forEach(this::applyCancellation);
            cancellations.recordCaughtUp(requestedMs);
            followCancellations(ofGeneration, changes.revision());
          } else if (StoreClient.requiresFullRead(reply)) {
            readCancellations(ofGeneration, "", context.nowMs, -1);
          } else {
            retryLater(ofGeneration, () -> followCancellations(ofGeneration, revision));
          }
        });
  }

  private void applyCancellation(Reply.Item item) {
    if (item.record() == null) {
      cancellations.jobArchived(StoreKeys.withoutPrefix(item.key()));
    } else if (item.record() instanceof StoredRecord.Cancellation aborted) {
      cancellations.recordStored(aborted.uid());
    }
  }

  private final List<Runnable> retries = new ArrayList<>();

  private void retryLater(long ofGeneration, Runnable action) {
    retries.add(
        () -> {
          if (ofGeneration == generation) {
            action.run();
          }
        });
  }

  /** Tries again what failed, a tick later. */
  void retryFailed() {
    List<Runnable> due = List.copyOf(retries);
    retries.clear();
    due.forEach(Runnable::run);
  }
}
