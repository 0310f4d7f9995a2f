package eiderfork.controller;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import eiderfork.controller.message.Effect;
import eiderfork.wire.CloudCodec;
import eiderfork.wire.ForwardingCodec;
import eiderfork.wire.MachineHintCodec;
import eiderfork.wire.PeerStatusCodec;
import eiderfork.wire.StoreCodec;
import eiderfork.wire.UserCodec;
import eiderfork.wire.WorkerCodec;
import java.nio.charset.StandardCharsets;

/**
 * A SHA-256 digest of every effect that the controllers of a {@link SimulatedCluster} emit: when,
 * on which node, and what. An effect counts in its wire form, or as values in a fixed order under a
 * fixed tag where it has none, so that names of types and fields don't matter. The numbers under
 * which replies come back are a controller's own and are left out.
 */
final class EffectDigest {
  private final SimulatedCluster cluster;
  private final Hasher hasher = Hashing.sha256().newHasher();

  private EffectDigest(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** A digest of all that this world's controllers emit from now on. */
  static EffectDigest of(SimulatedCluster cluster) {
    EffectDigest digest = new EffectDigest(cluster);
    cluster.effectObserver = digest::add;
    return digest;
  }

  /** Ends the digest and tells it in hexadecimal digits. */
  String finish() {
    return hasher.hash().toString();
  }

  private void add(String node, Effect effect) {
    hasher.putLong(cluster.nowMs);
    text(node);
    if (effect instanceof Effect.Call call) {
      hasher.putLong(call.timeoutMs());
      addCall(call);
    } else if (effect instanceof Effect.Response answer) {
      hasher.putLong(answer.ticket());
      addAnswer(answer);
    } else if (effect instanceof Effect.FailoverCompleted it) {
      addTakeover(it);
    } else {
      throw unknown(effect);
    }
  }

  private void addCall(Effect.Call call) {
    if (call instanceof Effect.CallStore it) {
      addStateRequest(StoreCodec.encodeRequest(it.request()));
    } else if (call instanceof Effect.ListMachineTypes) {
      message("types", CloudCodec.TYPES_PATH);
    } else if (call instanceof Effect.RentMachines it) {
      message("rent", CloudCodec.HOSTS_PATH, CloudCodec.encodeRent(it.rent()));
    } else if (call instanceof Effect.ReturnMachines it) {
      message("return", CloudCodec.RETURN_PATH, CloudCodec.encodeReturn(it.machines()));
    } else if (call instanceof Effect.ListHosts it) {
      message("hosts", CloudCodec.hostsPath(it.after()));
    } else if (call instanceof Effect.SendCommands it) {
      byte[] body = WorkerCodec.encodeCommands(it.fencingToken(), it.incarnation(), it.commands());
      message("commands", it.address(), body);
    } else if (call instanceof Effect.InspectWorker it) {
      message("inspect", it.address());
    } else {
      addPeerCall(call);
    }
  }

  private void addStateRequest(StoreCodec.Request request) {
    text("state");
    text(request.method());
    text(request.path());
    hasher.putBoolean(request.body() != null);
    if (request.body() != null) {
      bytes(request.body());
    }
  }

  private void addPeerCall(Effect.Call call) {
    if (call instanceof Effect.PingPeer it) {
      message("peer ping", it.node(), PeerStatusCodec.encodeStatus(it.status()));
    } else if (call instanceof Effect.ForwardRequest it) {
      message("peer request", it.node(), ForwardingCodec.encodeRequest(it.request()));
    } else if (call instanceof Effect.ForwardQueries it) {
      message("peer queries", it.node(), ForwardingCodec.encodeQueries(it.uids()));
    } else if (call instanceof Effect.SendHints it) {
      message("peer hints", it.node(), MachineHintCodec.encodeHints(it.hints()));
    } else {
      throw unknown(call);
    }
  }

  private void addAnswer(Effect.Response answer) {
    if (answer instanceof Effect.RespondToUser it) {
      text("answer user");
      hasher.putInt(it.response().status());
      hasher.putInt(it.response().retryAfterS());
      bytes(UserCodec.encodeAnswer(it.response()));
    } else if (answer instanceof Effect.RespondToHealthCheck it) {
      text("answer health");
      bytes(UserCodec.encodeHealth(it.healthy(), it.reason()));
    } else if (answer instanceof Effect.RespondToWorker it) {
      text("answer worker");
      bytes(WorkerCodec.encodeHeartbeatResponse(it.fencingToken(), it.commands()));
    } else if (answer instanceof Effect.RedirectWorker it) {
      text("redirect worker");
      bytes(WorkerCodec.encodeRedirect(it.leader()));
    } else {
      addPeerAnswer(answer);
    }
  }

  private void addPeerAnswer(Effect.Response answer) {
    if (answer instanceof Effect.RespondToPing it) {
      text("answer ping");
      bytes(PeerStatusCodec.encodeStatus(it.status()));
    } else if (answer instanceof Effect.RespondToQueries it) {
      text("answer queries");
      bytes(ForwardingCodec.encodeAnswers(it.responses()));
    } else if (answer instanceof Effect.AcknowledgeHints) {
      text("answer hints");
    } else {
      throw unknown(answer);
    }
  }

  /** A failover goes into a trace file alone and has no wire form. */
  private void addTakeover(Effect.FailoverCompleted takeover) {
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
