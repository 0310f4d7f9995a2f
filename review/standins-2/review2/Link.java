package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BooleanSupplier;

/**
 * A stretch of network between two hosts. While it is interrupted, packets of open connections are
 * held back, in both directions, and delivered in order afterwards, also if their sender has closed
 * the connection meanwhile. A connection attempt that is given up during an interruption does not
 * complete later.
 */
final class Link {
  private static final byte[] END = new byte[0];

  private final ServerSocket listener;
  private final int target;
  private final BooleanSupplier interrupted;
  private final String name;
  private final Record record;

  Link(int target, BooleanSupplier interrupted, String name, Record record) throws IOException {
    this.target = target;
    this.interrupted = interrupted;
    this.name = name;
    this.record = record;
    listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    start(this::acceptAll);
  }

  int port() {
    return listener.getLocalPort();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptAll() {
    while (true) {
      try {
        Socket client = listener.accept();
        client.setTcpNoDelay(true);
        boolean beganInterrupted = interrupted.getAsBoolean();
        LinkedBlockingQueue<byte[]> toServer = new LinkedBlockingQueue<>();
        start(() -> readAll(client, toServer));
        start(() -> carry(client, toServer, beganInterrupted));
      } catch (IOException e) {
        return;
      }
    }
  }

  private static void readAll(Socket from, LinkedBlockingQueue<byte[]> queue) {
    byte[] buffer = new byte[65536];
    try {
      while (true) {
        int count = from.getInputStream().read(buffer);
        if (count < 0) {
          break;
        }
        queue.add(Arrays.copyOf(buffer, count));
      }
    } catch (IOException e) {
      // A reset ends the stream; what was read before it is delivered.
    }
    queue.add(END);
  }

  private void awaitOpen() throws InterruptedException {
    while (interrupted.getAsBoolean()) {
      Thread.sleep(5);
    }
  }

  private void carry(
      Socket client, LinkedBlockingQueue<byte[]> toServer, boolean beganInterrupted) {
    try {
      if (beganInterrupted) {
        awaitOpen();
        if (toServer.contains(END)) {
          client.close();
          return;
        }
      }
      Socket server = new Socket("127.0.0.1", target);
      server.setTcpNoDelay(true);
      LinkedBlockingQueue<byte[]> toClient = new LinkedBlockingQueue<>();
      start(() -> readAll(server, toClient));
      start(() -> writeAll(toClient, client, server));
      writeAll(toServer, server, client);
    } catch (IOException | InterruptedException e) {
      close(client);
    }
  }

  private void writeAll(LinkedBlockingQueue<byte[]> queue, Socket to, Socket from) {
    try {
      OutputStream out = to.getOutputStream();
      while (true) {
        byte[] bytes = queue.take();
        boolean held = interrupted.getAsBoolean();
        awaitOpen();
        if (Arrays.equals(bytes, END)) {
          to.shutdownOutput();
          return;
        }
        if (held) {
          record.line("link %s delivers %d bytes that were held back", name, bytes.length);
        }
        out.write(bytes);
        out.flush();
      }
    } catch (IOException | InterruptedException e) {
      close(to);
      close(from);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed in any case.
    }
  }
}
