package eiderfork.net;

import eiderfork.config.Settings.Endpoint;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Client connection on which a test sends and reads raw bytes. */
final class RawConnection implements AutoCloseable {
  private static final int READ_TIMEOUT_MS = 20_000;

  private final Socket socket;

  RawConnection(Endpoint server) throws IOException {
    socket = new Socket(server.host(), server.port());
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MS);
  }

  void send(String text) throws IOException {
    send(text.getBytes(StandardCharsets.US_ASCII));
  }

  void send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Closes the write side of the connection, as a client does after its last request. */
  void shutdownOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** Returns the number of bytes that can be read without blocking. */
  int availableBytes() throws IOException {
    return socket.getInputStream().available();
  }

  /** Reads one response with its head and body. */
  String readResponse() throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) readByte());
    }
    byte[] body = socket.getInputStream().readNBytes(contentLength(head.toString()));
    return head + new String(body, StandardCharsets.US_ASCII);
  }

  private int readByte() throws IOException {
    int next = socket.getInputStream().read();
    if (next < 0) {
      throw new IOException("the connection ended before the response did");
    }
    return next;
  }

  private static int contentLength(String head) {
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("content-length: "))
        .mapToInt(line -> Integer.parseInt(line.substring("content-length: ".length())))
        .findFirst()
        .orElse(0);
  }

  /**
   * Reads until the server closes its side.
   *
   * @throws IOException if the connection was reset
   */
  String readToEnd() throws IOException {
    InputStream in = socket.getInputStream();
    return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
