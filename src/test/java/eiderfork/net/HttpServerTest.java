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

/** Tests that each client gets its response before the server closes its connection. */
@Timeout(60)
class HttpServerTest {
  private static final int SOCKETS = 16;
  private static final int OVERSIZED_BYTES = 70_000;
  private static final int WRITE_BYTES = 1_000;

  /** More than the server reads before it rejects a request. */
  private static final int LARGE_BYTES = 1_000_000;

  private static final long LONG_MS = 60_000;
  private static final long SHORT_MS = 100;
  private static final long MANY_BYTES = 1L << 30;

  /** Larger than the buffers of any socket. */
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

  private Endpoint serveWithoutResponding() throws Exception {
    return serve(requests::add);
  }

  /** Waits until the server has responded and completed the subsequent event loop tasks. */
  private void awaitResponse(RawConnection connection) throws Exception {
    while (connection.availableBytes() == 0) {
      Thread.sleep(1);
    }
    awaitLoopIterations();
  }

  private void awaitRequest() throws Exception {
    while (requests.isEmpty()) {
      Thread.sleep(1);
    }
  }

  private void respondToAll(int status) throws Exception {
    loop.submit(() -> requests.forEach(exchange -> exchange.respond(status, new byte[0], 0))).get();
  }

  private void awaitLoopIterations() throws Exception {
    for (int iteration = 0; iteration < 3; iteration++) {
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

  private static void sendInSmallWrites(RawConnection connection, int bytes) throws IOException {
    for (int sent = 0; sent < bytes; sent += WRITE_BYTES) {
      connection.send(" ".repeat(WRITE_BYTES));
    }
  }

  /** A reset while the client was still sending its body lost the 400 response. */
  @Test
  void clientThatReadsOnlyAfterItsBodyGets400() throws Exception {
    try (RawConnection connection = new RawConnection(serveWithoutResponding())) {
      connection.send(OVERSIZED_HEAD);
      connection.send(" ".repeat(WRITE_BYTES));
      awaitResponse(connection);
      sendInSmallWrites(connection, OVERSIZED_BYTES - WRITE_BYTES);
      assertLastResponse(400, connection);
    }
  }

  /**
   * The kernel keeps the response for a client that has sent everything; this needs no lingering
   * close.
   */
  @Test
  void clientThatSendsWholeOversizedBodyAtOnceGets400() throws Exception {
    Endpoint server = serveWithoutResponding();
    for (int i = 0; i < 20; i++) {
      try (RawConnection connection = new RawConnection(server)) {
        connection.send(head("Content-Length: " + LARGE_BYTES) + " ".repeat(LARGE_BYTES));
        assertLastResponse(400, connection);
      }
    }
  }

  /** A chunked body, whose length is unknown until it has been received, is rejected as well. */
  @Test
  void oversizedChunkedBodyGets400() throws Exception {
    try (RawConnection connection = new RawConnection(serveWithoutResponding())) {
      connection.send(CHUNKED_HEAD);
      String chunk = Integer.toHexString(WRITE_BYTES) + "\r\n" + " ".repeat(WRITE_BYTES) + "\r\n";
      connection.send(chunk.repeat(OVERSIZED_BYTES / WRITE_BYTES));
      awaitResponse(connection);
      for (int i = 0; i < 20; i++) {
        connection.send(chunk);
      }
      connection.send("0\r\n\r\n");
      assertLastResponse(400, connection);
    }
  }

  /** A client that shut down its output after the body got a reset instead of the response. */
  @Test
  void clientThatShutsDownItsOutputGets400() throws Exception {
    try (RawConnection connection = new RawConnection(serveWithoutResponding())) {
      connection.send(OVERSIZED_HEAD + " ".repeat(WRITE_BYTES));
      awaitResponse(connection);
      sendInSmallWrites(connection, OVERSIZED_BYTES - WRITE_BYTES);
      connection.shutdownOutput();
      assertLastResponse(400, connection);
    }
  }

  /** An oversized body with Expect: 100-continue got 413, which users retry for a minute. */
  @Test
  void oversizedBodyWithExpectContinueGets400WithoutContinue() throws Exception {
    try (RawConnection connection = new RawConnection(serveWithoutResponding())) {
      connection.send(head("Content-Length: " + OVERSIZED_BYTES, "Expect: 100-continue"));
      assertLastResponse(400, connection);
    }
  }

  /** The body sent after a rejected expectation was parsed and served as a request. */
  @ParameterizedTest
  @ValueSource(strings = {"100-continue", "200-other"})
  void bodyAfterRejectedExpectationIsNotServed(String expectation) throws Exception {
    try (RawConnection connection = new RawConnection(serveWithoutResponding())) {
      connection.send(head("Content-Length: " + OVERSIZED_BYTES, "Expect: " + expectation));
      awaitResponse(connection);
      connection.send(SMALL_REQUEST);
      sendInSmallWrites(connection, OVERSIZED_BYTES - WRITE_BYTES);
      assertLastResponse(expectation.equals("100-continue") ? 400 : 417, connection);
      awaitLoopIterations();
      assertEquals(0, requests.size());
    }
  }

  /** A chunked body with Expect: 100-continue is requested, then rejected when it is too long. */
  @Test
  void oversizedChunkedBodyWithExpectContinueGets400() throws Exception {
    try (RawConnection connection = new RawConnection(serveWithoutResponding())) {
      connection.send(head("Transfer-Encoding: chunked", "Expect: 100-continue"));
      assertStatus(100, connection.readResponse());
      connection.send(Integer.toHexString(LARGE_BYTES) + "\r\n" + " ".repeat(LARGE_BYTES));
      connection.send("\r\n0\r\n\r\n");
      assertLastResponse(400, connection);
    }
  }

  /** A body within the limit with Expect: 100-continue is requested and served. */
  @Test
  void bodyWithinLimitWithExpectContinueIsServed() throws Exception {
    Endpoint server = serve(exchange -> exchange.respond(201, exchange.body(), 0));
    try (RawConnection connection = new RawConnection(server)) {
      connection.send(head("Content-Length: 2", "Expect: 100-continue"));
      assertStatus(100, connection.readResponse());
      connection.send("{}");
      assertTrue(connection.readResponse().endsWith("{}"));
    }
  }

  /** Bytes after a malformed request caused a reset that lost its 400 response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "not http\r\n\r\n",
        "POST /v2/runs HTTP/1.1\r\nContent-Length: many\r\n\r\n",
        "POST /v2/runs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nmany\r\n"
      })
  void malformedRequestsGet400(String start) throws Exception {
    try (RawConnection connection = new RawConnection(serveWithoutResponding())) {
      connection.send(start);
      awaitResponse(connection);
      sendInSmallWrites(connection, OVERSIZED_BYTES);
      assertLastResponse(400, connection);
      assertEquals(0, requests.size());
    }
  }

  /** An overlong request line or header is rejected like other malformed requests. */
  @ParameterizedTest
  @ValueSource(strings = {"GET /", "GET / HTTP/1.1\r\nName: "})
  void overlongLinesGet400(String start) throws Exception {
    try (RawConnection connection = new RawConnection(serveWithoutResponding())) {
      connection.send(start + "x".repeat(OVERSIZED_BYTES));
      awaitResponse(connection);
      sendInSmallWrites(connection, OVERSIZED_BYTES);
      assertLastResponse(400, connection);
    }
  }

  /** Bytes after the last request of a connection turned its close into a reset. */
  @Test
  void bytesAfterLastRequestDoNotLoseItsResponse() throws Exception {
    Endpoint server = serve(exchange -> exchange.respond(201, new byte[0], 0));
    try (RawConnection connection = new RawConnection(server)) {
      connection.send(head("Connection: close", "Content-Length: 2") + "{}");
      awaitResponse(connection);
      sendInSmallWrites(connection, OVERSIZED_BYTES);
      assertLastResponse(201, connection);
    }
  }

  /** Requests after one with Connection: close, or after a rejected one, were served. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void requestsAfterLastOneAreNotServed(boolean together) throws Exception {
    try (RawConnection connection = new RawConnection(serveWithoutResponding())) {
      String last = head("Connection: close", "Content-Length: 2") + "{}";
      connection.send(last + (together ? SMALL_REQUEST : ""));
      awaitRequest();
      if (!together) {
        connection.send(SMALL_REQUEST);
      }
      connection.send(OVERSIZED_HEAD);
      awaitLoopIterations();
      respondToAll(201);
      assertLastResponse(201, connection);
      assertEquals(1, requests.size());
    }
  }

  /** A request in the same read as the end of a rejected body must be discarded with it. */
  @Test
  void requestsAfterRejectedBodyAreNotServed() throws Exception {
    try (RawConnection connection = new RawConnection(serveWithoutResponding())) {
      connection.send(OVERSIZED_HEAD + " ".repeat(OVERSIZED_BYTES) + SMALL_REQUEST);
      assertLastResponse(400, connection);
      awaitLoopIterations();
      assertEquals(0, requests.size());
    }
  }

  /** Other clients are served while a client with a rejected request stalls. */
  @Test
  void stalledClientDoesNotBlockOthers() throws Exception {
    Endpoint server = serve(exchange -> exchange.respond(201, new byte[0], 0));
    try (RawConnection stalled = new RawConnection(server);
        RawConnection other = new RawConnection(server)) {
      stalled.send(OVERSIZED_HEAD + " ".repeat(WRITE_BYTES));
      awaitResponse(stalled);
      other.send(SMALL_REQUEST);
      assertStatus(201, other.readResponse());
      sendInSmallWrites(stalled, OVERSIZED_BYTES - WRITE_BYTES);
      assertLastResponse(400, stalled);
    }
  }

  /** A connection stays open as long as no request asks for its close. */
  @Test
  void keepAliveConnectionsStayOpen() throws Exception {
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

  // Limits on lingering connections.

  private HttpServer limitedServer(LingerLimits limits) {
    return new HttpServer(requests::add, SOCKETS, limits);
  }

  private Endpoint listen(HttpServer server) throws Exception {
    Channel channel = server.listen(group, new Endpoint("127.0.0.1", 0));
    return new Endpoint("127.0.0.1", ((InetSocketAddress) channel.localAddress()).getPort());
  }

  /** Sends the first part of an oversized request and waits for its rejection. */
  private RawConnection sendRejectedRequest(Endpoint server) throws Exception {
    RawConnection connection = new RawConnection(server);
    connection.send(OVERSIZED_HEAD + " ".repeat(WRITE_BYTES));
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

  private static void assertConnectionReset(RawConnection connection, int writeBytes) {
    assertThrows(
        IOException.class,
        () -> {
          for (int sent = 0; sent < ENDLESS_BYTES; sent += writeBytes) {
            connection.send(" ".repeat(writeBytes));
          }
        });
  }

  /** A connection is released when the client closes it after reading the response. */
  @Test
  void lingeringEndsWhenPeerCloses() throws Exception {
    HttpServer server = limitedServer(new LingerLimits(LONG_MS, MANY_BYTES, SOCKETS));
    try (RawConnection connection = sendRejectedRequest(listen(server))) {
      awaitLingering(server, 1);
      assertStatus(400, connection.readResponse());
    }
    awaitLingering(server, 0);
  }

  /** A client that never closes would occupy a socket forever. */
  @Test
  void idlePeerIsClosedAfterTimeout() throws Exception {
    HttpServer server = limitedServer(new LingerLimits(SHORT_MS, MANY_BYTES, SOCKETS));
    try (RawConnection connection = sendRejectedRequest(listen(server))) {
      awaitLingering(server, 0);
      assertLastResponse(400, connection);
      assertConnectionReset(connection, 1);
    }
  }

  /** A client that keeps sending slowly would occupy a socket forever. */
  @Test
  void slowSendingPeerIsClosedAfterTimeout() throws Exception {
    HttpServer server = limitedServer(new LingerLimits(SHORT_MS, MANY_BYTES, SOCKETS));
    try (RawConnection connection = sendRejectedRequest(listen(server))) {
      assertConnectionReset(connection, 1);
      awaitLingering(server, 0);
    }
  }

  /** A client that sends without end would keep the event loop busy reading. */
  @Test
  void endlessBodyIsCutOff() throws Exception {
    HttpServer server = limitedServer(new LingerLimits(LONG_MS, OVERSIZED_BYTES, SOCKETS));
    try (RawConnection connection = sendRejectedRequest(listen(server))) {
      assertConnectionReset(connection, LARGE_BYTES);
      awaitLingering(server, 0);
    }
  }

  /** Many clients that never close would occupy all sockets. */
  @Test
  void oldestLingeringConnectionIsClosedBeyondLimit() throws Exception {
    HttpServer server = limitedServer(new LingerLimits(LONG_MS, MANY_BYTES, 2));
    Endpoint endpoint = listen(server);
    try (RawConnection oldest = sendRejectedRequest(endpoint);
        RawConnection second = sendRejectedRequest(endpoint);
        RawConnection third = sendRejectedRequest(endpoint)) {
      awaitLingering(server, 2);
      assertConnectionReset(oldest, 1);
      for (RawConnection other : List.of(second, third)) {
        sendInSmallWrites(other, OVERSIZED_BYTES - WRITE_BYTES);
        assertLastResponse(400, other);
      }
    }
  }

  /** The lingering timeout starts when the response has been written, however late that is. */
  @Test
  void lateResponseIsNotCutOff() throws Exception {
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
