package eiderfork.controller.standby;

/** Thrown when the replica can't be proved to equal the committed state; the message says why. */
final class ReplicaInvalidException extends Exception {
  private static final long serialVersionUID = 1;

  /** Creates an exception with the reason to log. */
  ReplicaInvalidException(String reason) {
    super(reason);
  }
}
