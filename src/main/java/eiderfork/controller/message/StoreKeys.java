package eiderfork.controller.message;

/** The keys of the key-value store. */
public final class StoreKeys {
  /** The key of the leader and its term, attached to the leader's lease. */
  public static final String LEADER = "leader";

  /** The key of the counter of terms. */
  public static final String TERM = "term";

  /** The key of the cloud's machine types, as last read. */
  public static final String MACHINE_TYPES = "types";

  /** The prefix of submitted jobs. */
  public static final String JOB_PREFIX = "job/";

  /** The prefix of allocations: the reserved and finished tasks of each job. */
  public static final String ALLOCATION_PREFIX = "alloc/";

  /** The prefix of confirmed cancellations. */
  public static final String CANCELLATION_PREFIX = "abort/";

  /** The prefix of the final states of archived jobs. */
  public static final String ARCHIVED_JOB_PREFIX = "ended/";

  /** The prefix of scale-out intents. */
  public static final String SCALE_OUT_INTENT_PREFIX = "rent/";

  /** The prefix of scale-in intents. */
  public static final String SCALE_IN_INTENT_PREFIX = "return/";

  /** The key of the newest version that every member of the cluster runs. */
  public static final String CLUSTER_VERSION = "cluster-version";

  /** The prefix of the machines whose leases a node renews on behalf of the leader. */
  public static final String LEASE_PROXY_PREFIX = "deputy/";

  private StoreKeys() {}

  /** Returns the key of a submitted job. */
  public static String job(String uid) {
    return JOB_PREFIX + uid;
  }

  /** Returns the key of a job's allocation. */
  public static String allocation(String uid) {
    return ALLOCATION_PREFIX + uid;
  }

  /** Returns the key of a job's confirmed cancellation. */
  public static String cancellation(String uid) {
    return CANCELLATION_PREFIX + uid;
  }

  /** Returns the key of the final state of an archived job. */
  public static String archivedJob(String uid) {
    return ARCHIVED_JOB_PREFIX + uid;
  }

  /** Returns the part of a key after its prefix, which ends at the first slash. */
  public static String withoutPrefix(String key) {
    return key.substring(key.indexOf('/') + 1);
  }
}
