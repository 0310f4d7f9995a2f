package eiderfork.net;

/** Why a server closes a connection. */
enum CloseReason {
  /** The request asks for it, or is of HTTP 1.0; its own response is the last one. */
  REQUESTED,

  /** The body is larger than the protocol allows. */
  OVERSIZED_BODY,

  /** The bytes are not HTTP. */
  MALFORMED_REQUEST,

  /** The request has an expectation that the server does not know. */
  UNSUPPORTED_EXPECTATION,

  /** The connection, or the handling of a request, failed. */
  FAILED
}
