package eiderfork.net;

import eiderfork.wire.HttpStatus;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stubs of the store, the cloud and a worker for {@link CdsTrainingRun}, with the minimum of
 * responses that a controller needs.
 */
final class CdsTrainingStubs {
  /** A fencing token of the first term. */
  static final long FENCING_TOKEN = (1L << 24) + 1;

  private static final String TYPES =
      """
      {"Breeds":[{"Label":"t","Cpus":8,"Gpus":0,"RamGb":8,"LocalGb":10,"PullGbPerS":1.0,
      "Rate":1.0,"MarketPrice":0.5,"ReadyS":1,"Shores":["a"]}]}""";

  private static final String MACHINES =
      """
      {"Roosts":[{"Uid":"n-1","Addr":"127.0.0.1:1","Breed":"t","Shore":"a",
      "Driftwood":false,"Stance":"running","AgeS":1.5}],"HasNext":false}""";

  private static final String HEARTBEAT =
      """
      {"Roost":"n-1","Addr":"127.0.0.1:1","Breed":"t","Shore":"a","Driftwood":false,
      "Tenure":1,"Tally":%d,"Warrant":%d,"Hatchlings":[]}""";

  /**
   * Sequence numbers of the heartbeats in the worker's responses start after this, above those of
   * the heartbeats that the training run sends to the controller.
   */
  private static final long SEQUENCE_OFFSET = 1000;

  private final AtomicLong revision = new AtomicLong(1);

  /** Responds to a request to any of the services. */
  void handle(HttpServer.Exchange exchange) {
    String path = exchange.path();
    if (path.startsWith("/keys") || path.startsWith("/leases") || path.startsWith("/multi")) {
      respondAsStore(exchange, path);
    } else if (path.startsWith("/hosts") || path.startsWith("/flavors")) {
      respondAsCloud(exchange, path);
    } else if (!path.startsWith("/follow")) {
      long sequence = SEQUENCE_OFFSET + revision.incrementAndGet();
      respond(exchange, HttpStatus.OK, HEARTBEAT.formatted(sequence, FENCING_TOKEN));
    }
    // A watch request gets no response, like a watch without changes.
  }

  private void respondAsStore(HttpServer.Exchange exchange, String path) {
    if (path.startsWith("/keys/")) {
      respond(exchange, HttpStatus.NOT_FOUND, "{\"Ledger\":%d}".formatted(revision.get()));
    } else if (path.startsWith("/keys")) {
      String page = "{\"Items\":[],\"HasNext\":false,\"Ledger\":%d}";
      respond(exchange, HttpStatus.OK, page.formatted(revision.get()));
    } else if (path.startsWith("/leases")) {
      respond(exchange, HttpStatus.OK, "{\"Tether\":1}");
    } else {
      respond(exchange, HttpStatus.OK, "{\"Ledger\":%d}".formatted(revision.incrementAndGet()));
    }
  }

  private static void respondAsCloud(HttpServer.Exchange exchange, String path) {
    if (path.startsWith("/flavors")) {
      respond(exchange, HttpStatus.OK, TYPES);
    } else if (path.startsWith("/hosts/return")) {
      respond(exchange, HttpStatus.OK, "{}");
    } else if (path.startsWith("/hosts?")) {
      respond(exchange, HttpStatus.OK, MACHINES);
    } else {
      respond(exchange, HttpStatus.SERVICE_UNAVAILABLE, "{\"error\":\"no capacity\"}");
    }
  }

  private static void respond(HttpServer.Exchange exchange, int status, String body) {
    exchange.respond(status, body.getBytes(StandardCharsets.UTF_8), 0);
  }
}
