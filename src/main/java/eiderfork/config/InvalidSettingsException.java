package eiderfork.config;

/** Settings that can't be used; the text names file, field and reason. */
public final class InvalidSettingsException extends Exception {
  /** Names the file, the field (empty for the file as a whole) and the reason. */
  public InvalidSettingsException(String file, String field, String reason) {
    super(file + ": " + (field.isEmpty() ? "" : field + ": ") + reason);
  }
}
