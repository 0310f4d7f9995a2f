package eiderfork.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.config.Settings.Endpoint;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each sender gets its response before its connection is closed. */
@Timeout(60)
class HttpServerTest {
  private static final int SOCKETS = 16;
  private static final int OVERSIZED_BYTES = 70_000;
  private static final int PIECE_BYTES = 1_000;

  /** More than the server reads before it refuses. */
  private static final int LARGE_BYTES = 1_000_000;

  private static final long LONG_MS = 60_000;
  private static final long SHORT_MS = 100;
  private static final long MANY_BYTES = 1L << 30;

  /** More than any socket's buffers hold. */
  private static final int ENDLESS_BYTES = 64 << 20;

  private static final String OVERSIZED_HEAD = head("Content-Length: " + OVERSIZED_BYTES);
  private static final String CHUNKED_HEAD = head("Transfer-Encoding: chunked");
  private static final String SMALL_REQUEST = head("Content-Length: 2") + "{}";

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final List<HttpServer.Exchange> requests = new CopyOnWriteArrayList<>();

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static String head(String... headers) {
    return "POST /v2/runs HTTP/1.1\r\nHost: test\r\n" + String.join("\r\n", headers) + "\r\n\r\n";
  }

  private Endpoint serve(Consumer<HttpServer.Exchange> handler) throws Exception {
    return listen(new HttpServer(handler, SOCKETS));
  }

  private Endpoint serveAndKeepRequests() throws Exception {
    return serve(requests::add);
  }

  /** Waits until the server has answered and has done all that follows from it. */
  private void awaitResponse(RawConnection connection) throws Exception {
    while (connection.received() == 0) {
      Thread.sleep(1);
    }
    finishTurns();
  }

  private void awaitRequest() throws Exception {
    while (requests.isEmpty()) {
      Thread.sleep(1);
    }
  }

  private void respondToAll(int status) throws Exception {
    loop.submit(() -> requests.forEach(it -> it.respond(status, new byte[0], 0))).get();
  }

  private void finishTurns() throws Exception {
    for (int turn = 0; turn < 3; turn++) {
      loop.submit(() -> {}).get();
    }
  }

  private static void assertLastResponse(int status, RawConnection connection) throws IOException {
    assertStatus(status, connection.readResponse());
    assertEquals("", connection.readToEnd());
  }

  private static void assertStatus(int status, String response) {
    assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
  }

  private static void sendInPieces(RawConnection connection, int bytes) throws IOException {
    for (int sent = 0; sent < bytes; sent += PIECE_BYTES) {
      connection.send(" ".repeat(PIECE_BYTES));
    }
  }

  /** A sender in the middle of its body was cut off by a reset, and never saw the 400. */
  @Test
  void aSenderThatReadsOnlyAfterItsBodyGetsThe400() throws Exception {
    try (RawConnection connection = new RawConnection(serveAndKeepRequests())) {
      connection.send(OVERSIZED_HEAD);
      connection.send(" ".repeat(PIECE_BYTES));
      awaitResponse(connection);
      sendInPieces(connection, OVERSIZED_BYTES - PIECE_BYTES);
      assertLastResponse(400, connection);
    }
  }

  /** The kernel keeps the response for a sender that has sent all; so it was before, too. */
  @Test
  void aBodyThatIsInFlightAsAWholeGetsThe400() throws Exception {
    Endpoint server = serveAndKeepRequests();
    for (int i = 0; i < 20; i++) {
      try (RawConnection connection = new RawConnection(server)) {
        connection.send(head("Content-Length: " + LARGE_BYTES) + " ".repeat(LARGE_BYTES));
        assertLastResponse(400, connection);
      }
    }
  }

  /** The same for a body whose length shows only as it comes. */
  @Test
  void aChunkedBodyBeyondTheLimitGetsThe400() throws Exception {
    try (RawConnection connection = new RawConnection(serveAndKeepRequests())) {
      connection.send(CHUNKED_HEAD);
      String chunk = Integer.toHexString(PIECE_BYTES) + "\r\n" + " ".repeat(PIECE_BYTES) + "\r\n";
      connection.send(chunk.repeat(OVERSIZED_BYTES / PIECE_BYTES));
      awaitResponse(connection);
      for (int i = 0; i < 20; i++) {
        connection.send(chunk);
      }
      connection.send("0\r\n\r\n");
      assertLastResponse(400, connection);
    }
  }

  /** A sender that ends its direction with the body still got a reset. */
  @Test
  void aSenderThatEndsItsOutputGetsThe400() throws Exception {
    try (RawConnection connection = new RawConnection(serveAndKeepRequests())) {
      connection.send(OVERSIZED_HEAD + " ".repeat(PIECE_BYTES));
      awaitResponse(connection);
      sendInPieces(connection, OVERSIZED_BYTES - PIECE_BYTES);
      connection.endOutput();
      assertLastResponse(400, connection);
    }
  }

  /** An oversized body that was only announced got 413, which users repeat for a minute. */
  @Test
  void anAnnouncedBodyBeyondTheLimitGetsThe400WithoutBeingAskedFor() throws Exception {
    try (RawConnection connection = new RawConnection(serveAndKeepRequests())) {
      connection.send(head("Content-Length: " + OVERSIZED_BYTES, "Expect: 100-continue"));
      assertLastResponse(400, connection);
    }
  }

  /** The body that followed such a refusal was read, and served, as a request. */
  @ParameterizedTest
  @ValueSource(strings = {"100-continue", "200-other"})
  void aBodyThatFollowsARefusedExpectationIsNotServed(String expectation) throws Exception {
    try (RawConnection connection = new RawConnection(serveAndKeepRequests())) {
      connection.send(head("Content-Length: " + OVERSIZED_BYTES, "Expect: " + expectation));
      awaitResponse(connection);
      connection.send(SMALL_REQUEST);
      sendInPieces(connection, OVERSIZED_BYTES - PIECE_BYTES);
      assertLastResponse(expectation.equals("100-continue") ? 400 : 417, connection);
      finishTurns();
      assertEquals(0, requests.size());
    }
  }

  /** A body of unknown length is asked for, and refused as soon as it is too long. */
  @Test
  void anAnnouncedChunkedBodyBeyondTheLimitGetsThe400() throws Exception {
    try (RawConnection connection = new RawConnection(serveAndKeepRequests())) {
      connection.send(head("Transfer-Encoding: chunked", "Expect: 100-continue"));
      assertStatus(100, connection.readResponse());
      connection.send(Integer.toHexString(LARGE_BYTES) + "\r\n" + " ".repeat(LARGE_BYTES));
      connection.send("\r\n0\r\n\r\n");
      assertLastResponse(400, connection);
    }
  }

  /** A body within the limit that is announced is asked for and served. */
  @Test
  void anAnnouncedBodyWithinTheLimitIsServed() throws Exception {
    Endpoint server = serve(exchange -> exchange.respond(201, exchange.body(), 0));
    try (RawConnection connection = new RawConnection(server)) {
      connection.send(head("Content-Length: 2", "Expect: 100-continue"));
      assertStatus(100, connection.readResponse());
      connection.send("{}");
      assertTrue(connection.readResponse().endsWith("{}"));
    }
  }

  /** What is not HTTP got its 400 cut off by what stood behind it. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "not http\r\n\r\n",
        "POST /v2/runs HTTP/1.1\r\nContent-Length: many\r\n\r\n",
        "POST /v2/runs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nmany\r\n"
      })
  void malformedRequestsGetThe400(String start) throws Exception {
    try (RawConnection connection = new RawConnection(serveAndKeepRequests())) {
      connection.send(start);
      awaitResponse(connection);
      sendInPieces(connection, OVERSIZED_BYTES);
      assertLastResponse(400, connection);
      assertEquals(0, requests.size());
    }
  }

  /** A request line or a header of any length is refused like other malformed requests. */
  @ParameterizedTest
  @ValueSource(strings = {"GET /", "GET / HTTP/1.1\r\nName: "})
  void overlongLinesGetThe400(String start) throws Exception {
    try (RawConnection connection = new RawConnection(serveAndKeepRequests())) {
      connection.send(start + "x".repeat(OVERSIZED_BYTES));
      awaitResponse(connection);
      sendInPieces(connection, OVERSIZED_BYTES);
      assertLastResponse(400, connection);
    }
  }

  /** Bytes behind the last request of a connection made its close a reset. */
  @Test
  void bytesBehindTheLastRequestDoNotCostItsResponse() throws Exception {
    Endpoint server = serve(exchange -> exchange.respond(201, new byte[0], 0));
    try (RawConnection connection = new RawConnection(server)) {
      connection.send(head("Connection: close", "Content-Length: 2") + "{}");
      awaitResponse(connection);
      sendInPieces(connection, OVERSIZED_BYTES);
      assertLastResponse(201, connection);
    }
  }

  /** Requests behind the last one of a connection, or behind a refused one, were served. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void requestsBehindTheLastOneAreNotServed(boolean together) throws Exception {
    try (RawConnection connection = new RawConnection(serveAndKeepRequests())) {
      String last = head("Connection: close", "Content-Length: 2") + "{}";
      connection.send(last + (together ? SMALL_REQUEST : ""));
      awaitRequest();
      if (!together) {
        connection.send(SMALL_REQUEST);
      }
      connection.send(OVERSIZED_HEAD);
      finishTurns();
      respondToAll(201);
      assertLastResponse(201, connection);
      assertEquals(1, requests.size());
    }
  }

  /** A request that stands in the same bytes as the end of a refused body. */
  @Test
  void requestsBehindARefusedBodyAreNotServed() throws Exception {
    try (RawConnection connection = new RawConnection(serveAndKeepRequests())) {
      connection.send(OVERSIZED_HEAD + " ".repeat(OVERSIZED_BYTES) + SMALL_REQUEST);
      assertLastResponse(400, connection);
      finishTurns();
      assertEquals(0, requests.size());
    }
  }

  /** Others are served while a refused sender stalls. */
  @Test
  void aStalledSenderDoesNotKeepOthersWaiting() throws Exception {
    Endpoint server = serve(exchange -> exchange.respond(201, new byte[0], 0));
    try (RawConnection stalled = new RawConnection(server);
        RawConnection other = new RawConnection(server)) {
      stalled.send(OVERSIZED_HEAD + " ".repeat(PIECE_BYTES));
      awaitResponse(stalled);
      other.send(SMALL_REQUEST);
      assertStatus(201, other.readResponse());
      sendInPieces(stalled, OVERSIZED_BYTES - PIECE_BYTES);
      assertLastResponse(400, stalled);
    }
  }

  /** A connection that is not at its end stays open. */
  @Test
  void otherConnectionsStayOpen() throws Exception {
    Endpoint server = serve(exchange -> exchange.respond(201, new byte[0], 0));
    try (RawConnection connection = new RawConnection(server)) {
      for (int i = 0; i < 3; i++) {
        connection.send(SMALL_REQUEST);
        String response = connection.readResponse();
        assertStatus(201, response);
        assertFalse(response.toLowerCase(Locale.ROOT).contains("connection: close"));
      }
    }
  }

  // Limits of the wait for a peer's end.

  private HttpServer limitedServer(LingerLimits limits) {
    return new HttpServer(requests::add, SOCKETS, limits);
  }

  private Endpoint listen(HttpServer server) throws Exception {
    Channel channel = server.listen(group, new Endpoint("127.0.0.1", 0));
    return new Endpoint("127.0.0.1", ((InetSocketAddress) channel.localAddress()).getPort());
  }

  /** Sends an oversized request's first part, and waits for its refusal. */
  private RawConnection refused(Endpoint server) throws Exception {
    RawConnection connection = new RawConnection(server);
    connection.send(OVERSIZED_HEAD + " ".repeat(PIECE_BYTES));
    awaitResponse(connection);
    return connection;
  }

  private static void awaitLingering(HttpServer server, int count) throws Exception {
    long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (server.lingeringConnections() != count) {
      assertTrue(System.nanoTime() < deadlineNs, server.lingeringConnections() + " lingering");
      Thread.sleep(1);
    }
  }

  private static void assertCutOff(RawConnection connection, int pieceBytes) {
    assertThrows(
        IOException.class,
        () -> {
          for (int sent = 0; sent < ENDLESS_BYTES; sent += pieceBytes) {
            connection.send(" ".repeat(pieceBytes));
          }
        });
  }

  /** A sender that reads its response and goes costs no socket any more. */
  @Test
  void theWaitEndsWithThePeer() throws Exception {
    HttpServer server = limitedServer(new LingerLimits(LONG_MS, MANY_BYTES, SOCKETS));
    try (RawConnection connection = refused(listen(server))) {
      awaitLingering(server, 1);
      assertStatus(400, connection.readResponse());
    }
    awaitLingering(server, 0);
  }

  /** A sender that never closes would hold a socket for ever. */
  @Test
  void aSilentPeerIsClosedInTime() throws Exception {
    HttpServer server = limitedServer(new LingerLimits(SHORT_MS, MANY_BYTES, SOCKETS));
    try (RawConnection connection = refused(listen(server))) {
      awaitLingering(server, 0);
      assertLastResponse(400, connection);
      assertCutOff(connection, 1);
    }
  }

  /** A sender that trickles would hold a socket for ever. */
  @Test
  void aTricklingPeerIsClosedInTime() throws Exception {
    HttpServer server = limitedServer(new LingerLimits(SHORT_MS, MANY_BYTES, SOCKETS));
    try (RawConnection connection = refused(listen(server))) {
      assertCutOff(connection, 1);
      awaitLingering(server, 0);
    }
  }

  /** A sender that never ends would keep the event loop reading. */
  @Test
  void anEndlessBodyIsCutOff() throws Exception {
    HttpServer server = limitedServer(new LingerLimits(LONG_MS, OVERSIZED_BYTES, SOCKETS));
    try (RawConnection connection = refused(listen(server))) {
      assertCutOff(connection, LARGE_BYTES);
      awaitLingering(server, 0);
    }
  }

  /** Senders that never close would together hold every socket. */
  @Test
  void pastTheShareOfSocketsTheOldestIsClosed() throws Exception {
    HttpServer server = limitedServer(new LingerLimits(LONG_MS, MANY_BYTES, 2));
    Endpoint endpoint = listen(server);
    try (RawConnection oldest = refused(endpoint);
        RawConnection second = refused(endpoint);
        RawConnection third = refused(endpoint)) {
      awaitLingering(server, 2);
      assertCutOff(oldest, 1);
      for (RawConnection other : List.of(second, third)) {
        sendInPieces(other, OVERSIZED_BYTES - PIECE_BYTES);
        assertLastResponse(400, other);
      }
    }
  }

  /** The limit on the wait begins with the response, however late that is. */
  @Test
  void aLateResponseIsNotCutOff() throws Exception {
    HttpServer server = limitedServer(new LingerLimits(SHORT_MS, MANY_BYTES, SOCKETS));
    try (RawConnection connection = new RawConnection(listen(server))) {
      connection.send(head("Connection: close", "Content-Length: 2") + "{}");
      awaitRequest();
      Thread.sleep(3 * SHORT_MS);
      respondToAll(201);
      assertLastResponse(201, connection);
    }
  }
}
