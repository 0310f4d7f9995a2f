package eiderfork.controller.standby;

/** The replica can't be proved to be what is committed; the message says why. */
final class ReplicaInvalidException extends Exception {
  private static final long serialVersionUID = 1;

  ReplicaInvalidException(String reason) {
    super(reason);
  }
}
