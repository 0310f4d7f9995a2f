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
  private final LeaderElection term;
  private long vacantMs;
  private long electedMs;
  private long stateMs;
  private long answeredMs;
  private boolean fromCopy;
  private boolean running;

  FailoverTimer(ControllerContext context, LeaderElection term) {
    this.context = context;
    this.term = term;
  }

  /** This node leads. */
  void elected() {
    electedMs = context.nowMs;
    vacantMs = term.vacantSeenMs() < 0 ? electedMs : term.vacantSeenMs();
    stateMs = 0;
    answeredMs = 0;
    fromCopy = false;
    running = true;
  }

  /** The lead is over. */
  void deposed() {
    running = false;
  }

  /** Memory holds what is committed, from the copy or from a read of everything. */
  void hasState(boolean copied) {
    stateMs = context.nowMs;
    fromCopy = copied;
  }

  /** Whether the state of this term came from a copy. */
  boolean isFromCopy() {
    return fromCopy;
  }

  /** Looks at what an input had sent. */
  void sent(List<Effect> effects) {
    if (!running) {
      return;
    }
    for (Effect effect : effects) {
      if (answeredMs == 0 && effect instanceof Effect.AnswerWorker) {
        answeredMs = context.nowMs;
      }
      boolean commands =
          effect instanceof Effect.AskCommands it && !it.commands().isEmpty()
              || effect instanceof Effect.AnswerWorker answer && !answer.commands().isEmpty();
      if (commands && stateMs > 0) {
        end();
        return;
      }
    }
  }

  private void end() {
    running = false;
    long firstAnswerMs = answeredMs == 0 ? context.nowMs : answeredMs;
    LOG.info(
        "took term {} over: vacant for {} ms, state {} in {} ms, first worker answered after {} ms,"
            + " first command after {} ms",
        term.number(),
        electedMs - vacantMs,
        fromCopy ? "from the copy" : "read",
        stateMs - electedMs,
        firstAnswerMs - vacantMs,
        context.nowMs - vacantMs);
    context.emit(
        new Effect.TookOver(
            term.number(),
            ImmutableList.of(
                new Effect.Phase("election", vacantMs, electedMs),
                new Effect.Phase(fromCopy ? "copy" : "read", electedMs, stateMs),
                new Effect.Phase("first answer", vacantMs, firstAnswerMs),
                new Effect.Phase("first command", stateMs, context.nowMs))));
  }
}
