package eiderfork.config;

/** Thrown for invalid settings; names the file, the field and the reason. */
public final class InvalidSettingsException extends Exception {
  private final String file;
  private final String field;
  private final String reason;

  /**
   * Creates the exception.
   *
   * @param field the path of the field; empty if the reason concerns the whole file
   */
  public InvalidSettingsException(String file, String field, String reason) {
    this(file, field, reason, null);
  }

  /** Creates the exception with a cause. */
  public InvalidSettingsException(String file, String field, String reason, Throwable cause) {
    super(file + ": " + (field.isEmpty() ? "" : field + ": ") + reason, cause);
    this.file = file;
    this.field = field;
    this.reason = reason;
  }

  /** Returns the path of the file. */
  public String file() {
    return file;
  }

  /** Returns the path of the field; empty if the reason concerns the whole file. */
  public String field() {
    return field;
  }

  /** Returns the reason why the field or file is invalid. */
  public String reason() {
    return reason;
  }
}
