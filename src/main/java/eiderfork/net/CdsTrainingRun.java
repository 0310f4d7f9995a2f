package eiderfork.net;

import eiderfork.config.InvalidSettingsException;
import eiderfork.config.OperatorSettings;
import eiderfork.config.Settings;
import eiderfork.config.Settings.Endpoint;
import eiderfork.config.SettingsParser;
import io.netty.channel.Channel;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Training run for class data sharing (CDS): runs a controller briefly against stub services,
 * through its ordinary code paths. The build puts the classes that this loads into the CDS archive,
 * because loading them takes most of the startup time on a small share of a core.
 */
public final class CdsTrainingRun {
  private static final int STUB_BACKLOG = 16;
  private static final int ROUNDS = 8;
  private static final long ROUND_PAUSE_MS = 150;
  private static final int MAX_ATTEMPTS = 5;
  private static final long REQUEST_TIMEOUT_MS = 1000;
  private static final long RESPONSE_WAIT_S = 2;

  /** Number of rounds between the submission of a job and its cancellation. */
  private static final int CANCEL_AFTER_ROUNDS = 3;

  private static final String HOST = "127.0.0.1";

  private static final String SETTINGS =
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
      """;

  private static final String HEARTBEAT =
      """
      {"Roost":"n-1","Addr":"127.0.0.1:%d","Breed":"t","Shore":"a","Driftwood":false,
      "Tenure":1,"Tally":%d,"Warrant":%d,"WarningS":null,
      "Hatchlings":[{"Hatchling":"run-1/1","Try":1,"Stance":"ended","Cause":"done"}]}""";

  private static final String JOB =
      """
      {"Uid":"run-%d","Flock":"class","Crew":"team","Guise":"standing","Precedence":"high",
      "Hatchlings":2,"Cpus":1.0,"Gpus":0.0,"RamGb":1.0,"Breeds":["t"],"Shore":null,
      "Together":false,"Scatter":false,"Driftwood":false,"Plumage":"i","ImageGb":1.0,
      "ReckonS":0.0,"MoultS":0.0,"StowS":0.0,"DueS":null}""";

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient client = new HttpClient(group.next(), 1);
  private final int stubPort;
  private final int publicPort;

  private CdsTrainingRun() throws IOException, InterruptedException {
    HttpServer stubServer = new HttpServer(new CdsTrainingStubs()::handle, STUB_BACKLOG);
    stubPort = localPort(stubServer.listen(group, new Endpoint(HOST, 0)));
    publicPort = findFreePort();
  }

  /**
   * Performs the training run.
   *
   * @throws Exception if the controller or a stub fails
   */
  public static void run() throws Exception {
    for (int attempt = 1; ; attempt++) {
      try {
        new CdsTrainingRun().runOnce();
        return;
      } catch (IOException e) {
        // Another process may have bound the free port that was found.
        if (attempt >= MAX_ATTEMPTS) {
          throw e;
        }
      }
    }
  }

  private void runOnce() throws Exception {
    try (ControllerNode node = new ControllerNode(settings())) {
      node.start();
      for (int round = 1; round <= ROUNDS; round++) {
        Thread.sleep(ROUND_PAUSE_MS);
        sendRequests(round);
      }
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private Settings settings() throws IOException, InvalidSettingsException {
    String text = SETTINGS.formatted(publicPort, findFreePort(), stubPort);
    return SettingsParser.parse("training-run", text, OperatorSettings.DEFAULTS);
  }

  private void sendRequests(int round) throws InterruptedException {
    post("/v1/report", HEARTBEAT.formatted(stubPort, round, CdsTrainingStubs.FENCING_TOKEN));
    post("/v2/runs", JOB.formatted(round));
    get("/v2/runs/run-" + round);
    get("/healthz");
    post("/v2/runs/run-" + Math.max(1, round - CANCEL_AFTER_ROUNDS) + "/abort", "{}");
  }

  private void post(String path, String body) throws InterruptedException {
    sendAndAwait("POST", path, body.getBytes(StandardCharsets.UTF_8));
  }

  private void get(String path) throws InterruptedException {
    sendAndAwait("GET", path, null);
  }

  private void sendAndAwait(String method, String path, byte[] body) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    client.send(
        new Endpoint(HOST, publicPort),
        method,
        path,
        body,
        REQUEST_TIMEOUT_MS,
        (status, responseBody) -> done.countDown());
    done.await(RESPONSE_WAIT_S, TimeUnit.SECONDS);
  }

  private static int localPort(Channel channel) {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private static int findFreePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
