package eiderfork.loadtest;

import eiderfork.config.Settings.Endpoint;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Finds free ports for controllers, below the system's ephemeral port range: an outgoing connection
 * took the port of a controller that was down.
 */
final class FreePorts {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int FIRST = 20_000;
  private static final int LAST = 32_000;

  /** Number of possible start ports and the distance between them; separates concurrent runs. */
  private static final int SPREAD = 100;

  private int next = FIRST + (int) (ProcessHandle.current().pid() % SPREAD) * SPREAD;

  Endpoint next() throws IOException {
    while (next < LAST) {
      int port = next++;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
        return new Endpoint(LOOPBACK, socket.getLocalPort());
      } catch (java.net.BindException e) {
        // Another process uses the port.
        continue;
      }
    }
    throw new IOException("no free port below " + LAST);
  }
}
