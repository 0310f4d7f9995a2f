package eiderfork.net;

/** Reason for which a server closes a connection. */
enum CloseReason {
  /**
   * The request has {@code Connection: close} or is HTTP/1.0 without keep-alive; its response is
   * the last one on the connection.
   */
  REQUESTED,

  /** The body is larger than the protocol allows. */
  OVERSIZED_BODY,

  /** The request is not valid HTTP. */
  MALFORMED_REQUEST,

  /** The {@code Expect} header has a value that the server does not support. */
  UNSUPPORTED_EXPECTATION,

  /** The connection, or the handling of a request, failed. */
  FAILED
}
