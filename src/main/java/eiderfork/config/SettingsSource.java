package eiderfork.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;

/** The text of a settings file, with methods that create errors naming the file. */
public final class SettingsSource {
  private final String file;
  private final String text;

  /** Creates a source from a text; the file is only used in error messages. */
  public SettingsSource(String file, String text) {
    this.file = file;
    this.text = text;
  }

  /**
   * Reads a file.
   *
   * @throws InvalidSettingsException if the file can't be read
   */
  public static SettingsSource read(Path path) throws InvalidSettingsException {
    String file = path.toString();
    try {
      return new SettingsSource(file, Files.readString(path));
    } catch (IOException e) {
      throw new InvalidSettingsException(file, "", "can't be read", e);
    }
  }

  /** Returns the text of the file. */
  public String text() {
    return text;
  }

  /** Returns an error for an invalid field. */
  public InvalidSettingsException invalidField(String field, String reason) {
    return new InvalidSettingsException(file, field, reason);
  }

  /** Returns an error for a text that can't be parsed. */
  public InvalidSettingsException invalidText(String reason, Exception cause) {
    return new InvalidSettingsException(file, "", reason, cause);
  }

  /**
   * Checks a condition on a field.
   *
   * @throws InvalidSettingsException with this reason if {@code isValid} is false
   */
  public void require(boolean isValid, String field, String reason)
      throws InvalidSettingsException {
    if (!isValid) {
      throw invalidField(field, reason);
    }
  }

  /**
   * Checks that a field is greater than 0.
   *
   * @throws InvalidSettingsException if it is not
   */
  public void requirePositive(double value, String field) throws InvalidSettingsException {
    require(value > 0, field, "not above 0");
  }

  /**
   * Checks that a field is not less than a minimum.
   *
   * @throws InvalidSettingsException if it is less
   */
  public void requireAtLeast(double value, double min, String field)
      throws InvalidSettingsException {
    require(value >= min, field, "less than " + min);
  }

  /**
   * Checks that a field has one of the known values.
   *
   * @throws InvalidSettingsException if its value is not known
   */
  public void requireOneOf(String value, Set<String> known, String field)
      throws InvalidSettingsException {
    if (!known.contains(value)) {
      throw invalidField(field, "not one of " + new TreeSet<>(known));
    }
  }
}
