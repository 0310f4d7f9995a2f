package eiderfork.net;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.MachineHintBatch;
import eiderfork.controller.message.PeerStatus;
import eiderfork.model.Heartbeat;
import eiderfork.model.Job;
import eiderfork.wire.ForwardingCodec;
import eiderfork.wire.HttpStatus;
import eiderfork.wire.MachineHintCodec;
import eiderfork.wire.MalformedMessageException;
import eiderfork.wire.PeerStatusCodec;
import eiderfork.wire.UserCodec;
import eiderfork.wire.WorkerCodec;

/** Decodes the requests to this node into inputs, and rejects invalid requests. */
final class RequestRouter {
  private final OpenExchanges openExchanges;
  private final EventLoopMetrics metrics;
  private final InputHandler inputHandler;

  RequestRouter(OpenExchanges openExchanges, EventLoopMetrics metrics, InputHandler inputHandler) {
    this.openExchanges = openExchanges;
    this.metrics = metrics;
    this.inputHandler = inputHandler;
  }

  /** Handles a request from a worker, a user or the load balancer. */
  void onPublicRequest(HttpServer.Exchange exchange) {
    try {
      routePublicRequest(exchange, pathWithoutQuery(exchange.path()));
    } catch (MalformedMessageException e) {
      reject(exchange, HttpStatus.BAD_REQUEST, e.getMessage());
    }
  }

  private static String pathWithoutQuery(String path) {
    int query = path.indexOf('?');
    return query < 0 ? path : path.substring(0, query);
  }

  private void routePublicRequest(HttpServer.Exchange exchange, String path)
      throws MalformedMessageException {
    if (path.equals(WorkerCodec.HEARTBEAT_PATH)) {
      onHeartbeat(exchange);
    } else if (path.equals(UserCodec.HEALTH_PATH)) {
      onHealthCheck(exchange);
    } else if (path.equals(UserCodec.JOBS_PATH)) {
      onSubmission(exchange);
    } else if (path.startsWith(UserCodec.JOBS_PATH + "/")) {
      onJobRequest(exchange, path.substring(UserCodec.JOBS_PATH.length() + 1));
    } else {
      reject(exchange, HttpStatus.NOT_FOUND, "no such path");
    }
  }

  private void onHeartbeat(HttpServer.Exchange exchange) throws MalformedMessageException {
    if (hasMethod(exchange, "POST")) {
      Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(exchange.body());
      inputHandler.handle(new Input.WorkerHeartbeat(openExchanges.open(exchange), heartbeat));
    }
  }

  private void onHealthCheck(HttpServer.Exchange exchange) {
    if (hasMethod(exchange, "GET")) {
      inputHandler.handle(new Input.HealthCheck(openExchanges.open(exchange)));
    }
  }

  private void onSubmission(HttpServer.Exchange exchange) throws MalformedMessageException {
    if (hasMethod(exchange, "POST")) {
      Job job = UserCodec.decodeJob(exchange.body());
      inputHandler.handle(new Input.Submit(openExchanges.open(exchange), job, exchange.body()));
    }
  }

  /** Handles a query or a cancellation of the job given by {@code rest}, the end of the path. */
  private void onJobRequest(HttpServer.Exchange exchange, String rest) {
    boolean isCancellation = rest.endsWith(UserCodec.CANCEL_SUFFIX);
    String uid =
        isCancellation ? rest.substring(0, rest.length() - UserCodec.CANCEL_SUFFIX.length()) : rest;
    if (uid.contains("/")) {
      reject(exchange, HttpStatus.NOT_FOUND, "no such path");
    } else if (hasMethod(exchange, isCancellation ? "POST" : "GET")) {
      if (!UserCodec.isJobId(uid)) {
        reject(exchange, HttpStatus.NOT_FOUND, "no such job");
      } else if (isCancellation) {
        inputHandler.handle(new Input.Cancel(openExchanges.open(exchange), uid));
      } else {
        inputHandler.handle(new Input.Query(openExchanges.open(exchange), uid));
      }
    }
  }

  /** Returns whether the request has the expected method; if not, rejects it. */
  private static boolean hasMethod(HttpServer.Exchange exchange, String expected) {
    if (exchange.method().equals(expected)) {
      return true;
    }
    reject(exchange, HttpStatus.METHOD_NOT_ALLOWED, "the method is " + expected);
    return false;
  }

  /** Handles a request from another controller. */
  void onPeerRequest(HttpServer.Exchange exchange) {
    metrics.recordPeerRequest(exchange.body().length);
    try {
      routePeerRequest(exchange);
    } catch (MalformedMessageException e) {
      reject(exchange, HttpStatus.BAD_REQUEST, e.getMessage());
    }
  }

  private void routePeerRequest(HttpServer.Exchange exchange) throws MalformedMessageException {
    byte[] body = exchange.body();
    switch (exchange.path()) {
      case PeerStatusCodec.PING_PATH -> {
        PeerStatus status = PeerStatusCodec.decodeStatus(body);
        inputHandler.handle(new Input.PeerPing(openExchanges.open(exchange), status));
      }
      case ForwardingCodec.QUERIES_PATH -> {
        ImmutableList<String> uids = ForwardingCodec.decodeQueries(body);
        inputHandler.handle(new Input.PeerQueries(openExchanges.open(exchange), uids));
      }
      case MachineHintCodec.HINTS_PATH -> {
        MachineHintBatch hints = MachineHintCodec.decodeHints(body);
        inputHandler.handle(new Input.PeerHints(openExchanges.open(exchange), hints));
      }
      case ForwardingCodec.REQUEST_PATH -> {
        Input request = ForwardingCodec.decodeRequest(body);
        inputHandler.handle(new Input.PeerRequest(openExchanges.openForwarded(exchange), request));
      }
      default -> reject(exchange, HttpStatus.NOT_FOUND, "no such path");
    }
  }

  private static void reject(HttpServer.Exchange exchange, int status, String error) {
    exchange.respond(status, UserCodec.encodeError(error), 0);
  }
}
