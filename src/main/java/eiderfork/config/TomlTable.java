package eiderfork.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.List;

/** A table of a TOML file, with its path in the file for error messages. */
final class TomlTable {
  private static final int MAX_PORT = 65_535;

  private final SettingsSource source;
  private final JsonNode node;
  private final String path;

  private TomlTable(SettingsSource source, JsonNode node, String path) {
    this.source = source;
    this.node = node;
    this.path = path;
  }

  /** Parses a file and returns its root table. */
  static TomlTable parse(SettingsSource source) throws InvalidSettingsException {
    try {
      return new TomlTable(source, new TomlMapper().readTree(source.text()), "");
    } catch (JsonProcessingException e) {
      throw source.invalidText("not TOML: " + e.getOriginalMessage(), e);
    }
  }

  private String fieldPath(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  private InvalidSettingsException invalid(String name, String reason) {
    return source.invalidField(fieldPath(name), reason);
  }

  boolean has(String name) {
    return node.has(name);
  }

  /** Returns a nested table, which is required. */
  TomlTable table(String name) throws InvalidSettingsException {
    JsonNode value = node.path(name);
    if (!value.isObject()) {
      throw invalid(name, "missing table");
    }
    return new TomlTable(source, value, fieldPath(name));
  }

  /**
   * Returns the tables of an array, or an empty list if there is no array.
   *
   * @param elementPath the path of each table in error messages
   */
  List<TomlTable> tables(String name, String elementPath) {
    List<TomlTable> tables = new ArrayList<>();
    for (JsonNode element : node.path(name)) {
      tables.add(new TomlTable(source, element, elementPath));
    }
    return tables;
  }

  /** Returns a copy of this table, with missing fields taken from another table. */
  TomlTable withDefaults(TomlTable defaults) {
    ObjectNode merged = defaults.node.deepCopy();
    merged.setAll((ObjectNode) node);
    return new TomlTable(source, merged, path);
  }

  String text(String name) throws InvalidSettingsException {
    JsonNode value = node.path(name);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw invalid(name, value.isMissingNode() ? "missing" : "must be a non-empty string");
    }
    return value.textValue();
  }

  /** Returns the text of a field, or an empty string if it is missing. */
  String textOrEmpty(String name) {
    return node.path(name).asText("");
  }

  /** Returns a non-negative number, or the fallback if the field is missing. */
  double number(String name, double fallback) throws InvalidSettingsException {
    JsonNode value = node.path(name);
    if (value.isMissingNode()) {
      return fallback;
    }
    if (!value.isNumber() || !(value.doubleValue() >= 0)) {
      throw invalid(name, "not a non-negative number");
    }
    return value.doubleValue();
  }

  double positive(String name) throws InvalidSettingsException {
    double value = number(name, 0);
    if (value <= 0) {
      throw invalid(name, "missing or not above 0");
    }
    return value;
  }

  /** Returns a required endpoint, which has the form {@code host:port}. */
  Settings.Endpoint endpoint(String name) throws InvalidSettingsException {
    String value = text(name);
    int colon = value.lastIndexOf(':');
    int port = portOrNegative(value.substring(colon + 1));
    if (colon <= 0 || port < 0 || port > MAX_PORT) {
      throw invalid(name, "not an address of the form host:port");
    }
    return new Settings.Endpoint(value.substring(0, colon), port);
  }

  private static int portOrNegative(String text) {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** Checks a condition on a field; the reason is that of the error if it does not hold. */
  void require(boolean isValid, String name, String reason) throws InvalidSettingsException {
    source.require(isValid, fieldPath(name), reason);
  }
}
