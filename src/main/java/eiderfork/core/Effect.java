package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Command;
import eiderfork.model.Record;

/** What a controller wants done. */
public sealed interface Effect {
  /** A request whose reply comes back as {@link Input.Answered}; none in time is Unanswered. */
  sealed interface Call extends Effect {
    long call();

    long timeoutMs();
  }

  record AskState(long call, StateOp op, long timeoutMs) implements Call {}

  record AskTypes(long call, long timeoutMs) implements Call {}

  record AskRent(long call, Record.Rent rent, long timeoutMs) implements Call {}

  record AskReturn(long call, ImmutableList<String> machines, long timeoutMs) implements Call {}

  record AskHosts(long call, String after, long timeoutMs) implements Call {}

  record AskCommands(
      long call,
      String addr,
      long token,
      long session,
      ImmutableList<Command> commands,
      long timeoutMs)
      implements Call {}

  record AskInspect(long call, String addr, long timeoutMs) implements Call {}

  record AskPeerPing(long call, String node, PeerView view, long timeoutMs) implements Call {}

  record AskPeerRequest(long call, String node, Input request, long timeoutMs) implements Call {}

  /** Questions after several jobs, answered in their order. */
  record AskPeerQueries(long call, String node, ImmutableList<String> uids, long timeoutMs)
      implements Call {}

  record AnswerPeerQueries(long ticket, ImmutableList<UserAnswer> answers) implements Effect {}

  record AnswerUser(long ticket, UserAnswer answer) implements Effect {}

  record AnswerHealth(long ticket, boolean healthy, String why) implements Effect {}

  record AnswerWorker(long ticket, long token, ImmutableList<Command> commands) implements Effect {}

  /** 421: report elsewhere; {@code leader} is null where it is not known. */
  record RedirectWorker(long ticket, String leader) implements Effect {}

  record AnswerPing(long ticket, PeerView view) implements Effect {}
}
