package eiderfork.wire;

/** The HTTP status codes that the protocol uses. */
public final class HttpStatus {
  public static final int OK = 200;
  public static final int BAD_REQUEST = 400;
  public static final int NOT_FOUND = 404;
  public static final int METHOD_NOT_ALLOWED = 405;
  public static final int CONFLICT = 409;

  /** The worker or user has to send the request to another node. */
  public static final int MISDIRECTED_REQUEST = 421;

  public static final int SERVICE_UNAVAILABLE = 503;

  private HttpStatus() {}
}
