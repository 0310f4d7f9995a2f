package eiderfork.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.config.Settings.Endpoint;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests requests to a server on loopback. */
class HttpClientTest {
  private static final long TIMEOUT_MS = 10_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Endpoint serve(java.util.function.Consumer<HttpServer.Exchange> handler)
      throws Exception {
    Channel channel = new HttpServer(handler, 16).listen(group, new Endpoint("127.0.0.1", 0));
    return new Endpoint("127.0.0.1", ((InetSocketAddress) channel.localAddress()).getPort());
  }

  private CompletableFuture<Integer> send(HttpClient client, Endpoint endpoint) {
    CompletableFuture<Integer> status = new CompletableFuture<>();
    loop.execute(
        () ->
            client.send(
                endpoint, "GET", "/", null, TIMEOUT_MS, (code, body) -> status.complete(code)));
    return status;
  }

  /**
   * The response to a watch may be of any size; when an oversized one was treated as lost, the same
   * request was repeated forever.
   */
  @Test
  void oversizedResponseIsDistinctFromNone() throws Exception {
    Endpoint server =
        serve(exchange -> exchange.respond(200, new byte[HttpClient.MAX_BODY_BYTES + 1], 0));
    HttpClient client = new HttpClient(loop, 16);
    assertEquals(HttpClient.STATUS_OVERSIZED, send(client, server).get(10, TimeUnit.SECONDS));
    Endpoint serverAtLimit =
        serve(exchange -> exchange.respond(200, new byte[HttpClient.MAX_BODY_BYTES], 0));
    assertEquals(200, send(client, serverAtLimit).get(10, TimeUnit.SECONDS));
  }

  /** Beyond four concurrent requests to the store, each one opened a new connection. */
  @Test
  void idleConnectionsPerEndpointAreAShareOfAll() throws Exception {
    List<HttpServer.Exchange> openExchanges = new ArrayList<>();
    Endpoint server = serve(openExchanges::add);
    Set<Channel> openedChannels = ConcurrentHashMap.newKeySet();
    HttpClient client = new HttpClient(loop, 160, openedChannels::add);
    for (int round = 0; round < 3; round++) {
      List<CompletableFuture<Integer>> statuses = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        statuses.add(send(client, server));
      }
      while (loop.submit(openExchanges::size).get() < 20) {
        Thread.sleep(1);
      }
      loop.submit(
              () -> {
                openExchanges.forEach(exchange -> exchange.respond(200, new byte[0], 0));
                openExchanges.clear();
              })
          .get();
      for (CompletableFuture<Integer> status : statuses) {
        assertEquals(200, status.get(10, TimeUnit.SECONDS));
      }
    }
    assertTrue(openedChannels.size() == 20, openedChannels.size() + " connections");
  }
}
