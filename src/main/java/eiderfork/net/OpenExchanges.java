package eiderfork.net;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;

/** Requests to this node without a response yet, by the ticket in their input. */
final class OpenExchanges {
  private final Long2ObjectOpenHashMap<HttpServer.Exchange> exchanges =
      new Long2ObjectOpenHashMap<>();

  /** Users' requests forwarded by a peer; their responses are encoded in the peer protocol. */
  private final Long2ObjectOpenHashMap<HttpServer.Exchange> forwardedExchanges =
      new Long2ObjectOpenHashMap<>();

  private long lastTicket;

  /** Registers a request and returns its ticket. */
  long open(HttpServer.Exchange exchange) {
    exchanges.put(++lastTicket, exchange);
    return lastTicket;
  }

  /** Registers a user's request forwarded by a peer and returns its ticket. */
  long openForwarded(HttpServer.Exchange exchange) {
    forwardedExchanges.put(++lastTicket, exchange);
    return lastTicket;
  }

  /** Removes and returns the request with this ticket. */
  HttpServer.Exchange take(long ticket) {
    return exchanges.remove(ticket);
  }

  /**
   * Removes and returns the forwarded request with this ticket; null if it is not a forwarded one.
   */
  HttpServer.Exchange takeForwarded(long ticket) {
    return forwardedExchanges.remove(ticket);
  }
}
