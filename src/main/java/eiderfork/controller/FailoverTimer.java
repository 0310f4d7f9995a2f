package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Measures the phases of a takeover, up to the first worker that is answered with a command. */
final class FailoverTimer {
  private static final Logger LOG = LoggerFactory.getLogger(FailoverTimer.class);

  private final ControllerContext context;
  private final LeaderElection election;
  private long vacantSinceMs;
  private long electedMs;
  private long recoveredMs;
  private long firstResponseMs;
  private boolean fromReplica;
  private boolean running;

  FailoverTimer(ControllerContext context, LeaderElection election) {
    this.context = context;
    this.election = election;
  }

  /** This node leads. */
  void elected() {
    electedMs = context.nowMs;
    vacantSinceMs = election.vacancySeenMs() < 0 ? electedMs : election.vacancySeenMs();
    recoveredMs = 0;
    firstResponseMs = 0;
    fromReplica = false;
    running = true;
  }

  /** The lead is over. */
  void deposed() {
    running = false;
  }

  /** Memory holds what is committed, from the copy or from a read of everything. */
  void stateRecovered(boolean usedReplica) {
    recoveredMs = context.nowMs;
    fromReplica = usedReplica;
  }

  /** Whether the state of this term came from a copy. */
  boolean isFromReplica() {
    return fromReplica;
  }

  /** Looks at what an input had sent. */
  void observeEffects(List<Effect> effects) {
    if (!running) {
      return;
    }
    for (Effect effect : effects) {
      if (firstResponseMs == 0 && effect instanceof Effect.RespondToWorker) {
        firstResponseMs = context.nowMs;
      }
      boolean commands =
          effect instanceof Effect.SendCommands it && !it.commands().isEmpty()
              || effect instanceof Effect.RespondToWorker answer && !answer.commands().isEmpty();
      if (commands && recoveredMs > 0) {
        finish();
        return;
      }
    }
  }

  private void finish() {
    running = false;
    long firstAnswerMs = firstResponseMs == 0 ? context.nowMs : firstResponseMs;
    LOG.info(
        "took term {} over: vacant for {} ms, state {} in {} ms, first worker answered after {} ms,"
            + " first command after {} ms",
        election.currentTerm(),
        electedMs - vacantSinceMs,
        fromReplica ? "from the copy" : "read",
        recoveredMs - electedMs,
        firstAnswerMs - vacantSinceMs,
        context.nowMs - vacantSinceMs);
    context.emit(
        new Effect.FailoverCompleted(
            election.currentTerm(),
            ImmutableList.of(
                new Effect.Phase("election", vacantSinceMs, electedMs),
                new Effect.Phase(fromReplica ? "copy" : "read", electedMs, recoveredMs),
                new Effect.Phase("first answer", vacantSinceMs, firstAnswerMs),
                new Effect.Phase("first command", recoveredMs, context.nowMs))));
  }
}
