package eiderfork.net;

import eiderfork.config.Settings.Endpoint;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client's connection whose bytes the test sends and reads one by one. */
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

  /** Ends the client's own direction, as the end of its last request. */
  void endOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** How many bytes were received and not read yet. */
  int received() throws IOException {
    return socket.getInputStream().available();
  }

  /** Reads one response, head and body. */
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

  /** Reads the rest up to the server's end; fails with {@link IOException} where it was reset. */
  String readToEnd() throws IOException {
    InputStream in = socket.getInputStream();
    return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
