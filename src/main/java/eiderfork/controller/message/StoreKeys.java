package eiderfork.controller.message;

/** The keys in the state service. */
public final class StoreKeys {
  public static final String LEADER = "leader";
  public static final String TERM = "term";
  public static final String MACHINE_TYPES = "types";
  public static final String JOB_PREFIX = "job/";
  public static final String ALLOC_PREFIX = "alloc/";
  public static final String CANCELLATION_PREFIX = "abort/";

  /** The final states of jobs that have left the keys above. */
  public static final String ENDED_PREFIX = "ended/";

  public static final String RENT_PREFIX = "rent/";
  public static final String RETURN_PREFIX = "return/";
  public static final String CLUSTER_VERSION = "cluster-version";
  public static final String LEASE_PROXY_PREFIX = "deputy/";

  private StoreKeys() {}

  /** The key of a submission. */
  public static String job(String uid) {
    return JOB_PREFIX + uid;
  }

  /** The key of the leader's record of a job. */
  public static String alloc(String uid) {
    return ALLOC_PREFIX + uid;
  }

  /** The key of a confirmed cancellation. */
  public static String cancellation(String uid) {
    return CANCELLATION_PREFIX + uid;
  }

  /** The key of the final state of an archived job. */
  public static String ended(String uid) {
    return ENDED_PREFIX + uid;
  }

  /** What follows the first slash. */
  public static String withoutPrefix(String key) {
    return key.substring(key.indexOf('/') + 1);
  }
}
