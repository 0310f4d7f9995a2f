package eiderfork.controller.message;

/** The keys in the store. */
public final class StoreKeys {
  /** Who leads; attached to the leader's lease. */
  public static final String LEADER = "leader";

  /** The last term that was begun. */
  public static final String TERM = "term";

  /** The cloud's machine types, as last read. */
  public static final String MACHINE_TYPES = "types";

  /** Submissions by job. */
  public static final String JOB_PREFIX = "job/";

  /** Reservations and finished tasks by job. */
  public static final String ALLOCATION_PREFIX = "alloc/";

  /** Confirmed cancellations by job. */
  public static final String CANCELLATION_PREFIX = "abort/";

  /** Final states by job, of jobs that are archived. */
  public static final String ARCHIVED_JOB_PREFIX = "ended/";

  /** Intents to scale out. */
  public static final String SCALE_OUT_INTENT_PREFIX = "rent/";

  /** Intents to scale in. */
  public static final String SCALE_IN_INTENT_PREFIX = "return/";

  /** The version that every member runs. */
  public static final String CLUSTER_VERSION = "cluster-version";

  /** The machines whose leases are renewed by proxies. */
  public static final String LEASE_PROXY_PREFIX = "deputy/";

  private StoreKeys() {}

  /** The key of a submission. */
  public static String job(String uid) {
    return JOB_PREFIX + uid;
  }

  /** The key of the leader's record of a job. */
  public static String allocation(String uid) {
    return ALLOCATION_PREFIX + uid;
  }

  /** The key of a confirmed cancellation. */
  public static String cancellation(String uid) {
    return CANCELLATION_PREFIX + uid;
  }

  /** The key of the final state of an archived job. */
  public static String archivedJob(String uid) {
    return ARCHIVED_JOB_PREFIX + uid;
  }

  /** What follows the first slash. */
  public static String withoutPrefix(String key) {
    return key.substring(key.indexOf('/') + 1);
  }
}
