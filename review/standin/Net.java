import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A small HTTP/1.1 server and client on loopback, with one thread for each connection. */
final class Net {
  static final String HOST = "127.0.0.1";

  record Request(String method, String path, String body) {}

  /** A response; null instead of one closes the connection without an answer. */
  record Response(int status, String body) {}

  interface Handler {
    Response handle(Request request) throws InterruptedException;
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }

  static Thread daemon(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static ServerSocket serve(int port, Handler handler) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(HOST, port), 1024);
    daemon(
        "accept-" + port,
        () -> {
          while (!server.isClosed()) {
            try {
              Socket socket = server.accept();
              daemon("serve-" + port, () -> serveConnection(socket, handler));
            } catch (IOException e) {
              // A failed accept ends one connection only.
            }
          }
        });
    return server;
  }

  private static void serveConnection(Socket socket, Handler handler) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (true) {
        String start = readLine(in);
        if (start == null) {
          return;
        }
        String body = readBody(in);
        String[] parts = start.split(" ");
        Response response = handler.handle(new Request(parts[0], parts[1], body));
        if (response == null) {
          return;
        }
        write(out, "HTTP/1.1 " + response.status + " X", response.body);
      }
    } catch (IOException | InterruptedException e) {
      // The peer has closed the connection.
    }
  }

  private static void write(OutputStream out, String start, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    String head =
        start
            + "\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: "
            + bytes.length
            + "\r\n\r\n";
    message.write(head.getBytes(StandardCharsets.ISO_8859_1));
    message.write(bytes);
    out.write(message.toByteArray());
    out.flush();
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        return line.toString();
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return null;
  }

  private static String readBody(InputStream in) throws IOException {
    int length = 0;
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(15).trim());
      }
    }
    return new String(in.readNBytes(length), StandardCharsets.UTF_8);
  }

  /** A client's connection, which stays open between requests. */
  static final class Connection implements Closeable {
    private final int port;
    private Socket socket;
    private InputStream in;

    Connection(int port) {
      this.port = port;
    }

    void open(int timeoutMs) throws IOException {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(HOST, port), timeoutMs);
      in = new java.io.BufferedInputStream(socket.getInputStream());
    }

    boolean isOpen() {
      return socket != null && !socket.isClosed();
    }

    /** Sends a request; returns null if there is no response in time, and closes. */
    Response call(String method, String path, String body, int timeoutMs) {
      long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
      try {
        if (!isOpen()) {
          open(timeoutMs);
        }
        write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", body);
        long leftMs = Math.max(1, (deadline - System.nanoTime()) / 1_000_000);
        socket.setSoTimeout((int) leftMs);
        String start = readLine(in);
        if (start == null) {
          close();
          return null;
        }
        return new Response(Integer.parseInt(start.split(" ")[1]), readBody(in));
      } catch (IOException e) {
        close();
        return null;
      }
    }

    @Override
    public void close() {
      if (socket != null) {
        try {
          socket.close();
        } catch (IOException e) {
          // Closed all the same.
        }
      }
    }
  }

  /** Sends one request on a connection of its own. */
  static Response call(int port, String method, String path, String body, int timeoutMs) {
    try (Connection connection = new Connection(port)) {
      return connection.call(method, path, body, timeoutMs);
    }
  }

  private Net() {}
}
