package eiderfork.wire;

/** A message that does not follow the protocol. */
public final class MalformedMessageException extends Exception {
  /** Names the field and what is wrong with it. */
  public MalformedMessageException(String message) {
    super(message);
  }
}
