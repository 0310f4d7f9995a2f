package eiderfork.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.ArrayList;
import java.util.List;

/** A table of a TOML file, and its place in the file for errors. */
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

  /** The file as a table. */
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

  /** A table in this one. */
  TomlTable table(String name) throws InvalidSettingsException {
    JsonNode value = node.path(name);
    if (!value.isObject()) {
      throw invalid(name, "missing table");
    }
    return new TomlTable(source, value, fieldPath(name));
  }

  /**
   * The tables of an array, none where there is no array.
   *
   * @param elementPath how errors call each of them
   */
  List<TomlTable> tables(String name, String elementPath) {
    List<TomlTable> tables = new ArrayList<>();
    for (JsonNode element : node.path(name)) {
      tables.add(new TomlTable(source, element, elementPath));
    }
    return tables;
  }

  /** This table with the fields of another where it has none. */
  TomlTable withDefaults(TomlTable defaults) {
    ObjectNode merged = defaults.node.deepCopy();
    merged.setAll((ObjectNode) node);
    return new TomlTable(source, merged, path);
  }

  String text(String name) throws InvalidSettingsException {
    JsonNode value = node.path(name);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw invalid(name, value.isMissingNode() ? "missing" : "not a text");
    }
    return value.textValue();
  }

  /** The text, or an empty one for a missing field. */
  String textOrEmpty(String name) {
    return node.path(name).asText("");
  }

  /** A number of at least 0. */
  double number(String name, double fallback) throws InvalidSettingsException {
    JsonNode value = node.path(name);
    if (value.isMissingNode()) {
      return fallback;
    }
    if (!value.isNumber() || !(value.doubleValue() >= 0)) {
      throw invalid(name, "not a number of at least 0");
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

  /** An address of the form host:port. */
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

  /** Checks a field. */
  void require(boolean isValid, String name, String reason) throws InvalidSettingsException {
    source.require(isValid, fieldPath(name), reason);
  }
}
