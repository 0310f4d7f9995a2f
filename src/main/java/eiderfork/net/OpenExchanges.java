package eiderfork.net;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;

/** The requests to this node that are not answered yet, by the tickets that their inputs carry. */
final class OpenExchanges {
  private final Long2ObjectOpenHashMap<HttpServer.Exchange> exchanges =
      new Long2ObjectOpenHashMap<>();

  /** Users' requests that a peer forwarded; they are answered in the peers' format. */
  private final Long2ObjectOpenHashMap<HttpServer.Exchange> forwardedExchanges =
      new Long2ObjectOpenHashMap<>();

  private long lastTicket;

  /** A ticket for a request. */
  long open(HttpServer.Exchange exchange) {
    exchanges.put(++lastTicket, exchange);
    return lastTicket;
  }

  /** A ticket for a user's request that a peer forwarded. */
  long openForwarded(HttpServer.Exchange exchange) {
    forwardedExchanges.put(++lastTicket, exchange);
    return lastTicket;
  }

  /** The request that the ticket was given for, which is answered now. */
  HttpServer.Exchange take(long ticket) {
    return exchanges.remove(ticket);
  }

  /** The forwarded request that the ticket was given for, or null where it was none. */
  HttpServer.Exchange takeForwarded(long ticket) {
    return forwardedExchanges.remove(ticket);
  }
}
