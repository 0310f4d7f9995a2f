package eiderfork.net;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** The store, the cloud and a worker of a training run: the least that a controller works with. */
final class TrainingStubs {
  /** A fencing token of the first term. */
  static final long FENCING_TOKEN = (1L << 24) + 1;

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int SERVICE_UNAVAILABLE = 503;

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

  /** The worker's own heartbeats count from here, past those that are sent to the controller. */
  private static final long FIRST_SEQUENCE = 1000;

  private final AtomicLong revision = new AtomicLong(1);

  /** Answers a request to any of the services. */
  void handle(HttpServer.Exchange exchange) {
    String path = exchange.path();
    if (path.startsWith("/keys") || path.startsWith("/leases") || path.startsWith("/multi")) {
      respondAsStore(exchange, path);
    } else if (path.startsWith("/hosts") || path.startsWith("/flavors")) {
      respondAsCloud(exchange, path);
    } else if (!path.startsWith("/follow")) {
      long sequence = FIRST_SEQUENCE + revision.incrementAndGet();
      respond(exchange, OK, HEARTBEAT.formatted(sequence, FENCING_TOKEN));
    }
    // A watch stays open, as one without changes does.
  }

  private void respondAsStore(HttpServer.Exchange exchange, String path) {
    if (path.startsWith("/keys/")) {
      respond(exchange, NOT_FOUND, "{\"Ledger\":%d}".formatted(revision.get()));
    } else if (path.startsWith("/keys")) {
      String page = "{\"Items\":[],\"HasNext\":false,\"Ledger\":%d}";
      respond(exchange, OK, page.formatted(revision.get()));
    } else if (path.startsWith("/leases")) {
      respond(exchange, OK, "{\"Tether\":1}");
    } else {
      respond(exchange, OK, "{\"Ledger\":%d}".formatted(revision.incrementAndGet()));
    }
  }

  private static void respondAsCloud(HttpServer.Exchange exchange, String path) {
    if (path.startsWith("/flavors")) {
      respond(exchange, OK, TYPES);
    } else if (path.startsWith("/hosts/return")) {
      respond(exchange, OK, "{}");
    } else if (path.startsWith("/hosts?")) {
      respond(exchange, OK, MACHINES);
    } else {
      respond(exchange, SERVICE_UNAVAILABLE, "{\"error\":\"no capacity\"}");
    }
  }

  private static void respond(HttpServer.Exchange exchange, int status, String body) {
    exchange.respond(status, body.getBytes(StandardCharsets.UTF_8), 0);
  }
}
