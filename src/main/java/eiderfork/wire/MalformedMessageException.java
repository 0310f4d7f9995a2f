package eiderfork.wire;

/** A message that does not follow the protocol; the text says where. */
public final class MalformedMessageException extends Exception {
  /** Says what is wrong, and where. */
  public MalformedMessageException(String message) {
    super(message);
  }
}
