package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** A server that speaks HTTP/1.1 with JSON bodies on a loopback port. */
final class Server {
  static final ObjectMapper JSON = new ObjectMapper();

  /** What a handler answers. */
  record Answer(int status, JsonNode body) {}

  interface Handler {
    Answer handle(String method, String path, Map<String, String> query, JsonNode body)
        throws Exception;
  }

  private final HttpServer server;

  Server(Handler handler) throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 512);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  private static void handle(HttpExchange exchange, Handler handler) throws IOException {
    Answer answer;
    try {
      byte[] bytes = exchange.getRequestBody().readAllBytes();
      JsonNode body = bytes.length == 0 ? object() : JSON.readTree(bytes);
      Map<String, String> query = new HashMap<>();
      String text = exchange.getRequestURI().getRawQuery();
      if (text != null) {
        for (String part : text.split("&")) {
          int equals = part.indexOf('=');
          query.put(
              part.substring(0, equals),
              URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
      answer =
          handler.handle(
              exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
    } catch (Exception e) {
      answer = new Answer(400, object().put("error", String.valueOf(e)));
    }
    if (answer == null) {
      exchange.close();
      return;
    }
    byte[] bytes = JSON.writeValueAsBytes(answer.body());
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(answer.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
