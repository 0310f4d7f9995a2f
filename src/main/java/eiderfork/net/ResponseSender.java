package eiderfork.net;

import eiderfork.controller.message.Effect;
import eiderfork.controller.message.UserResponse;
import eiderfork.wire.ForwardingCodec;
import eiderfork.wire.HttpStatus;
import eiderfork.wire.PeerStatusCodec;
import eiderfork.wire.UserCodec;
import eiderfork.wire.WorkerCodec;

/** Sends the responses that the controller emits as effects. */
final class ResponseSender {
  private static final byte[] EMPTY_BODY = new byte[0];

  private final OpenExchanges openExchanges;
  private final EventLoopMetrics metrics;

  ResponseSender(OpenExchanges openExchanges, EventLoopMetrics metrics) {
    this.openExchanges = openExchanges;
    this.metrics = metrics;
  }

  /** Sends the response to the request with the effect's ticket. */
  void send(Effect.Response effect) {
    if (effect instanceof Effect.RespondToUser response) {
      respondToUser(response);
    } else if (effect instanceof Effect.RespondToHealthCheck response) {
      byte[] body = UserCodec.encodeHealth(response.healthy(), response.reason());
      respond(response, response.healthy() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE, body);
    } else if (effect instanceof Effect.RespondToWorker response) {
      byte[] body =
          WorkerCodec.encodeHeartbeatResponse(response.fencingToken(), response.commands());
      respond(response, HttpStatus.OK, body);
    } else if (effect instanceof Effect.RedirectWorker response) {
      respond(
          response, HttpStatus.MISDIRECTED_REQUEST, WorkerCodec.encodeRedirect(response.leader()));
    } else if (effect instanceof Effect.RespondToPing response) {
      respondToPeer(response, PeerStatusCodec.encodeStatus(response.status()));
    } else if (effect instanceof Effect.RespondToQueries response) {
      respondToPeer(response, ForwardingCodec.encodeAnswers(response.responses()));
    } else if (effect instanceof Effect.AcknowledgeHints response) {
      respondToPeer(response, EMPTY_BODY);
    } else {
      throw new IllegalArgumentException("unknown response " + effect);
    }
  }

  private void respondToUser(Effect.RespondToUser effect) {
    UserResponse response = effect.response();
    HttpServer.Exchange forwarded = openExchanges.takeForwarded(effect.ticket());
    if (forwarded != null) {
      respondToPeer(forwarded, ForwardingCodec.encodeAnswer(response));
      return;
    }
    openExchanges
        .take(effect.ticket())
        .respond(response.status(), UserCodec.encodeAnswer(response), response.retryAfterS());
  }

  private void respond(Effect.Response effect, int status, byte[] body) {
    openExchanges.take(effect.ticket()).respond(status, body, 0);
  }

  private void respondToPeer(Effect.Response effect, byte[] body) {
    respondToPeer(openExchanges.take(effect.ticket()), body);
  }

  private void respondToPeer(HttpServer.Exchange exchange, byte[] body) {
    metrics.recordPeerResponse(body.length);
    exchange.respond(HttpStatus.OK, body, 0);
  }
}
