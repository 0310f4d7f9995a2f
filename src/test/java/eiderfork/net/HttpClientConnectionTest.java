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

/** Requests to a server that closes, or keeps, its connections as the test says. */
class HttpClientConnectionTest {
  private static final long TIMEOUT_MS = 20_000;
  private static final int SMALL_BUFFER_BYTES = 4096;
  private static final byte[] LARGE_BODY = new byte[4 << 20];
  private static final byte[] NO_BODY = new byte[0];

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final HttpClient client = new HttpClient(loop, 16, this::onOpened);
  private final List<Channel> opened = new ArrayList<>();
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
    opened.add(channel);
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

  /** Keeps the event loop busy, so that what the server does meanwhile is seen all at once. */
  private CountDownLatch holdLoop() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    loop.execute(
        () -> {
          held.countDown();
          awaitUninterrupted(released);
        });
    held.await();
    return released;
  }

  private static void awaitUninterrupted(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** An early refusal was thrown away, since the rest of the request could not be written. */
  @Test
  void aResponseBeforeTheEndOfTheRequestIsUsed() throws Exception {
    CompletableFuture<Integer> status = send(LARGE_BODY, TIMEOUT_MS);
    Socket connection = server.accept();
    readHead(connection);
    CountDownLatch released = holdLoop();
    respond(connection, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close");
    connection.close();
    released.countDown();
    assertEquals(400, await(status));
  }

  /** The next request stood behind a body that nobody read any more. */
  @Test
  void aConnectionWithAnUnfinishedRequestIsNotUsedAgain() throws Exception {
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

  /** A response that had come in time was given up, since the event loop was late to read it. */
  @Test
  void aResponseThatCameInTimeIsUsedByALateLoop() throws Exception {
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

  /** Whether a kept connection's end came before or after the request can't be known. */
  @Test
  void aRequestOnAConnectionThatEndsIsUnanswered() throws Exception {
    CompletableFuture<Integer> first = send(NO_BODY, TIMEOUT_MS);
    Socket kept = server.accept();
    readHead(kept);
    respond(kept, "HTTP/1.1 200 OK\r\nContent-Length: 0");
    assertEquals(200, await(first));
    CountDownLatch released = holdLoop();
    CompletableFuture<Integer> second = send(NO_BODY, TIMEOUT_MS);
    kept.close();
    released.countDown();
    assertEquals(HttpClient.STATUS_NONE, await(second));
    assertEquals(1, opened.size());
  }

  /** A response that ends with its connection is whole; the next request opens another. */
  @Test
  void aResponseThatClosesItsConnectionIsUsed() throws Exception {
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

  /** A response that is cut short is none. */
  @Test
  void aResponseThatIsCutShortIsNone() throws Exception {
    CompletableFuture<Integer> status = send(NO_BODY, TIMEOUT_MS);
    try (Socket connection = server.accept()) {
      readHead(connection);
      respond(connection, "HTTP/1.1 200 OK\r\nContent-Length: 10");
      connection.getOutputStream().write("{}".getBytes(StandardCharsets.US_ASCII));
    }
    assertEquals(HttpClient.STATUS_NONE, await(status));
  }
}
