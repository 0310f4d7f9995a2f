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

  private static final byte[] NOTHING = new byte[0];
  private static final long NANOS_PER_MS = 1_000_000;

  /** How often it is told what the event loop's time goes into. */
  private static final long TELL_S = 60;

  private final Settings settings;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final HttpClient client;
  private final Controller controller;
  private final EventLoopMetrics meter = new EventLoopMetrics();
  private final FailoverTracer tracer;
  private final Long2ObjectOpenHashMap<HttpServer.Exchange> open = new Long2ObjectOpenHashMap<>();
  private long tickets;

  /** Requests that a peer passed on; they are answered in the peers' format. */
  private final Long2ObjectOpenHashMap<HttpServer.Exchange> passedOn =
      new Long2ObjectOpenHashMap<>();

  /** Makes a node that does nothing until it is started. */
  public ControllerNode(Settings settings) {
    this.settings = settings;
    client = new HttpClient(loop, settings.controller().outbound());
    tracer = FailoverTracer.of(settings.node(), settings.operator().traceFile());
    controller = new Controller(settings, ThreadLocalRandom.current(), nowMs());
  }

  private static long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /** Opens the listening ports and starts the controller. */
  public void start() throws InterruptedException {
    new HttpServer(this::publicRequest, settings.controller().sockets())
        .listen(group, settings.listen());
    new HttpServer(this::peerRequest, settings.controller().sockets())
        .listen(group, settings.peerListen());
    long tickMs = Math.max(1, controller.tickMs());
    loop.scheduleWithFixedDelay(this::tick, 0, tickMs, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        client::sweep, 1, (long) settings.workers().leaseS(), TimeUnit.SECONDS);
    HeapMonitor heap = new HeapMonitor(HeapMonitor.OWN, settings.controller().memoryMb());
    loop.scheduleWithFixedDelay(heap::check, 1, 1, TimeUnit.SECONDS);
    loop.scheduleWithFixedDelay(
        () -> LOG.info("work of the last minute: {}", meter.tell()),
        TELL_S,
        TELL_S,
        TimeUnit.SECONDS);
    LOG.info("{} listens on {}", settings.node(), settings.listen());
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
    take(new Input.Tick());
  }

  private void take(Input input) {
    long beganNs = System.nanoTime();
    try {
      for (Effect effect : controller.take(beganNs / NANOS_PER_MS, input)) {
        carryOut(effect);
      }
      meter.took(input, System.nanoTime() - beganNs);
    } catch (RuntimeException e) {
      // The state in memory can't be trusted any more; a fresh process rebuilds it.
      LOG.error("controller-failed input={}", input, e);
      Runtime.getRuntime().halt(70);
    }
  }

  // Requests to this node.

  private long ticket(HttpServer.Exchange exchange) {
    open.put(++tickets, exchange);
    return tickets;
  }

  private static void refuse(HttpServer.Exchange exchange, int status, String error) {
    exchange.answer(status, UserCodec.error(error), 0);
  }

  private void publicRequest(HttpServer.Exchange exchange) {
    int query = exchange.path.indexOf('?');
    String path = query < 0 ? exchange.path : exchange.path.substring(0, query);
    try {
      if (path.equals(WorkerCodec.REPORT)) {
        if (method(exchange, "POST")) {
          var report = WorkerCodec.report(exchange.body);
          take(new Input.WorkerReport(ticket(exchange), report));
        }
      } else if (path.equals(UserCodec.HEALTH)) {
        if (method(exchange, "GET")) {
          take(new Input.HealthCheck(ticket(exchange)));
        }
      } else if (path.equals(UserCodec.RUNS)) {
        if (method(exchange, "POST")) {
          Job job = UserCodec.job(exchange.body);
          take(new Input.Submit(ticket(exchange), job, exchange.body));
        }
      } else if (path.startsWith(UserCodec.RUNS + "/")) {
        jobRequest(exchange, path.substring(UserCodec.RUNS.length() + 1));
      } else {
        refuse(exchange, 404, "no such path");
      }
    } catch (MalformedMessageException e) {
      refuse(exchange, 400, e.getMessage());
    }
  }

  private void jobRequest(HttpServer.Exchange exchange, String rest) {
    boolean abort = rest.endsWith(UserCodec.ABORT);
    String uid = abort ? rest.substring(0, rest.length() - UserCodec.ABORT.length()) : rest;
    if (uid.contains("/")) {
      refuse(exchange, 404, "no such path");
    } else if (method(exchange, abort ? "POST" : "GET")) {
      if (!UserCodec.isUid(uid)) {
        refuse(exchange, 404, "no such job");
      } else if (abort) {
        take(new Input.Abort(ticket(exchange), uid));
      } else {
        take(new Input.Query(ticket(exchange), uid));
      }
    }
  }

  private static boolean method(HttpServer.Exchange exchange, String expected) {
    if (exchange.method.equals(expected)) {
      return true;
    }
    refuse(exchange, 405, "the method is " + expected);
    return false;
  }

  private void peerRequest(HttpServer.Exchange exchange) {
    meter.peerAsked(exchange.body.length);
    try {
      if (exchange.path.equals(PeerCodec.PING)) {
        var view = PeerCodec.view(exchange.body);
        take(new Input.PeerPing(ticket(exchange), view));
      } else if (exchange.path.equals(PeerCodec.QUERIES)) {
        var uids = PeerCodec.queries(exchange.body);
        take(new Input.PeerQueries(ticket(exchange), uids));
      } else if (exchange.path.equals(PeerCodec.HINTS)) {
        var hints = PeerCodec.hints(exchange.body);
        take(new Input.PeerHints(ticket(exchange), hints));
      } else if (exchange.path.equals(PeerCodec.REQUEST)) {
        Input request = PeerCodec.request(exchange.body);
        passedOn.put(++tickets, exchange);
        take(new Input.PeerRequest(tickets, request));
      } else {
        refuse(exchange, 404, "no such path");
      }
    } catch (MalformedMessageException e) {
      refuse(exchange, 400, e.getMessage());
    }
  }

  // Effects.

  private void carryOut(Effect effect) {
    if (effect instanceof Effect.AskState it) {
      StoreCodec.Request request = StoreCodec.request(it.op());
      ask(
          it,
          settings.state(),
          request.method(),
          request.path(),
          request.body(),
          (status, body) -> StoreCodec.reply(it.op(), status, body));
    } else if (effect instanceof Effect.AskTypes it) {
      ask(it, settings.cloud(), "GET", CloudCodec.TYPES, null, CloudCodec::types);
    } else if (effect instanceof Effect.AskRent it) {
      byte[] body = CloudCodec.rent(it.rent());
      ask(it, settings.cloud(), "POST", CloudCodec.HOSTS, body, CloudCodec::rented);
    } else if (effect instanceof Effect.AskReturn it) {
      byte[] body = CloudCodec.giveBack(it.machines());
      ask(
          it,
          settings.cloud(),
          "POST",
          CloudCodec.RETURN,
          body,
          (status, said) -> CloudCodec.returned(status));
    } else if (effect instanceof Effect.AskHosts it) {
      ask(it, settings.cloud(), "GET", CloudCodec.hostsPath(it.after()), null, CloudCodec::hosts);
    } else if (effect instanceof Effect.AskCommands it) {
      byte[] body = WorkerCodec.commands(it.token(), it.session(), it.commands());
      ask(it, endpoint(it.addr()), "POST", WorkerCodec.COMMANDS, body, ControllerNode::workerSays);
    } else if (effect instanceof Effect.AskInspect it) {
      ask(it, endpoint(it.addr()), "GET", WorkerCodec.INSPECT, null, ControllerNode::workerSays);
    } else if (effect instanceof Effect.AskPeerPing it) {
      byte[] body = PeerCodec.view(it.view());
      ask(
          it,
          settings.peers().get(it.node()),
          "POST",
          PeerCodec.PING,
          body,
          ControllerNode::peerSays);
    } else if (effect instanceof Effect.AskPeerRequest it) {
      byte[] body = PeerCodec.request(it.request());
      ask(
          it,
          settings.peers().get(it.node()),
          "POST",
          PeerCodec.REQUEST,
          body,
          ControllerNode::peerAnswered);
    } else if (effect instanceof Effect.AskPeerQueries it) {
      byte[] body = PeerCodec.queries(it.uids());
      ask(
          it,
          settings.peers().get(it.node()),
          "POST",
          PeerCodec.QUERIES,
          body,
          ControllerNode::peerAnsweredAll);
    } else if (effect instanceof Effect.AskPeerHints it) {
      byte[] body = PeerCodec.hints(it.hints());
      ask(
          it,
          settings.peers().get(it.node()),
          "POST",
          PeerCodec.HINTS,
          body,
          ControllerNode::peerTookHints);
    } else if (effect instanceof Effect.TookOver it) {
      tracer.trace(it);
    } else {
      answer(effect);
    }
  }

  private void answer(Effect effect) {
    if (effect instanceof Effect.AnswerUser it) {
      UserResponse answer = it.answer();
      HttpServer.Exchange peer = passedOn.remove(it.ticket());
      if (peer != null) {
        answerPeer(peer, PeerCodec.answer(answer));
      } else {
        HttpServer.Exchange user = open.remove(it.ticket());
        user.answer(answer.status(), UserCodec.body(answer), answer.retryAfterS());
      }
    } else if (effect instanceof Effect.AnswerPeerQueries it) {
      answerPeer(open.remove(it.ticket()), PeerCodec.answers(it.answers()));
    } else if (effect instanceof Effect.AnswerPeerHints it) {
      answerPeer(open.remove(it.ticket()), NOTHING);
    } else if (effect instanceof Effect.AnswerHealth it) {
      byte[] body = UserCodec.health(it.healthy(), it.why());
      open.remove(it.ticket()).answer(it.healthy() ? 200 : 503, body, 0);
    } else if (effect instanceof Effect.AnswerWorker it) {
      open.remove(it.ticket()).answer(200, WorkerCodec.answer(it.token(), it.commands()), 0);
    } else if (effect instanceof Effect.RedirectWorker it) {
      open.remove(it.ticket()).answer(421, WorkerCodec.redirect(it.leader()), 0);
    } else if (effect instanceof Effect.AnswerPing it) {
      answerPeer(open.remove(it.ticket()), PeerCodec.view(it.view()));
    }
  }

  private void answerPeer(HttpServer.Exchange peer, byte[] body) {
    meter.peerAnswered(body.length);
    peer.answer(200, body, 0);
  }

  private interface Reader {
    Reply read(int status, byte[] body) throws MalformedMessageException;
  }

  private void ask(
      Effect.Call call, Endpoint to, String method, String path, byte[] body, Reader reader) {
    if (to == null) {
      loop.execute(() -> take(new Input.Answered(call.call(), new Reply.Unanswered())));
      return;
    }
    client.send(
        to,
        method,
        path,
        body,
        call.timeoutMs(),
        (status, said) -> {
          Reply reply;
          try {
            reply = read(status, said, reader);
          } catch (MalformedMessageException e) {
            LOG.info("{} {} of {} said {}: {}", method, path, to, status, e.getMessage());
            reply = new Reply.Unanswered();
          }
          take(new Input.Answered(call.call(), reply));
        });
  }

  private static Reply read(int status, byte[] said, Reader reader)
      throws MalformedMessageException {
    return switch (status) {
      case 0 -> new Reply.Unanswered();
      case HttpClient.OVERSIZED -> new Reply.Oversized();
      default -> reader.read(status, said);
    };
  }

  private static Reply workerSays(int status, byte[] body) throws MalformedMessageException {
    if (status != 200 && status != 409) {
      return new Reply.Refused(status);
    }
    return new Reply.WorkerAnswer(status == 200, WorkerCodec.report(body));
  }

  private static Reply peerSays(int status, byte[] body) throws MalformedMessageException {
    return status == 200 ? new Reply.PeerPong(PeerCodec.view(body)) : new Reply.Refused(status);
  }

  private static Reply peerAnswered(int status, byte[] body) throws MalformedMessageException {
    return status == 200 ? PeerCodec.answer(body) : new Reply.Refused(status);
  }

  private static Reply peerTookHints(int status, byte[] body) {
    return status == 200 ? new Reply.PeerTookHints() : new Reply.Refused(status);
  }

  private static Reply peerAnsweredAll(int status, byte[] body) throws MalformedMessageException {
    return status == 200 ? PeerCodec.answers(body) : new Reply.Refused(status);
  }

  private static Endpoint endpoint(String addr) {
    int colon = addr.lastIndexOf(':');
    try {
      return new Endpoint(addr.substring(0, colon), Integer.parseInt(addr.substring(colon + 1)));
    } catch (NumberFormatException | IndexOutOfBoundsException e) {
      return null;
    }
  }
}
