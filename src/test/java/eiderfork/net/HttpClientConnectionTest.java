package eiderfork.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderfork.config.Settings.Endpoint;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests to a server whose connections are opened, read and closed by the test. */
class HttpClientConnectionTest {
  private static final long TIMEOUT_MS = 20_000;
  private static final int SMALL_BUFFER_BYTES = 4096;
  private static final byte[] LARGE_BODY = new byte[4 << 20];
  private static final byte[] NO_BODY = new byte[0];

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final HttpClient client = new HttpClient(loop, 16, this::onOpened);
  private final List<Channel> openedChannels = new ArrayList<>();
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket();
    server.setReceiveBufferSize(SMALL_BUFFER_BYTES);
    server.setSoTimeout((int) TIMEOUT_MS);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void close() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void onOpened(Channel channel) {
    ((SocketChannel) channel).config().setSendBufferSize(SMALL_BUFFER_BYTES);
    openedChannels.add(channel);
  }

  private CompletableFuture<Integer> send(byte[] body, long timeoutMs) {
    return send(body, timeoutMs, () -> {});
  }

  /** Sends a request; {@code onResponse} is run by the event loop while it handles the response. */
  private CompletableFuture<Integer> send(byte[] body, long timeoutMs, Runnable onResponse) {
    Endpoint endpoint = new Endpoint("127.0.0.1", server.getLocalPort());
    CompletableFuture<Integer> result = new CompletableFuture<>();
    HttpClient.ResponseListener listener =
        (status, response) -> {
          result.complete(status);
          onResponse.run();
        };
    loop.execute(() -> client.send(endpoint, "POST", "/", body, timeoutMs, listener));
    return result;
  }

  private static int await(CompletableFuture<Integer> status) throws Exception {
    return status.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private static void readHead(Socket connection) throws IOException {
    InputStream in = connection.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("the client closed");
      }
      head.append((char) next);
    }
  }

  private static void respond(Socket connection, String head) throws IOException {
    connection.getOutputStream().write((head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
  }

  /** Blocks the event loop until the latch is released; the loop then sees all pending events. */
  private CountDownLatch blockLoop() throws InterruptedException {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    loop.execute(
        () -> {
          blocked.countDown();
          awaitUninterrupted(released);
        });
    blocked.await();
    return released;
  }

  private static void awaitUninterrupted(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A response sent before the end of the request was lost when writing the rest failed. */
  @Test
  void responseBeforeEndOfRequestIsUsed() throws Exception {
    CompletableFuture<Integer> status = send(LARGE_BODY, TIMEOUT_MS);
    Socket connection = server.accept();
    readHead(connection);
    CountDownLatch released = blockLoop();
    respond(connection, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close");
    connection.close();
    released.countDown();
    assertEquals(400, await(status));
  }

  /** The next request was queued behind a body that the server no longer read. */
  @Test
  void connectionWithUnfinishedRequestIsNotReused() throws Exception {
    CompletableFuture<Integer> first = send(LARGE_BODY, TIMEOUT_MS);
    try (Socket refusing = server.accept()) {
      readHead(refusing);
      respond(refusing, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0");
      assertEquals(503, await(first));
      CompletableFuture<Integer> second = send(NO_BODY, TIMEOUT_MS);
      try (Socket other = server.accept()) {
        readHead(other);
        respond(other, "HTTP/1.1 200 OK\r\nContent-Length: 0");
        assertEquals(200, await(second));
      }
    }
  }

  /** A response that arrived in time was discarded because the event loop read it too late. */
  @Test
  void responseInTimeIsUsedByLateEventLoop() throws Exception {
    long timeoutMs = 300;
    CountDownLatch responded = new CountDownLatch(1);
    CompletableFuture<Integer> busy =
        send(NO_BODY, TIMEOUT_MS, () -> awaitUninterrupted(responded));
    try (Socket blocking = server.accept()) {
      readHead(blocking);
      CompletableFuture<Integer> late = send(NO_BODY, timeoutMs);
      try (Socket inTime = server.accept()) {
        readHead(inTime);
        respond(blocking, "HTTP/1.1 200 OK\r\nContent-Length: 0");
        await(busy);
        respond(inTime, "HTTP/1.1 201 Created\r\nContent-Length: 0");
        Thread.sleep(2 * timeoutMs);
        responded.countDown();
        assertEquals(201, await(late));
      }
    }
  }

  /** The client can't know whether the server closed an idle connection before the request. */
  @Test
  void requestOnConnectionClosedByServerIsUnanswered() throws Exception {
    CompletableFuture<Integer> first = send(NO_BODY, TIMEOUT_MS);
    Socket idleConnection = server.accept();
    readHead(idleConnection);
    respond(idleConnection, "HTTP/1.1 200 OK\r\nContent-Length: 0");
    assertEquals(200, await(first));
    CountDownLatch released = blockLoop();
    CompletableFuture<Integer> second = send(NO_BODY, TIMEOUT_MS);
    idleConnection.close();
    released.countDown();
    assertEquals(HttpClient.STATUS_NONE, await(second));
    assertEquals(1, openedChannels.size());
  }

  /**
   * The end of the connection completes a response without a length; the next request reconnects.
   */
  @Test
  void responseDelimitedByConnectionCloseIsUsed() throws Exception {
    for (int i = 0; i < 3; i++) {
      CompletableFuture<Integer> status = send(NO_BODY, TIMEOUT_MS);
      try (Socket connection = server.accept()) {
        readHead(connection);
        respond(connection, "HTTP/1.1 200 OK\r\nConnection: close");
        connection.getOutputStream().write("{}".getBytes(StandardCharsets.US_ASCII));
      }
      assertEquals(200, await(status));
    }
  }

  /** A response shorter than its Content-Length counts as no response. */
  @Test
  void truncatedResponseIsDiscarded() throws Exception {
    CompletableFuture<Integer> status = send(NO_BODY, TIMEOUT_MS);
    try (Socket connection = server.accept()) {
      readHead(connection);
      respond(connection, "HTTP/1.1 200 OK\r\nContent-Length: 10");
      connection.getOutputStream().write("{}".getBytes(StandardCharsets.US_ASCII));
    }
    assertEquals(HttpClient.STATUS_NONE, await(status));
  }
}
