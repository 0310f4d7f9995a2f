package eiderfork.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import eiderfork.config.Settings.Endpoint;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

/** Tests the pool of idle connections. */
class IdleConnectionsTest {
  private static final int MAX_COUNT = 16;

  private final IdleConnections idle = new IdleConnections(MAX_COUNT);

  private static Endpoint worker(int number) {
    return new Endpoint("10.1.0." + number, 9000);
  }

  /** Memory leaked for each address that a command was ever sent to. */
  @Test
  void endpointsWithoutConnectionsAreRemoved() {
    for (int i = 0; i < 100; i++) {
      idle.add(worker(i), new EmbeddedChannel());
      idle.take(worker(i)).close();
    }
    assertEquals(0, idle.endpointCount());
  }

  /** A connection closed by its peer is never reused, and is removed from the pool. */
  @Test
  void closedConnectionsAreNotTaken() {
    EmbeddedChannel open = new EmbeddedChannel();
    EmbeddedChannel closed = new EmbeddedChannel();
    idle.add(worker(1), open);
    idle.add(worker(1), closed);
    closed.close();
    assertSame(open, idle.take(worker(1)));
    assertNull(idle.take(worker(1)));
    assertEquals(0, idle.endpointCount());
  }
}
