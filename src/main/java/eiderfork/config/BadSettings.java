package eiderfork.config;

/** Settings that can't be used; the text names file, field and reason. */
public final class BadSettings extends Exception {
  /** Names the file, the field (empty for the file as a whole) and the reason. */
  public BadSettings(String file, String field, String reason) {
    super(file + ": " + (field.isEmpty() ? "" : field + ": ") + reason);
  }
}
