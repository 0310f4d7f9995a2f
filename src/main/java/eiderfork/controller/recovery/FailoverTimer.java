package eiderfork.controller.recovery;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures the phases of a failover, up to the first command that the new leader sends to a worker.
 */
public final class FailoverTimer {
  private static final Logger LOG = LoggerFactory.getLogger(FailoverTimer.class);

  private final ControllerContext context;
  private final LeaderElection election;
  private long vacantSinceMs;
  private long electedMs;
  private long recoveredMs;
  private long firstResponseMs;
  private boolean fromReplica;
  private boolean running;

  /** Creates a stopped timer. */
  public FailoverTimer(ControllerContext context, LeaderElection election) {
    this.context = context;
    this.election = election;
  }

  /** Starts the timer when this node is elected. */
  public void onElected() {
    electedMs = context.nowMs();
    vacantSinceMs =
        election.leaderLossDetectedMs() < 0 ? electedMs : election.leaderLossDetectedMs();
    recoveredMs = 0;
    firstResponseMs = 0;
    fromReplica = false;
    running = true;
  }

  /**
   * Stops the timer when this node loses the leadership, even if the failover has not completed.
   */
  public void onLeadershipLost() {
    running = false;
  }

  /** Records that memory contains everything committed, from the replica or from a full read. */
  public void recordRecovery(boolean usedReplica) {
    recoveredMs = context.nowMs();
    fromReplica = usedReplica;
  }

  /** Returns whether the state of this term was recovered from the replica. */
  public boolean isFromReplica() {
    return fromReplica;
  }

  /**
   * Records the time of the first response and of the first command among the effects of an input.
   */
  public void observeEffects(List<Effect> effects) {
    if (!running) {
      return;
    }
    for (Effect effect : effects) {
      if (firstResponseMs == 0 && effect instanceof Effect.RespondToWorker) {
        firstResponseMs = context.nowMs();
      }
      if (recoveredMs > 0 && hasCommands(effect)) {
        finish();
        return;
      }
    }
  }

  private static boolean hasCommands(Effect effect) {
    return effect instanceof Effect.SendCommands direct && !direct.commands().isEmpty()
        || effect instanceof Effect.RespondToWorker response && !response.commands().isEmpty();
  }

  private void finish() {
    running = false;
    if (firstResponseMs == 0) {
      firstResponseMs = context.nowMs();
    }
    LOG.info(
        "failover-completed term={} fromReplica={} vacantMs={} recoveryMs={} firstResponseMs={}"
            + " firstCommandMs={}",
        election.currentTerm(),
        fromReplica,
        electedMs - vacantSinceMs,
        recoveredMs - electedMs,
        firstResponseMs - vacantSinceMs,
        context.nowMs() - vacantSinceMs);
    context.emit(
        new Effect.FailoverCompleted(
            election.currentTerm(),
            ImmutableList.of(
                new Effect.FailoverPhase("election", vacantSinceMs, electedMs),
                new Effect.FailoverPhase(fromReplica ? "copy" : "read", electedMs, recoveredMs),
                new Effect.FailoverPhase("first answer", vacantSinceMs, firstResponseMs),
                new Effect.FailoverPhase("first command", recoveredMs, context.nowMs()))));
  }
}
