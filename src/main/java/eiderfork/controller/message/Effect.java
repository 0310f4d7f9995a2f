package eiderfork.controller.message;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Command;
import eiderfork.model.StoredRecord;

/** What a controller wants done. */
public sealed interface Effect {
  /** A request whose reply comes back as {@link Input.Answered}; none in time is Unanswered. */
  sealed interface Call extends Effect {
    /** The number under which the reply comes back. */
    long call();

    /** How long to wait for the reply. */
    long timeoutMs();
  }

  /** An answer to an input that carried this ticket. */
  sealed interface Answer extends Effect {
    /** The ticket of the input that is answered. */
    long ticket();
  }

  /** Asks the state service. */
  record AskState(long call, StoreRequest op, long timeoutMs) implements Call {}

  /** Asks the cloud for its machine types. */
  record AskTypes(long call, long timeoutMs) implements Call {}

  /** Asks the cloud for machines. */
  record AskRent(long call, StoredRecord.Rent rent, long timeoutMs) implements Call {}

  /** Returns machines to the cloud. */
  record AskReturn(long call, ImmutableList<String> machines, long timeoutMs) implements Call {}

  /** Asks the cloud for the machine list, beginning after {@code after}. */
  record AskHosts(long call, String after, long timeoutMs) implements Call {}

  /** Sends commands to a worker directly. */
  record AskCommands(
      long call,
      String addr,
      long token,
      long session,
      ImmutableList<Command> commands,
      long timeoutMs)
      implements Call {}

  /** Asks a worker for its report. */
  record AskInspect(long call, String addr, long timeoutMs) implements Call {}

  /** Tells a peer this node's view and asks for its own. */
  record AskPeerPing(long call, String node, PeerStatus view, long timeoutMs) implements Call {}

  /** Passes a user's request on to a peer. */
  record AskPeerRequest(long call, String node, Input request, long timeoutMs) implements Call {}

  /** Questions after several jobs, answered in their order. */
  record AskPeerQueries(long call, String node, ImmutableList<String> uids, long timeoutMs)
      implements Call {}

  /** Tells a standby what is not committed. */
  record AskPeerHints(long call, String node, MachineHintBatch hints, long timeoutMs)
      implements Call {}

  /** A peer's hints were taken. */
  record AnswerPeerHints(long ticket) implements Answer {}

  /** This node has taken the lead over; what that took is traced. */
  record TookOver(long term, ImmutableList<Phase> phases) implements Effect {}

  /** A part of a takeover, from one moment of the steady time to another. */
  record Phase(String name, long fromMs, long toMs) {}

  /** Answers queries that a peer passed on, in their order. */
  record AnswerPeerQueries(long ticket, ImmutableList<UserResponse> answers) implements Answer {}

  /** Answers a user or, for a request that was passed on, a peer. */
  record AnswerUser(long ticket, UserResponse answer) implements Answer {}

  /** Answers a health check. */
  record AnswerHealth(long ticket, boolean healthy, String why) implements Answer {}

  /** Answers a worker's report, which renews its lease. */
  record AnswerWorker(long ticket, long token, ImmutableList<Command> commands) implements Answer {}

  /** 421: report elsewhere; {@code leader} is null where it is not known. */
  record RedirectWorker(long ticket, String leader) implements Answer {}

  /** Answers a peer's ping. */
  record AnswerPing(long ticket, PeerStatus view) implements Answer {}
}
