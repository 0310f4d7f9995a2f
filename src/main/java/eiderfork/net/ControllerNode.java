package eiderfork.net;

import eiderfork.config.Settings;
import eiderfork.config.Settings.Endpoint;
import eiderfork.controller.Controller;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.UserResponse;
import eiderfork.model.Job;
import eiderfork.wire.CloudCodec;
import eiderfork.wire.MalformedMessageException;
import eiderfork.wire.PeerCodec;
import eiderfork.wire.StoreCodec;
import eiderfork.wire.UserCodec;
import eiderfork.wire.WorkerCodec;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller node on the network: one event loop that feeds a controller and carries out its
 * effects.
 */
public final class ControllerNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerNode.class);

  private static final byte[] EMPTY_BODY = new byte[0];
  private static final long NANOS_PER_MS = 1_000_000;

  /** How often it is told what the event loop's time goes into. */
  private static final long METRICS_LOG_INTERVAL_S = 60;

  private final Settings settings;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final HttpClient client;
  private final Controller controller;
  private final EventLoopMetrics metrics = new EventLoopMetrics();
  private final FailoverTracer tracer;
  private final Long2ObjectOpenHashMap<HttpServer.Exchange> openExchanges =
      new Long2ObjectOpenHashMap<>();
  private long lastTicket;

  /** Requests that a peer passed on; they are answered in the peers' format. */
  private final Long2ObjectOpenHashMap<HttpServer.Exchange> forwardedExchanges =
      new Long2ObjectOpenHashMap<>();

  /** Makes a node that does nothing until it is started. */
  public ControllerNode(Settings settings) {
    this.settings = settings;
    client = new HttpClient(loop, settings.controllerResources().maxOutboundConnections());
    tracer = FailoverTracer.of(settings.nodeName(), settings.operator().traceFile());
    controller = new Controller(settings, ThreadLocalRandom.current(), nowMs());
  }

  private static long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /** Opens the listening ports and starts the controller. */
  public void start() throws InterruptedException {
    new HttpServer(this::onPublicRequest, settings.controllerResources().sockets())
        .listen(group, settings.publicEndpoint());
    new HttpServer(this::onPeerRequest, settings.controllerResources().sockets())
        .listen(group, settings.peerListenEndpoint());
    long tickMs = Math.max(1, controller.tickIntervalMs());
    loop.scheduleWithFixedDelay(this::tick, 0, tickMs, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        client::closeExpired, 1, (long) settings.workerTimings().leaseS(), TimeUnit.SECONDS);
    HeapMonitor heap =
        new HeapMonitor(HeapMonitor.PROCESS_HEAP, settings.controllerResources().memoryMb());
    loop.scheduleWithFixedDelay(heap::collectIfNeeded, 1, 1, TimeUnit.SECONDS);
    loop.scheduleWithFixedDelay(
        () -> LOG.info("work of the last minute: {}", metrics.takeSummary()),
        METRICS_LOG_INTERVAL_S,
        METRICS_LOG_INTERVAL_S,
        TimeUnit.SECONDS);
    LOG.info("{} listens on {}", settings.nodeName(), settings.publicEndpoint());
  }

  /** Waits until the node is closed. */
  public void await() throws InterruptedException {
    group.terminationFuture().await();
  }

  @Override
  public void close() {
    tracer.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void tick() {
    handle(new Input.Tick());
  }

  private void handle(Input input) {
    long beganNs = System.nanoTime();
    try {
      for (Effect effect : controller.handle(beganNs / NANOS_PER_MS, input)) {
        execute(effect);
      }
      metrics.recordInput(input, System.nanoTime() - beganNs);
    } catch (RuntimeException e) {
      // The state in memory can't be trusted any more; a fresh process rebuilds it.
      LOG.error("controller-failed input={}", input, e);
      Runtime.getRuntime().halt(70);
    }
  }

  // Requests to this node.

  private long openTicket(HttpServer.Exchange exchange) {
    openExchanges.put(++lastTicket, exchange);
    return lastTicket;
  }

  private static void reject(HttpServer.Exchange exchange, int status, String error) {
    exchange.respond(status, UserCodec.encodeError(error), 0);
  }

  private void onPublicRequest(HttpServer.Exchange exchange) {
    int query = exchange.path.indexOf('?');
    String path = query < 0 ? exchange.path : exchange.path.substring(0, query);
    try {
      if (path.equals(WorkerCodec.REPORT_PATH)) {
        if (requireMethod(exchange, "POST")) {
          var heartbeat = WorkerCodec.decodeReport(exchange.body);
          handle(new Input.WorkerReport(openTicket(exchange), heartbeat));
        }
      } else if (path.equals(UserCodec.HEALTH_PATH)) {
        if (requireMethod(exchange, "GET")) {
          handle(new Input.HealthCheck(openTicket(exchange)));
        }
      } else if (path.equals(UserCodec.JOBS_PATH)) {
        if (requireMethod(exchange, "POST")) {
          Job job = UserCodec.decodeJob(exchange.body);
          handle(new Input.Submit(openTicket(exchange), job, exchange.body));
        }
      } else if (path.startsWith(UserCodec.JOBS_PATH + "/")) {
        onJobRequest(exchange, path.substring(UserCodec.JOBS_PATH.length() + 1));
      } else {
        reject(exchange, 404, "no such path");
      }
    } catch (MalformedMessageException e) {
      reject(exchange, 400, e.getMessage());
    }
  }

  private void onJobRequest(HttpServer.Exchange exchange, String rest) {
    boolean abort = rest.endsWith(UserCodec.CANCEL_SUFFIX);
    String uid = abort ? rest.substring(0, rest.length() - UserCodec.CANCEL_SUFFIX.length()) : rest;
    if (uid.contains("/")) {
      reject(exchange, 404, "no such path");
    } else if (requireMethod(exchange, abort ? "POST" : "GET")) {
      if (!UserCodec.isJobId(uid)) {
        reject(exchange, 404, "no such job");
      } else if (abort) {
        handle(new Input.Abort(openTicket(exchange), uid));
      } else {
        handle(new Input.Query(openTicket(exchange), uid));
      }
    }
  }

  private static boolean requireMethod(HttpServer.Exchange exchange, String expected) {
    if (exchange.method.equals(expected)) {
      return true;
    }
    reject(exchange, 405, "the method is " + expected);
    return false;
  }

  private void onPeerRequest(HttpServer.Exchange exchange) {
    metrics.recordPeerRequest(exchange.body.length);
    try {
      if (exchange.path.equals(PeerCodec.PING_PATH)) {
        var status = PeerCodec.view(exchange.body);
        handle(new Input.PeerPing(openTicket(exchange), status));
      } else if (exchange.path.equals(PeerCodec.QUERIES_PATH)) {
        var uids = PeerCodec.queries(exchange.body);
        handle(new Input.PeerQueries(openTicket(exchange), uids));
      } else if (exchange.path.equals(PeerCodec.HINTS_PATH)) {
        var hints = PeerCodec.hints(exchange.body);
        handle(new Input.PeerHints(openTicket(exchange), hints));
      } else if (exchange.path.equals(PeerCodec.REQUEST_PATH)) {
        Input request = PeerCodec.request(exchange.body);
        forwardedExchanges.put(++lastTicket, exchange);
        handle(new Input.PeerRequest(lastTicket, request));
      } else {
        reject(exchange, 404, "no such path");
      }
    } catch (MalformedMessageException e) {
      reject(exchange, 400, e.getMessage());
    }
  }

  // Effects.

  private void execute(Effect effect) {
    if (effect instanceof Effect.CallStore it) {
      StoreCodec.Request request = StoreCodec.encodeRequest(it.request());
      send(
          it,
          settings.storeEndpoint(),
          request.method(),
          request.path(),
          request.body(),
          (status, body) -> StoreCodec.decodeReply(it.request(), status, body));
    } else if (effect instanceof Effect.ListMachineTypes it) {
      send(
          it,
          settings.cloudEndpoint(),
          "GET",
          CloudCodec.TYPES_PATH,
          null,
          CloudCodec::decodeTypes);
    } else if (effect instanceof Effect.RentMachines it) {
      byte[] body = CloudCodec.encodeRent(it.rent());
      send(
          it,
          settings.cloudEndpoint(),
          "POST",
          CloudCodec.HOSTS_PATH,
          body,
          CloudCodec::decodeRentReply);
    } else if (effect instanceof Effect.ReturnMachines it) {
      byte[] body = CloudCodec.encodeReturn(it.machines());
      send(
          it,
          settings.cloudEndpoint(),
          "POST",
          CloudCodec.RETURN_PATH,
          body,
          (status, responseBody) -> CloudCodec.decodeReturnReply(status));
    } else if (effect instanceof Effect.ListHosts it) {
      send(
          it,
          settings.cloudEndpoint(),
          "GET",
          CloudCodec.hostsPath(it.after()),
          null,
          CloudCodec::decodeHosts);
    } else if (effect instanceof Effect.FailoverCompleted it) {
      tracer.trace(it);
    } else if (effect instanceof Effect.Call) {
      callWorkerOrPeer(effect);
    } else {
      respond(effect);
    }
  }

  private void callWorkerOrPeer(Effect effect) {
    if (effect instanceof Effect.SendCommands it) {
      byte[] body = WorkerCodec.encodeCommands(it.fencingToken(), it.incarnation(), it.commands());
      send(
          it,
          parseEndpoint(it.address()),
          "POST",
          WorkerCodec.COMMANDS_PATH,
          body,
          ControllerNode::decodeWorkerReply);
    } else if (effect instanceof Effect.InspectWorker it) {
      send(
          it,
          parseEndpoint(it.address()),
          "GET",
          WorkerCodec.INSPECT_PATH,
          null,
          ControllerNode::decodeWorkerReply);
    } else if (effect instanceof Effect.PingPeer it) {
      byte[] body = PeerCodec.view(it.status());
      send(
          it,
          settings.peerEndpoints().get(it.node()),
          "POST",
          PeerCodec.PING_PATH,
          body,
          ControllerNode::decodePong);
    } else if (effect instanceof Effect.ForwardRequest it) {
      byte[] body = PeerCodec.request(it.request());
      send(
          it,
          settings.peerEndpoints().get(it.node()),
          "POST",
          PeerCodec.REQUEST_PATH,
          body,
          ControllerNode::decodePeerAnswer);
    } else if (effect instanceof Effect.ForwardQueries it) {
      byte[] body = PeerCodec.queries(it.uids());
      send(
          it,
          settings.peerEndpoints().get(it.node()),
          "POST",
          PeerCodec.QUERIES_PATH,
          body,
          ControllerNode::decodePeerAnswers);
    } else if (effect instanceof Effect.SendHints it) {
      byte[] body = PeerCodec.hints(it.hints());
      send(
          it,
          settings.peerEndpoints().get(it.node()),
          "POST",
          PeerCodec.HINTS_PATH,
          body,
          ControllerNode::decodeHintsReply);
    }
  }

  private void respond(Effect effect) {
    if (effect instanceof Effect.RespondToUser it) {
      UserResponse response = it.response();
      HttpServer.Exchange peer = forwardedExchanges.remove(it.ticket());
      if (peer != null) {
        respondToPeer(peer, PeerCodec.answer(response));
      } else {
        HttpServer.Exchange user = openExchanges.remove(it.ticket());
        user.respond(response.status(), UserCodec.encodeAnswer(response), response.retryAfterS());
      }
    } else if (effect instanceof Effect.RespondToQueries it) {
      respondToPeer(openExchanges.remove(it.ticket()), PeerCodec.answers(it.responses()));
    } else if (effect instanceof Effect.AcknowledgeHints it) {
      respondToPeer(openExchanges.remove(it.ticket()), EMPTY_BODY);
    } else if (effect instanceof Effect.RespondToHealthCheck it) {
      byte[] body = UserCodec.encodeHealth(it.healthy(), it.reason());
      openExchanges.remove(it.ticket()).respond(it.healthy() ? 200 : 503, body, 0);
    } else if (effect instanceof Effect.RespondToWorker it) {
      openExchanges
          .remove(it.ticket())
          .respond(200, WorkerCodec.encodeReportResponse(it.fencingToken(), it.commands()), 0);
    } else if (effect instanceof Effect.RedirectWorker it) {
      openExchanges.remove(it.ticket()).respond(421, WorkerCodec.encodeRedirect(it.leader()), 0);
    } else if (effect instanceof Effect.RespondToPing it) {
      respondToPeer(openExchanges.remove(it.ticket()), PeerCodec.view(it.status()));
    }
  }

  private void respondToPeer(HttpServer.Exchange peer, byte[] body) {
    metrics.recordPeerResponse(body.length);
    peer.respond(200, body, 0);
  }

  private interface ReplyDecoder {
    Reply decode(int status, byte[] body) throws MalformedMessageException;
  }

  private void send(
      Effect.Call call,
      Endpoint endpoint,
      String method,
      String path,
      byte[] body,
      ReplyDecoder reader) {
    if (endpoint == null) {
      loop.execute(() -> handle(new Input.Answered(call.callId(), new Reply.Unanswered())));
      return;
    }
    client.send(
        endpoint,
        method,
        path,
        body,
        call.timeoutMs(),
        (status, responseBody) -> {
          Reply reply;
          try {
            reply = decode(status, responseBody, reader);
          } catch (MalformedMessageException e) {
            LOG.info("{} {} of {} said {}: {}", method, path, endpoint, status, e.getMessage());
            reply = new Reply.Unanswered();
          }
          handle(new Input.Answered(call.callId(), reply));
        });
  }

  private static Reply decode(int status, byte[] responseBody, ReplyDecoder reader)
      throws MalformedMessageException {
    return switch (status) {
      case 0 -> new Reply.Unanswered();
      case HttpClient.STATUS_OVERSIZED -> new Reply.Oversized();
      default -> reader.decode(status, responseBody);
    };
  }

  private static Reply decodeWorkerReply(int status, byte[] body) throws MalformedMessageException {
    if (status != 200 && status != 409) {
      return new Reply.Refused(status);
    }
    return new Reply.WorkerReply(status == 200, WorkerCodec.decodeReport(body));
  }

  private static Reply decodePong(int status, byte[] body) throws MalformedMessageException {
    return status == 200 ? new Reply.PeerPong(PeerCodec.view(body)) : new Reply.Refused(status);
  }

  private static Reply decodePeerAnswer(int status, byte[] body) throws MalformedMessageException {
    return status == 200 ? PeerCodec.answer(body) : new Reply.Refused(status);
  }

  private static Reply decodeHintsReply(int status, byte[] body) {
    return status == 200 ? new Reply.HintsAcknowledged() : new Reply.Refused(status);
  }

  private static Reply decodePeerAnswers(int status, byte[] body) throws MalformedMessageException {
    return status == 200 ? PeerCodec.answers(body) : new Reply.Refused(status);
  }

  private static Endpoint parseEndpoint(String addr) {
    int colon = addr.lastIndexOf(':');
    try {
      return new Endpoint(addr.substring(0, colon), Integer.parseInt(addr.substring(colon + 1)));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      return null;
    }
  }
}
