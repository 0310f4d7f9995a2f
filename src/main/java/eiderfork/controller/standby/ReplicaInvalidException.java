package eiderfork.controller.standby;

/** The replica can't be proved to be what is committed; the message says why. */
final class ReplicaInvalidException extends Exception {
  private static final long serialVersionUID = 1;

  /** Makes an exception with the reason that the log shows. */
  ReplicaInvalidException(String reason) {
    super(reason);
  }
}
