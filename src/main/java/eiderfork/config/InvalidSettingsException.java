package eiderfork.config;

/** Settings that can't be used, with the file, the field and the reason. */
public final class InvalidSettingsException extends Exception {
  private final String file;
  private final String field;
  private final String reason;

  /**
   * Names what can't be used, and why.
   *
   * @param field empty for the file as a whole
   */
  public InvalidSettingsException(String file, String field, String reason) {
    this(file, field, reason, null);
  }

  /** Names what can't be used, and why, with the exception that showed it. */
  public InvalidSettingsException(String file, String field, String reason, Throwable cause) {
    super(file + ": " + (field.isEmpty() ? "" : field + ": ") + reason, cause);
    this.file = file;
    this.field = field;
    this.reason = reason;
  }

  /** The file. */
  public String file() {
    return file;
  }

  /** The path of the field; empty for the file as a whole. */
  public String field() {
    return field;
  }

  /** Why it can't be used. */
  public String reason() {
    return reason;
  }
}
