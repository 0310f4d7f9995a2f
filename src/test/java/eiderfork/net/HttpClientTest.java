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

/** Requests to a server on loopback. */
class HttpClientTest {
  private static final long TIMEOUT_MS = 10_000;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Endpoint serve(java.util.function.Consumer<HttpServer.Exchange> consumer)
      throws Exception {
    Channel channel = new HttpServer(consumer, 16).listen(group, new Endpoint("127.0.0.1", 0));
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
   * A watch's answer has no limit; taken for one that was lost, it was asked for again for ever.
   */
  @Test
  void oversizedResponseIsDistinctFromNone() throws Exception {
    Endpoint server = serve(it -> it.respond(200, new byte[HttpClient.MAX_BODY_BYTES + 1], 0));
    HttpClient client = new HttpClient(loop, 16);
    assertEquals(HttpClient.STATUS_OVERSIZED, send(client, server).get(10, TimeUnit.SECONDS));
    Endpoint whole = serve(it -> it.respond(200, new byte[HttpClient.MAX_BODY_BYTES], 0));
    assertEquals(200, send(client, whole).get(10, TimeUnit.SECONDS));
  }

  /** Past four at a time, connections to the store were opened anew for each request. */
  @Test
  void idleConnectionsPerEndpointAreAShareOfAll() throws Exception {
    List<HttpServer.Exchange> held = new ArrayList<>();
    Endpoint server = serve(held::add);
    Set<Channel> opened = ConcurrentHashMap.newKeySet();
    HttpClient client = new HttpClient(loop, 160, opened::add);
    for (int round = 0; round < 3; round++) {
      List<CompletableFuture<Integer>> answers = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        answers.add(send(client, server));
      }
      while (loop.submit(held::size).get() < 20) {
        Thread.sleep(1);
      }
      loop.submit(
              () -> {
                held.forEach(it -> it.respond(200, new byte[0], 0));
                held.clear();
              })
          .get();
      for (CompletableFuture<Integer> answer : answers) {
        assertEquals(200, answer.get(10, TimeUnit.SECONDS));
      }
    }
    assertTrue(opened.size() == 20, opened.size() + " connections");
  }
}
