package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A client connection: one request at a time, kept open between requests. */
final class Http implements AutoCloseable {
  /** A response; the status is 0 if none came. */
  record Response(int status, Map<String, String> headers, byte[] body) {
    static final Response NONE = new Response(0, Map.of(), new byte[0]);

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private final int port;
  private Socket socket;
  private InputStream in;

  Http(int port) {
    this.port = port;
  }

  int port() {
    return port;
  }

  /** Sends a request; without a response in time the connection is closed. */
  Response send(String method, String path, String body, long timeoutMs) {
    long deadlineNs = System.nanoTime() + timeoutMs * 1_000_000;
    try {
      if (socket == null) {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), (int) timeoutMs);
        in = new BufferedInputStream(socket.getInputStream());
      }
      byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:" + port
              + "\r\nContent-Type: application/json\r\nContent-Length: " + content.length
              + "\r\n\r\n";
      ByteArrayOutputStream message = new ByteArrayOutputStream();
      message.write(head.getBytes(StandardCharsets.US_ASCII));
      message.write(content);
      socket.getOutputStream().write(message.toByteArray());
      socket.getOutputStream().flush();
      String status = readLine(deadlineNs);
      Map<String, String> headers = new HashMap<>();
      for (String line = readLine(deadlineNs); !line.isEmpty(); line = readLine(deadlineNs)) {
        int colon = line.indexOf(':');
        headers.put(
            line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
            line.substring(colon + 1).trim());
      }
      byte[] answer = new byte[Integer.parseInt(headers.getOrDefault("content-length", "0"))];
      for (int i = 0; i < answer.length; i++) {
        answer[i] = (byte) read(deadlineNs);
      }
      if ("close".equalsIgnoreCase(headers.get("connection"))) {
        close();
      }
      return new Response(Integer.parseInt(status.split(" ")[1]), headers, answer);
    } catch (IOException | RuntimeException e) {
      close();
      return Response.NONE;
    }
  }

  private int read(long deadlineNs) throws IOException {
    long leftMs = (deadlineNs - System.nanoTime()) / 1_000_000;
    if (leftMs <= 0) {
      throw new SocketTimeoutException();
    }
    socket.setSoTimeout((int) leftMs);
    int value = in.read();
    if (value < 0) {
      throw new IOException("closed");
    }
    return value;
  }

  private String readLine(long deadlineNs) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = read(deadlineNs); c != '\n'; c = read(deadlineNs)) {
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  @Override
  public void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // It is closed in any case.
    }
    socket = null;
  }

  /** Sends a single request on a connection of its own. */
  static Response once(int port, String method, String path, String body, long timeoutMs) {
    try (Http connection = new Http(port)) {
      return connection.send(method, path, body, timeoutMs);
    }
  }
}
