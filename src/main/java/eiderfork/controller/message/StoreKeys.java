package eiderfork.controller.message;

/** The keys in the state service. */
public final class StoreKeys {
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

  private StoreKeys() {}

  /** The key of a submission. */
  public static String job(String uid) {
    return JOB + uid;
  }

  /** The key of the leader's record of a job. */
  public static String alloc(String uid) {
    return ALLOC + uid;
  }

  /** The key of a confirmed cancellation. */
  public static String abort(String uid) {
    return ABORT + uid;
  }

  /** The key of the final state of an archived job. */
  public static String ended(String uid) {
    return ENDED + uid;
  }

  /** What follows the first slash. */
  public static String tail(String key) {
    return key.substring(key.indexOf('/') + 1);
  }
}
