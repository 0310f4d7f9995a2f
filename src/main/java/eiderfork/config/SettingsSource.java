package eiderfork.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/** The text of a settings file, and the errors that name the file. */
public final class SettingsSource {
  private final String file;
  private final String text;

  /** Takes a text; the file is only named in errors. */
  public SettingsSource(String file, String text) {
    this.file = file;
    this.text = text;
  }

  /**
   * Reads a file.
   *
   * @throws InvalidSettingsException where it can't be read
   */
  public static SettingsSource read(Path path) throws InvalidSettingsException {
    String file = path.toString();
    try {
      return new SettingsSource(file, Files.readString(path));
    } catch (IOException e) {
      throw new InvalidSettingsException(file, "", "can't be read", e);
    }
  }

  /** The text of the file. */
  public String text() {
    return text;
  }

  /** The error for a field that can't be used. */
  public InvalidSettingsException invalidField(String field, String reason) {
    return new InvalidSettingsException(file, field, reason);
  }

  /** The error for a text that can't be read as what it should be. */
  public InvalidSettingsException invalidText(String reason, Exception cause) {
    return new InvalidSettingsException(file, "", reason, cause);
  }

  /**
   * Checks a field.
   *
   * @throws InvalidSettingsException with this reason, where it is not valid
   */
  public void require(boolean isValid, String field, String reason)
      throws InvalidSettingsException {
    if (!isValid) {
      throw invalidField(field, reason);
    }
  }

  /**
   * Checks that a field is above 0.
   *
   * @throws InvalidSettingsException where it is not
   */
  public void requirePositive(double value, String field) throws InvalidSettingsException {
    require(value > 0, field, "not above 0");
  }

  /**
   * Checks that a field is not below a bound.
   *
   * @throws InvalidSettingsException where it is
   */
  public void requireAtLeast(double value, double min, String field)
      throws InvalidSettingsException {
    require(value >= min, field, "less than " + min);
  }

  /**
   * Checks that a field has one of the known values.
   *
   * @throws InvalidSettingsException where it has not
   */
  public void requireOneOf(String value, Set<String> known, String field)
      throws InvalidSettingsException {
    if (!known.contains(value)) {
      throw invalidField(field, "not one of " + new TreeSet<>(known));
    }
  }
}
