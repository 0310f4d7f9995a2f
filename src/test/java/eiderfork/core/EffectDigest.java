package eiderfork.core;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import eiderfork.core.message.Effect;
import eiderfork.wire.CloudWire;
import eiderfork.wire.PeerWire;
import eiderfork.wire.StateWire;
import eiderfork.wire.UserWire;
import eiderfork.wire.WorkerWire;
import java.nio.charset.StandardCharsets;

/**
 * A SHA-256 digest of every effect that the controllers of a {@link World} emit: when, on which
 * node, and what. An effect counts in its wire form, or as values in a fixed order under a fixed
 * tag where it has none, so that names of types and fields don't matter. The numbers under which
 * replies come back are a controller's own and are left out.
 */
final class EffectDigest {
  private final World world;
  private final Hasher hasher = Hashing.sha256().newHasher();

  private EffectDigest(World world) {
    this.world = world;
  }

  /** A digest of all that this world's controllers emit from now on. */
  static EffectDigest of(World world) {
    EffectDigest digest = new EffectDigest(world);
    world.effectObserver = digest::add;
    return digest;
  }

  /** Ends the digest and tells it in hexadecimal digits. */
  String finish() {
    return hasher.hash().toString();
  }

  private void add(String node, Effect effect) {
    hasher.putLong(world.nowMs);
    text(node);
    if (effect instanceof Effect.Call call) {
      hasher.putLong(call.timeoutMs());
      addCall(call);
    } else if (effect instanceof Effect.Answer answer) {
      hasher.putLong(answer.ticket());
      addAnswer(answer);
    } else if (effect instanceof Effect.TookOver it) {
      addTakeover(it);
    } else {
      throw unknown(effect);
    }
  }

  private void addCall(Effect.Call call) {
    if (call instanceof Effect.AskState it) {
      addStateRequest(StateWire.request(it.op()));
    } else if (call instanceof Effect.AskTypes) {
      message("types", CloudWire.TYPES);
    } else if (call instanceof Effect.AskRent it) {
      message("rent", CloudWire.HOSTS, CloudWire.rent(it.rent()));
    } else if (call instanceof Effect.AskReturn it) {
      message("return", CloudWire.RETURN, CloudWire.giveBack(it.machines()));
    } else if (call instanceof Effect.AskHosts it) {
      message("hosts", CloudWire.hostsPath(it.after()));
    } else if (call instanceof Effect.AskCommands it) {
      byte[] body = WorkerWire.commands(it.token(), it.session(), it.commands());
      message("commands", it.addr(), body);
    } else if (call instanceof Effect.AskInspect it) {
      message("inspect", it.addr());
    } else {
      addPeerCall(call);
    }
  }

  private void addStateRequest(StateWire.Request request) {
    text("state");
    text(request.method());
    text(request.path());
    hasher.putBoolean(request.body() != null);
    if (request.body() != null) {
      bytes(request.body());
    }
  }

  private void addPeerCall(Effect.Call call) {
    if (call instanceof Effect.AskPeerPing it) {
      message("peer ping", it.node(), PeerWire.view(it.view()));
    } else if (call instanceof Effect.AskPeerRequest it) {
      message("peer request", it.node(), PeerWire.request(it.request()));
    } else if (call instanceof Effect.AskPeerQueries it) {
      message("peer queries", it.node(), PeerWire.queries(it.uids()));
    } else if (call instanceof Effect.AskPeerHints it) {
      message("peer hints", it.node(), PeerWire.hints(it.hints()));
    } else {
      throw unknown(call);
    }
  }

  private void addAnswer(Effect.Answer answer) {
    if (answer instanceof Effect.AnswerUser it) {
      text("answer user");
      hasher.putInt(it.answer().status());
      hasher.putInt(it.answer().retryAfterS());
      bytes(UserWire.body(it.answer()));
    } else if (answer instanceof Effect.AnswerHealth it) {
      text("answer health");
      bytes(UserWire.health(it.healthy(), it.why()));
    } else if (answer instanceof Effect.AnswerWorker it) {
      text("answer worker");
      bytes(WorkerWire.answer(it.token(), it.commands()));
    } else if (answer instanceof Effect.RedirectWorker it) {
      text("redirect worker");
      bytes(WorkerWire.redirect(it.leader()));
    } else {
      addPeerAnswer(answer);
    }
  }

  private void addPeerAnswer(Effect.Answer answer) {
    if (answer instanceof Effect.AnswerPing it) {
      text("answer ping");
      bytes(PeerWire.view(it.view()));
    } else if (answer instanceof Effect.AnswerPeerQueries it) {
      text("answer queries");
      bytes(PeerWire.answers(it.answers()));
    } else if (answer instanceof Effect.AnswerPeerHints) {
      text("answer hints");
    } else {
      throw unknown(answer);
    }
  }

  /** A takeover goes into a trace file alone and has no wire form. */
  private void addTakeover(Effect.TookOver takeover) {
    text("took over");
    hasher.putLong(takeover.term());
    hasher.putInt(takeover.phases().size());
    for (Effect.Phase phase : takeover.phases()) {
      text(phase.name());
      hasher.putLong(phase.fromMs());
      hasher.putLong(phase.toMs());
    }
  }

  private void message(String tag, String to) {
    text(tag);
    text(to);
  }

  private void message(String tag, String to, byte[] body) {
    message(tag, to);
    bytes(body);
  }

  private void text(String text) {
    bytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** The length goes first, so that no two sequences of values look alike. */
  private void bytes(byte[] bytes) {
    hasher.putInt(bytes.length);
    hasher.putBytes(bytes);
  }

  private static IllegalStateException unknown(Effect effect) {
    return new IllegalStateException("an effect that is not in the digest: " + effect);
  }
}
