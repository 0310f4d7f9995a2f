package eiderfork.core;

/** The keys in the state service. */
public final class Keys {
  public static final String LEADER = "leader";
  public static final String TERM = "term";
  public static final String TYPES = "types";
  public static final String JOB = "job/";
  public static final String ALLOC = "alloc/";
  public static final String ABORT = "abort/";

  /** The final states of jobs that have left the keys above. */
  public static final String ENDED = "ended/";

  public static final String RENT = "rent/";
  public static final String RETURN = "return/";
  public static final String VERSION = "cluster-version";
  public static final String LEASE_PROXY = "deputy/";

  private Keys() {}

  static String job(String uid) {
    return JOB + uid;
  }

  static String alloc(String uid) {
    return ALLOC + uid;
  }

  static String abort(String uid) {
    return ABORT + uid;
  }

  static String ended(String uid) {
    return ENDED + uid;
  }

  /** What follows the first slash. */
  static String tail(String key) {
    return key.substring(key.indexOf('/') + 1);
  }
}
