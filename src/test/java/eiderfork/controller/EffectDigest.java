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
 * A SHA-256 digest of the effects that the controllers of a {@link SimulatedCluster} emit, each
 * with its time and node. An effect is hashed in its wire form, or without one as a fixed tag and
 * its values in a fixed order, so that the digest does not depend on names of types and fields.
 * Call ids are left out, because they are internal to a controller.
 */
final class EffectDigest {
  private final SimulatedCluster cluster;
  private final Hasher hasher = Hashing.sha256().newHasher();

  private EffectDigest(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Returns a digest of all effects that this cluster's controllers emit from now on. */
  static EffectDigest of(SimulatedCluster cluster) {
    EffectDigest digest = new EffectDigest(cluster);
    cluster.effectObserver = digest::add;
    return digest;
  }

  /** Ends the digest and returns it in hexadecimal digits. */
  String finish() {
    return hasher.hash().toString();
  }

  private void add(String node, Effect effect) {
    hasher.putLong(cluster.nowMs);
    putText(node);
    if (effect instanceof Effect.Call call) {
      hasher.putLong(call.timeoutMs());
      addCall(call);
    } else if (effect instanceof Effect.Response response) {
      hasher.putLong(response.ticket());
      addResponse(response);
    } else if (effect instanceof Effect.FailoverCompleted failover) {
      addFailover(failover);
    } else {
      throw unknownEffect(effect);
    }
  }

  private void addCall(Effect.Call call) {
    if (call instanceof Effect.CallStore storeCall) {
      addStoreRequest(StoreCodec.encodeRequest(storeCall.request()));
    } else if (call instanceof Effect.ListMachineTypes) {
      putMessage("types", CloudCodec.TYPES_PATH);
    } else if (call instanceof Effect.RentMachines rentCall) {
      putMessage("rent", CloudCodec.HOSTS_PATH, CloudCodec.encodeRent(rentCall.intent()));
    } else if (call instanceof Effect.ReturnMachines returnCall) {
      putMessage("return", CloudCodec.RETURN_PATH, CloudCodec.encodeReturn(returnCall.machines()));
    } else if (call instanceof Effect.ListMachines listCall) {
      putMessage("hosts", CloudCodec.hostsPath(listCall.after()));
    } else if (call instanceof Effect.SendCommands sendCall) {
      byte[] body =
          WorkerCodec.encodeCommands(
              sendCall.fencingToken(), sendCall.incarnation(), sendCall.commands());
      putMessage("commands", sendCall.address(), body);
    } else if (call instanceof Effect.InspectWorker inspectCall) {
      putMessage("inspect", inspectCall.address());
    } else {
      addPeerCall(call);
    }
  }

  private void addStoreRequest(StoreCodec.Request request) {
    putText("state");
    putText(request.method());
    putText(request.path());
    hasher.putBoolean(request.body() != null);
    if (request.body() != null) {
      putBytes(request.body());
    }
  }

  private void addPeerCall(Effect.Call call) {
    if (call instanceof Effect.PingPeer pingCall) {
      putMessage("peer ping", pingCall.node(), PeerStatusCodec.encodeStatus(pingCall.status()));
    } else if (call instanceof Effect.ForwardRequest requestCall) {
      putMessage(
          "peer request", requestCall.node(), ForwardingCodec.encodeRequest(requestCall.request()));
    } else if (call instanceof Effect.ForwardQueries queriesCall) {
      putMessage(
          "peer queries", queriesCall.node(), ForwardingCodec.encodeQueries(queriesCall.uids()));
    } else if (call instanceof Effect.SendHints hintsCall) {
      putMessage("peer hints", hintsCall.node(), MachineHintCodec.encodeHints(hintsCall.hints()));
    } else {
      throw unknownEffect(call);
    }
  }

  private void addResponse(Effect.Response response) {
    if (response instanceof Effect.RespondToUser userResponse) {
      putText("answer user");
      hasher.putInt(userResponse.response().status());
      hasher.putInt(userResponse.response().retryAfterS());
      putBytes(UserCodec.encodeAnswer(userResponse.response()));
    } else if (response instanceof Effect.RespondToHealthCheck healthResponse) {
      putText("answer health");
      putBytes(UserCodec.encodeHealth(healthResponse.healthy(), healthResponse.reason()));
    } else if (response instanceof Effect.RespondToWorker workerResponse) {
      putText("answer worker");
      putBytes(
          WorkerCodec.encodeHeartbeatResponse(
              workerResponse.fencingToken(), workerResponse.commands()));
    } else if (response instanceof Effect.RedirectWorker redirect) {
      putText("redirect worker");
      putBytes(WorkerCodec.encodeRedirect(redirect.leader()));
    } else {
      addPeerResponse(response);
    }
  }

  private void addPeerResponse(Effect.Response response) {
    if (response instanceof Effect.RespondToPing pingResponse) {
      putText("answer ping");
      putBytes(PeerStatusCodec.encodeStatus(pingResponse.status()));
    } else if (response instanceof Effect.RespondToQueries queriesResponse) {
      putText("answer queries");
      putBytes(ForwardingCodec.encodeAnswers(queriesResponse.responses()));
    } else if (response instanceof Effect.AcknowledgeHints) {
      putText("answer hints");
    } else {
      throw unknownEffect(response);
    }
  }

  /** Adds a failover by its values; it is written to a trace file only and has no wire form. */
  private void addFailover(Effect.FailoverCompleted failover) {
    putText("took over");
    hasher.putLong(failover.term());
    hasher.putInt(failover.phases().size());
    for (Effect.FailoverPhase phase : failover.phases()) {
      putText(phase.name());
      hasher.putLong(phase.fromMs());
      hasher.putLong(phase.toMs());
    }
  }

  private void putMessage(String tag, String to) {
    putText(tag);
    putText(to);
  }

  private void putMessage(String tag, String to, byte[] body) {
    putMessage(tag, to);
    putBytes(body);
  }

  private void putText(String text) {
    putBytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Adds the length before the bytes, so that different sequences of values hash differently. */
  private void putBytes(byte[] bytes) {
    hasher.putInt(bytes.length);
    hasher.putBytes(bytes);
  }

  private static IllegalStateException unknownEffect(Effect effect) {
    return new IllegalStateException("effect type is not covered by the digest: " + effect);
  }
}
