package eiderfork.net;

import eiderfork.config.OperatorSettings;
import eiderfork.config.Settings.Endpoint;
import eiderfork.config.SettingsParser;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs a controller for a moment against stand-ins that say the least that moves it through its
 * ordinary paths. The build records the classes that this loads, since on a sliver of a core
 * loading them is most of a start.
 */
public final class ClassDataTraining {
  /** One controller asks, over a handful of connections. */
  private static final int STUB_BACKLOG = 16;

  private static final long ROUNDS = 8;
  private static final long ROUND_PAUSE_MS = 150;
  private static final int MAX_ATTEMPTS = 5;

  private final AtomicLong revision = new AtomicLong(1);
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  private ClassDataTraining() {}

  /**
   * Runs the training run once.
   *
   * @throws Exception where the controller or a stand-in fails
   */
  public static void run() throws Exception {
    for (int left = MAX_ATTEMPTS; ; left--) {
      try {
        new ClassDataTraining().runOnce();
        return;
      } catch (IOException e) {
        // Another program took a port between the look for a free one and its use.
        if (left <= 1) {
          throw e;
        }
      }
    }
  }

  private void runOnce() throws Exception {
    Endpoint any = new Endpoint("127.0.0.1", 0);
    int services = localPort(new HttpServer(this::respondAsStub, STUB_BACKLOG).listen(group, any));
    int publicPort = findFreePort();
    int peerPort = findFreePort();
    String settings =
        """
        host_name = "roost-0"
        zone = "a"
        public_addr = "127.0.0.1:%1$d"
        peer_listen = "127.0.0.1:%2$d"
        [[others]]
        host_name = "roost-1"
        zone = "a"
        endpoint = "127.0.0.1:%2$d"
        [endpoints]
        cloud = "127.0.0.1:%3$d"
        state = "127.0.0.1:%3$d"
        [deployment]
        [[deployment.teams]]
        name = "team"
        [[deployment.objectives]]
        kind = "wait"
        class = "class"
        within_s = 2.0
        share = 0.9
        [deployment.workers]
        report_s = 0.2
        lease_s = 2.0
        cancel_s = 6.0
        [deployment.state]
        rps = 1000.0
        write_rps = 1000.0
        value_kb = 8.0
        txn_ops = 16
        [deployment.cloud]
        rps = 100.0
        list_lag_s = 0.1
        [deployment.resources]
        cpu_share = 0.2
        sockets = 600
        """
            .formatted(publicPort, peerPort, services);
    ControllerNode node =
        new ControllerNode(
            SettingsParser.parse("training-run", settings, OperatorSettings.DEFAULTS));
    node.start();
    HttpClient client = new HttpClient(group.next(), 1);
    Endpoint endpoint = new Endpoint("127.0.0.1", publicPort);
    for (int i = 1; i <= ROUNDS; i++) {
      Thread.sleep(ROUND_PAUSE_MS);
      String report =
          """
          {"Roost":"n-1","Addr":"127.0.0.1:%d","Breed":"t","Shore":"a","Driftwood":false,
          "Tenure":1,"Tally":%d,"Warrant":%d,"WarningS":null,
          "Hatchlings":[{"Hatchling":"run-1/1","Try":1,"Stance":"ended","Cause":"done"}]}"""
              .formatted(services, i, (1L << 24) + 1);
      sendAndAwait(client, endpoint, "POST", "/v1/report", report);
      String job =
          """
          {"Uid":"run-%d","Flock":"class","Crew":"team","Guise":"standing","Precedence":"high",
          "Hatchlings":2,"Cpus":1.0,"Gpus":0.0,"RamGb":1.0,"Breeds":["t"],"Shore":null,
          "Together":false,"Scatter":false,"Driftwood":false,"Plumage":"i","ImageGb":1.0,
          "ReckonS":0.0,"MoultS":0.0,"StowS":0.0,"DueS":null}"""
              .formatted(i);
      sendAndAwait(client, endpoint, "POST", "/v2/runs", job);
      sendAndAwait(client, endpoint, "GET", "/v2/runs/run-" + i, null);
      sendAndAwait(client, endpoint, "GET", "/healthz", null);
      sendAndAwait(client, endpoint, "POST", "/v2/runs/run-" + Math.max(1, i - 3) + "/abort", "{}");
    }
    node.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static void sendAndAwait(
      HttpClient client, Endpoint endpoint, String method, String path, String body)
      throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    client.send(endpoint, method, path, bytes, 1000, (status, responseBody) -> done.countDown());
    done.await(2, TimeUnit.SECONDS);
  }

  private static int localPort(io.netty.channel.Channel channel) {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private static int findFreePort() throws IOException {
    try (var socket = new java.net.ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private void respondAsStub(HttpServer.Exchange exchange) {
    String path = exchange.path();
    int status = 200;
    String body;
    if (path.startsWith("/keys/")) {
      status = 404;
      body = "{\"Ledger\":%d}".formatted(revision.get());
    } else if (path.startsWith("/keys?")) {
      body = "{\"Items\":[],\"HasNext\":false,\"Ledger\":%d}".formatted(revision.get());
    } else if (path.startsWith("/follow")) {
      // Left open, as a watch without changes is.
      return;
    } else if (path.startsWith("/leases")) {
      body = "{\"Tether\":1}";
    } else if (path.startsWith("/multi")) {
      body = "{\"Ledger\":%d}".formatted(revision.incrementAndGet());
    } else if (path.startsWith("/flavors")) {
      body =
          """
          {"Breeds":[{"Label":"t","Cpus":8,"Gpus":0,"RamGb":8,"LocalGb":10,"PullGbPerS":1.0,
          "Rate":1.0,"MarketPrice":0.5,"ReadyS":1,"Shores":["a"]}]}""";
    } else if (path.startsWith("/hosts/return")) {
      body = "{}";
    } else if (path.startsWith("/hosts?")) {
      body =
          """
          {"Roosts":[{"Uid":"n-1","Addr":"127.0.0.1:1","Breed":"t","Shore":"a",
          "Driftwood":false,"Stance":"running","AgeS":1.5}],"HasNext":false}""";
    } else if (path.startsWith("/hosts")) {
      status = 503;
      body = "{\"error\":\"no capacity\"}";
    } else {
      body =
          """
          {"Roost":"n-1","Addr":"127.0.0.1:1","Breed":"t","Shore":"a","Driftwood":false,
          "Tenure":1,"Tally":%d,"Warrant":%d,"Hatchlings":[]}"""
              .formatted(1000 + revision.incrementAndGet(), (1L << 24) + 1);
    }
    exchange.respond(status, body.getBytes(StandardCharsets.UTF_8), 0);
  }
}
