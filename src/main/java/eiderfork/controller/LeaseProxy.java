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
import eiderfork.model.Command;
import eiderfork.model.Heartbeat;
import eiderfork.model.StoredRecord;
import eiderfork.model.TaskStatus;
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
  private static final int LIFE_LEASES = 3;

  /** A record's lease is renewed this many times in its life. */
  private static final int RENEWALS = 6;

  /** How much of a value the names of a record may take. */
  private static final double VALUE_SHARE = 0.8;

  /** Quotes and comma around a name. */
  private static final int AROUND = 3;

  private final ControllerContext context;
  private final StoreClient gate;
  private final LeaderElection term;
  private final PeerMonitor peers;
  private final CancellationTracker cancellations;
  private final String prefix;
  private final long lifeMs;

  /** Counts what was begun anew, so that replies to what was given up are told. */
  private long generation;

  private boolean active;
  private long lease;
  private long leaseSureUntilMs;
  private long nextRenewMs;
  private boolean leasing;
  private boolean writing;
  private long nextWriteMs;
  private int records;
  private long answeredMs;

  /** Machines that a committed record names, and those that a next one will. */
  private final Set<String> named = new HashSet<>();

  private final Set<String> wanted = new LinkedHashSet<>();

  /** When a worker was last sent to the leader from here, and where it came back. */
  private final Map<String, Long> sentAwayMs = new HashMap<>();

  LeaseProxy(
      ControllerContext context,
      StoreClient gate,
      LeaderElection term,
      PeerMonitor peers,
      CancellationTracker cancellations) {
    this.context = context;
    this.gate = gate;
    this.term = term;
    this.peers = peers;
    this.cancellations = cancellations;
    // A name of this process alone: a late write of an earlier one changes nothing of its records.
    prefix =
        StoreKeys.LEASE_PROXY
            + context.settings.node()
            + "/"
            + Long.toHexString(context.random.nextLong())
            + "/";
    lifeMs = LIFE_LEASES * context.leaseMs();
  }

  /**
   * Whether this node may answer this worker in the leader's place, now or soon. It may where the
   * worker has something to lose, stands in this zone, and the leader is out of reach from here: as
   * all of its zone is, or as the worker found that was sent there.
   */
  boolean mayAnswer(Heartbeat report) {
    String name = report.machine().name();
    if (term.leading()
        || report.tasks().isEmpty()
        || !report.machine().zone().equals(context.settings.zone())) {
      return false;
    }
    String leader = term.leader();
    if (leader == null) {
      return named.contains(name);
    }
    if (!context.settings.peers().containsKey(leader) || peers.reached(leader)) {
      return false;
    }
    String zone = context.settings.peerZones().getOrDefault(leader, "");
    if (zone.isEmpty() || zone.equals(context.settings.zone())) {
      return false;
    }
    Long awayMs = sentAwayMs.get(name);
    boolean cameBack =
        awayMs != null
            && context.nowMs - awayMs > context.stepMs()
            && context.nowMs - awayMs < context.leaseMs();
    if (!named.contains(name) && !peers.apart(zone) && !cameBack) {
      return false;
    }
    if (!named.contains(name)) {
      wanted.add(name);
      begin();
    }
    return true;
  }

  /** Whether the answer may go out now, to a worker that this node takes. */
  boolean ready(Heartbeat report) {
    long endMs = context.nowMs + ControllerContext.surely(context.leaseMs()) + context.stepMs() / 2;
    return named.contains(report.machine().name())
        && endMs < leaseSureUntilMs
        && cancellations.mayRenew();
  }

  /** Renews the worker's lease under the token that it shows, and ends what was cancelled. */
  void answer(long ticket, Heartbeat report) {
    answeredMs = context.nowMs;
    ImmutableList.Builder<Command> stops = ImmutableList.builder();
    for (TaskStatus task : report.tasks()) {
      if (!task.ended() && cancellations.contains(task.attempt().task().job())) {
        stops.add(new Command.Kill(task.attempt(), 0));
      }
    }
    context.emit(new Effect.AnswerWorker(ticket, report.token(), stops.build()));
  }

  /** A worker was sent to the leader. */
  void sentAway(Heartbeat report) {
    if (!report.tasks().isEmpty()) {
      sentAwayMs.put(report.machine().name(), context.nowMs);
    }
  }

  /** How many machines this node answers in the leader's place. */
  int machineCount() {
    return named.size();
  }

  private void begin() {
    if (active) {
      return;
    }
    LOG.info("answering workers in place of {}, who can't be reached", term.leader());
    active = true;
    generation++;
    answeredMs = context.nowMs;
    readCancellations(generation, "", context.nowMs, -1);
  }

  /**
   * Answers nobody any more. The records stay until their lease ends, which outlasts what was
   * renewed.
   */
  void stop() {
    active = false;
    generation++;
    named.clear();
    wanted.clear();
    lease = 0;
    leaseSureUntilMs = 0;
    leasing = false;
    writing = false;
    // The times of the records of before are none of the next ones'.
    nextRenewMs = 0;
    nextWriteMs = 0;
  }

  void tick() {
    sentAwayMs.values().removeIf(at -> context.nowMs - at > context.leaseMs());
    if (!active) {
      return;
    }
    if (context.nowMs - answeredMs
        > ControllerContext.surely(context.leaseMs()) + context.stepMs()) {
      LOG.info("no worker needs to be answered in the leader's place any more");
      if (lease != 0) {
        gate.send(new StoreRequest.Release(lease), RequestPriority.LEASE, reply -> {});
      }
      stop();
      cancellations.forget();
      return;
    }
    if (!leasing && context.nowMs >= nextRenewMs) {
      lease();
    }
    if (lease != 0 && !writing && !wanted.isEmpty() && context.nowMs >= nextWriteMs) {
      write();
    }
  }

  private void lease() {
    leasing = true;
    long of = generation;
    long askedMs = context.nowMs;
    long renewed = lease;
    gate.send(
        renewed == 0 ? new StoreRequest.Grant(lifeMs) : new StoreRequest.Renew(renewed),
        RequestPriority.LEASE,
        reply -> {
          if (of != generation) {
            return;
          }
          leasing = false;
          if (reply instanceof Reply.Leased leased) {
            lease = renewed == 0 ? leased.lease() : renewed;
            leaseSureUntilMs = askedMs + lifeMs - (ControllerContext.surely(lifeMs) - lifeMs);
            nextRenewMs = askedMs + lifeMs / RENEWALS;
          } else if (reply instanceof Reply.Refused refused && refused.status() == 404) {
            // The records went with it; what they named needs new ones.
            lease = 0;
            leaseSureUntilMs = 0;
            wanted.addAll(named);
            named.clear();
          } else {
            nextRenewMs = context.nowMs + context.stepMs() / 2;
          }
        });
  }

  private void write() {
    writing = true;
    nextWriteMs = context.nowMs + context.stepMs() / 2;
    List<String> batch = new ArrayList<>();
    double leftBytes = context.settings.alwaysStorableKb() * 1024 * VALUE_SHARE;
    for (String name : wanted) {
      leftBytes -= name.length() + AROUND;
      if (leftBytes < 0) {
        break;
      }
      batch.add(name);
    }
    long of = generation;
    long under = lease;
    String key = prefix + ++records;
    gate.send(
        new StoreRequest.Transact(
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
          writing = false;
          if (reply instanceof Reply.Committed && lease == under) {
            named.addAll(batch);
            batch.forEach(wanted::remove);
          } else if (reply instanceof Reply.Refused refused && refused.status() == 400) {
            lease = 0;
            leaseSureUntilMs = 0;
            nextRenewMs = context.nowMs;
            wanted.addAll(named);
            named.clear();
          }
        });
  }

  /** Reads which jobs were cancelled, and then follows it. */
  private void readCancellations(long of, String after, long firstAskedMs, long firstRevision) {
    gate.send(
        new StoreRequest.Scan(StoreKeys.ABORT, after),
        RequestPriority.LEASE,
        reply -> {
          if (of != generation) {
            return;
          }
          if (!(reply instanceof Reply.Page page)) {
            later(of, () -> readCancellations(of, after, firstAskedMs, firstRevision));
            return;
          }
          String last = after;
          for (Reply.Item item : page.items()) {
            cancelled(item);
            last = item.key();
          }
          long revision = firstRevision < 0 ? page.revision() : firstRevision;
          if (page.more()) {
            readCancellations(of, last, firstAskedMs, revision);
          } else {
            cancellations.caughtUp(firstAskedMs);
            followCancellations(of, revision);
          }
        });
  }

  private void followCancellations(long of, long revision) {
    long askedMs = context.nowMs;
    gate.send(
        new StoreRequest.Watch(StoreKeys.ABORT, revision, 2 * context.stepMs()),
        RequestPriority.LEASE,
        reply -> {
          if (of != generation) {
            return;
          }
          if (reply instanceof Reply.Changes changes) {
            changes.items().forEach(this::cancelled);
            cancellations.caughtUp(askedMs);
            followCancellations(of, changes.revision());
          } else if (StoreClient.mustReadAnew(reply)) {
            readCancellations(of, "", context.nowMs, -1);
          } else {
            later(of, () -> followCancellations(of, revision));
          }
        });
  }

  private void cancelled(Reply.Item item) {
    if (item.record() == null) {
      cancellations.archived(StoreKeys.tail(item.key()));
    } else if (item.record() instanceof StoredRecord.Aborted aborted) {
      cancellations.read(aborted.uid());
    }
  }

  private final List<Runnable> again = new ArrayList<>();

  private void later(long of, Runnable what) {
    again.add(
        () -> {
          if (of == generation) {
            what.run();
          }
        });
  }

  /** Tries again what failed, a tick later. */
  void retry() {
    List<Runnable> due = List.copyOf(again);
    again.clear();
    due.forEach(Runnable::run);
  }
}
