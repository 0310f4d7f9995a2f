package eiderfork.controller.workers;

import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.store.RequestPriority;
import eiderfork.model.Heartbeat;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The fencing tokens with which a lease proxy answers workers.
 *
 * <p>A start that the leader has sent may be held back by the network and arrive after the job was
 * cancelled. A proxy keeps the worker's incarnation alive, so only a higher token makes the worker
 * reject the start. Therefore the first answer to a worker raises its token above every token that
 * the leader can have sent a start with, and later answers raise it again at intervals: the leader
 * may have reached the worker in between. The leader adopts the token from the next heartbeat that
 * it receives.
 *
 * <p>Leaders of earlier versions do not adopt tokens, and workers would drop their answers. Tokens
 * are raised only once the stored cluster version excludes such leaders.
 */
final class ProxyFencingTokens {
  private static final Logger LOG = LoggerFactory.getLogger(ProxyFencingTokens.class);

  private static final int REQUIRED_VERSION = ClusterVersion.ADOPTED_TOKENS;

  /**
   * The amount by which a token is raised. The leader sends no start under a token that exceeds the
   * last reported one by this much, see {@link CommandBuilder}.
   */
  static final long INCREMENT = 16;

  /**
   * The interval between two raises of a token, as a share of the time that the cancellation
   * timeout leaves beside a worker lease.
   */
  private static final double INTERVAL_SHARE = 1.0 / 3;

  /** The upper half of a term's tokens is reserved for the leader, so that it never runs out. */
  private static final long PROXY_SEQUENCE_END = 1L << (LeaderElection.TOKEN_SEQUENCE_BITS - 1);

  /** The last token that a worker was given. */
  private record RaisedToken(long token, long raisedMs) {}

  private final ControllerContext context;
  private final ClusterVersion version;
  private final long intervalMs;
  private final Map<String, RaisedToken> lastRaised = new HashMap<>();

  /** The number of resets. A reply to a read of an earlier generation is ignored. */
  private long generation;

  private boolean versionRead;
  private long nextVersionReadMs;

  ProxyFencingTokens(ControllerContext context, ClusterVersion version) {
    this.context = context;
    this.version = version;
    long spareMs = context.cancellationTimeoutMs() - context.workerLeaseMs();
    intervalMs = Math.max(0, (long) (spareMs * INTERVAL_SHARE));
  }

  /**
   * Returns whether a worker can be answered: it is known whether tokens may be raised, and the
   * term has a token that the worker's can be raised to.
   */
  boolean hasTokenFor(Heartbeat heartbeat) {
    if (!canRaise()) {
      return versionRead;
    }
    long sequence = heartbeat.fencingToken() & ((1L << LeaderElection.TOKEN_SEQUENCE_BITS) - 1);
    return sequence + INCREMENT < PROXY_SEQUENCE_END;
  }

  /** Returns the token for the answer to a heartbeat, which is the reported one or a higher one. */
  long next(Heartbeat heartbeat) {
    long reported = heartbeat.fencingToken();
    if (!canRaise() || !isRaiseDue(heartbeat)) {
      return reported;
    }
    long raised = reported + INCREMENT;
    lastRaised.put(heartbeat.machine().name(), new RaisedToken(raised, context.nowMs()));
    return raised;
  }

  /** Returns whether tokens may be raised, because every leader adopts raised tokens. */
  private boolean canRaise() {
    return version.isMinimumVersion(REQUIRED_VERSION);
  }

  private boolean isRaiseDue(Heartbeat heartbeat) {
    RaisedToken last = lastRaised.get(heartbeat.machine().name());
    return last == null
        || last.token != heartbeat.fencingToken()
        || context.nowMs() - last.raisedMs >= intervalMs;
  }

  /** Reads the stored cluster version if tokens may not be raised yet and a read is due. */
  void tick() {
    if (canRaise() || context.nowMs() < nextVersionReadMs) {
      return;
    }
    nextVersionReadMs = context.nowMs() + context.stepMs();
    long requestGeneration = generation;
    // Leases expire while this read is queued, as workers are not answered before.
    version.loadStored(
        RequestPriority.LEASE,
        isRead -> {
          if (requestGeneration == generation && isRead) {
            onVersionRead();
          }
        });
  }

  private void onVersionRead() {
    nextVersionReadMs = context.nowMs() + context.workerLeaseMs();
    if (!versionRead && !canRaise()) {
      LOG.warn("fencing-tokens-not-raised reason=older-version required={}", REQUIRED_VERSION);
    }
    versionRead = true;
  }

  /** Forgets all tokens and the version that was read. */
  void reset() {
    generation++;
    lastRaised.clear();
    versionRead = false;
    nextVersionReadMs = 0;
  }
}
