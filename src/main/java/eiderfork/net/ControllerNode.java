package eiderfork.net;

import eiderfork.config.Settings;
import eiderfork.controller.Controller;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller with its network connections: a single event loop passes inputs to the controller
 * and executes its effects.
 */
public final class ControllerNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerNode.class);

  private static final long NANOS_PER_MS = 1_000_000;
  private static final long METRICS_LOG_INTERVAL_S = 60;
  private static final long HEAP_CHECK_INTERVAL_S = 1;

  /** Exit code of the process after an unexpected exception in the controller. */
  private static final int EXIT_CONTROLLER_FAILED = 70;

  private final Settings settings;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final HttpClient client;
  private final Controller controller;
  private final EventLoopMetrics metrics = new EventLoopMetrics();
  private final FailoverTracer failoverTracer;
  private final RequestRouter requestRouter;
  private final CallSender callSender;
  private final ResponseSender responseSender;

  /** Creates a node; it opens no ports and handles no inputs before {@link #start}. */
  public ControllerNode(Settings settings) {
    this.settings = settings;
    client = new HttpClient(loop, settings.controllerResources().maxOutboundConnections());
    failoverTracer = FailoverTracer.of(settings.nodeName(), settings.operator().traceFile());
    controller = new Controller(settings, ThreadLocalRandom.current(), nowMs());
    OpenExchanges openExchanges = new OpenExchanges();
    requestRouter = new RequestRouter(openExchanges, metrics, this::handle);
    callSender = new CallSender(settings, loop, client, this::handle);
    responseSender = new ResponseSender(openExchanges, metrics);
  }

  private static long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /** Opens the listening ports and starts the controller. */
  public void start() throws InterruptedException {
    int sockets = settings.controllerResources().sockets();
    new HttpServer(requestRouter::onPublicRequest, sockets)
        .listen(group, settings.publicEndpoint());
    new HttpServer(requestRouter::onPeerRequest, sockets)
        .listen(group, settings.peerListenEndpoint());
    scheduleTicks();
    scheduleHousekeeping();
    LOG.info("listening node={} endpoint={}", settings.nodeName(), settings.publicEndpoint());
  }

  private void scheduleTicks() {
    long tickMs = Math.max(1, controller.tickIntervalMs());
    loop.scheduleWithFixedDelay(() -> handle(new Input.Tick()), 0, tickMs, TimeUnit.MILLISECONDS);
  }

  private void scheduleHousekeeping() {
    long leaseS = (long) settings.workerTimings().leaseS();
    loop.scheduleWithFixedDelay(client::closeExpired, 1, leaseS, TimeUnit.SECONDS);
    HeapMonitor heapMonitor =
        new HeapMonitor(HeapMonitor.PROCESS_HEAP, settings.controllerResources().memoryMb());
    loop.scheduleWithFixedDelay(
        heapMonitor::collectIfNeeded,
        HEAP_CHECK_INTERVAL_S,
        HEAP_CHECK_INTERVAL_S,
        TimeUnit.SECONDS);
    loop.scheduleWithFixedDelay(
        () -> LOG.info("event-loop-metrics {}", metrics.takeSummary()),
        METRICS_LOG_INTERVAL_S,
        METRICS_LOG_INTERVAL_S,
        TimeUnit.SECONDS);
  }

  /** Waits until the node is closed. */
  public void await() throws InterruptedException {
    group.terminationFuture().await();
  }

  @Override
  public void close() {
    failoverTracer.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void handle(Input input) {
    long startedNs = System.nanoTime();
    try {
      for (Effect effect : controller.handle(startedNs / NANOS_PER_MS, input)) {
        execute(effect);
      }
      metrics.recordInput(input, System.nanoTime() - startedNs);
    } catch (RuntimeException e) {
      // The in-memory state may be inconsistent; a new process rebuilds it.
      LOG.error("controller-failed input={}", input, e);
      Runtime.getRuntime().halt(EXIT_CONTROLLER_FAILED);
    }
  }

  private void execute(Effect effect) {
    if (effect instanceof Effect.Call call) {
      callSender.send(call);
    } else if (effect instanceof Effect.Response response) {
      responseSender.send(response);
    } else if (effect instanceof Effect.FailoverCompleted failover) {
      failoverTracer.trace(failover);
    } else {
      throw new IllegalArgumentException("unknown effect " + effect);
    }
  }
}
