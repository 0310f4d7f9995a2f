package eiderfork.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.function.Function;

/** Parses and writes JSON, and reads typed fields; errors name the field. */
final class JsonReader {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private JsonReader() {}

  static ObjectNode newObject() {
    return MAPPER.createObjectNode();
  }

  static byte[] toBytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can't be written", e);
    }
  }

  /** Parses bytes that hold exactly one JSON object. */
  static ObjectNode parse(byte[] bytes) throws MalformedMessageException {
    try (var parser = MAPPER.getFactory().createParser(bytes)) {
      JsonNode node = MAPPER.readTree(parser);
      if (!(node instanceof ObjectNode object)) {
        throw new MalformedMessageException("not a JSON object");
      }
      if (parser.nextToken() != null) {
        throw new MalformedMessageException("more than one JSON value");
      }
      return object;
    } catch (IOException e) {
      throw new MalformedMessageException("not JSON");
    }
  }

  private static JsonNode requiredField(JsonNode node, String name)
      throws MalformedMessageException {
    JsonNode value = node.get(name);
    if (value == null || value.isNull()) {
      throw new MalformedMessageException("missing field " + name);
    }
    return value;
  }

  static String text(JsonNode node, String name) throws MalformedMessageException {
    JsonNode value = requiredField(node, name);
    if (!value.isTextual()) {
      throw new MalformedMessageException("field " + name + " is not a text");
    }
    return value.textValue();
  }

  static String textOrNull(JsonNode node, String name) throws MalformedMessageException {
    return node.hasNonNull(name) ? text(node, name) : null;
  }

  /** Returns the value of a required field: a finite, non-negative number. */
  static double amount(JsonNode node, String name) throws MalformedMessageException {
    JsonNode value = requiredField(node, name);
    if (!value.isNumber()
        || !(value.doubleValue() >= 0)
        || Double.isInfinite(value.doubleValue())) {
      throw new MalformedMessageException("field " + name + " is not an amount");
    }
    return value.doubleValue();
  }

  static Double amountOrNull(JsonNode node, String name) throws MalformedMessageException {
    return node.hasNonNull(name) ? (Double) amount(node, name) : null;
  }

  /**
   * Returns the value of a required field: a non-negative integer, or {@code Long.MAX_VALUE} if it
   * is larger.
   */
  static long integer(JsonNode node, String name) throws MalformedMessageException {
    JsonNode value = requiredField(node, name);
    if (!value.isIntegralNumber() || value.bigIntegerValue().signum() < 0) {
      throw new MalformedMessageException("field " + name + " is not a whole number");
    }
    return value.canConvertToLong() ? value.longValue() : Long.MAX_VALUE;
  }

  static boolean flag(JsonNode node, String name) throws MalformedMessageException {
    JsonNode value = requiredField(node, name);
    if (!value.isBoolean()) {
      throw new MalformedMessageException("field " + name + " is not true or false");
    }
    return value.booleanValue();
  }

  static ArrayNode array(JsonNode node, String name) throws MalformedMessageException {
    if (!(requiredField(node, name) instanceof ArrayNode array)) {
      throw new MalformedMessageException("field " + name + " is not a list");
    }
    return array;
  }

  /**
   * Returns the constant for the text of a required field.
   *
   * @param byName returns the constant for a text, or null if there is none
   */
  static <T> T oneOf(JsonNode node, String name, Function<String, T> byName)
      throws MalformedMessageException {
    T value = byName.apply(text(node, name));
    if (value == null) {
      throw new MalformedMessageException("field " + name + " has an unknown value");
    }
    return value;
  }
}
