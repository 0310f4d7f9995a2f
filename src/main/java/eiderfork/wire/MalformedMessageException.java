package eiderfork.wire;

/** A message that does not follow the protocol. */
public final class MalformedMessageException extends Exception {
  /**
   * Creates the exception.
   *
   * @param message the field and what is wrong with it; sent in the body of a 400 response
   */
  public MalformedMessageException(String message) {
    super(message);
  }
}
