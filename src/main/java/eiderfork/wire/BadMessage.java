package eiderfork.wire;

/** A message that does not follow the protocol; the text says where. */
public final class BadMessage extends Exception {
  /** Says what is wrong, and where. */
  public BadMessage(String message) {
    super(message);
  }
}
