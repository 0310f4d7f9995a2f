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
 * A controller node on the network: one event loop that feeds a controller and carries out its
 * effects.
 */
public final class ControllerNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerNode.class);

  private static final long NANOS_PER_MS = 1_000_000;
  private static final long METRICS_LOG_INTERVAL_S = 60;
  private static final long HEAP_CHECK_INTERVAL_S = 1;

  /** The exit code where the controller failed. */
  private static final int EXIT_CONTROLLER_FAILED = 70;

  private final Settings settings;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final HttpClient client;
  private final Controller controller;
  private final EventLoopMetrics metrics = new EventLoopMetrics();
  private final FailoverTracer tracer;
  private final RequestRouter requests;
  private final CallSender calls;
  private final ResponseSender responses;

  /** Makes a node that does nothing until it is started. */
  public ControllerNode(Settings settings) {
    this.settings = settings;
    client = new HttpClient(loop, settings.controllerResources().maxOutboundConnections());
    tracer = FailoverTracer.of(settings.nodeName(), settings.operator().traceFile());
    controller = new Controller(settings, ThreadLocalRandom.current(), nowMs());
    OpenExchanges openExchanges = new OpenExchanges();
    requests = new RequestRouter(openExchanges, metrics, this::handle);
    calls = new CallSender(settings, loop, client, this::handle);
    responses = new ResponseSender(openExchanges, metrics);
  }

  private static long nowMs() {
    return System.nanoTime() / NANOS_PER_MS;
  }

  /** Opens the listening ports and starts the controller. */
  public void start() throws InterruptedException {
    int sockets = settings.controllerResources().sockets();
    new HttpServer(requests::onPublicRequest, sockets).listen(group, settings.publicEndpoint());
    new HttpServer(requests::onPeerRequest, sockets).listen(group, settings.peerListenEndpoint());
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
    HeapMonitor heap =
        new HeapMonitor(HeapMonitor.PROCESS_HEAP, settings.controllerResources().memoryMb());
    loop.scheduleWithFixedDelay(
        heap::collectIfNeeded, HEAP_CHECK_INTERVAL_S, HEAP_CHECK_INTERVAL_S, TimeUnit.SECONDS);
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
    tracer.close();
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
      // The state in memory can't be trusted any more; a fresh process rebuilds it.
      LOG.error("controller-failed input={}", input, e);
      Runtime.getRuntime().halt(EXIT_CONTROLLER_FAILED);
    }
  }

  private void execute(Effect effect) {
    if (effect instanceof Effect.Call call) {
      calls.send(call);
    } else if (effect instanceof Effect.Response response) {
      responses.send(response);
    } else if (effect instanceof Effect.FailoverCompleted failover) {
      tracer.trace(failover);
    } else {
      throw new IllegalArgumentException("unknown effect " + effect);
    }
  }
}
