package eiderfork.wire;

/** The names of JSON fields in the protocol. */
final class ProtocolFields {
  // Machines.
  static final String MACHINE = "Roost";
  static final String MACHINES = "Roosts";
  static final String ADDRESS = "Addr";
  static final String MACHINE_TYPE = "Breed";
  static final String MACHINE_TYPES = "Breeds";
  static final String ZONE = "Shore";
  static final String ZONES = "Shores";
  static final String SPOT = "Driftwood";
  static final String AGE_S = "AgeS";

  // Machine types.
  static final String TYPE_NAME = "Label";
  static final String CPUS = "Cpus";
  static final String GPUS = "Gpus";
  static final String RAM_GB = "RamGb";
  static final String IMAGE_CACHE_GB = "LocalGb";
  static final String IMAGE_FETCH_GB_PER_S = "PullGbPerS";
  static final String HOURLY_PRICE = "Rate";
  static final String SPOT_HOURLY_PRICE = "MarketPrice";
  static final String BOOT_S = "ReadyS";

  // Requests to the cloud, and lists.
  static final String REQUEST_NAME = "Charter";
  static final String COUNT = "Count";
  static final String HAS_MORE = "HasNext";

  // Jobs.
  static final String UID = "Uid";
  static final String JOB_CLASS = "Flock";
  static final String TEAM = "Crew";
  static final String JOB_KIND = "Guise";
  static final String PRIORITY = "Precedence";
  static final String TASKS = "Hatchlings";
  static final String SINGLE_ZONE = "Together";
  static final String SPREAD_ZONES = "Scatter";
  static final String IMAGE = "Plumage";
  static final String IMAGE_GB = "ImageGb";
  static final String ESTIMATED_RUN_S = "ReckonS";
  static final String CHECKPOINT_INTERVAL_S = "MoultS";
  static final String SAVE_DURATION_S = "StowS";
  static final String DEADLINE_S = "DueS";

  /** The state of a job, a task or a machine. */
  static final String STATE = "Stance";

  // Heartbeats and commands.
  static final String INCARNATION = "Tenure";
  static final String SEQUENCE = "Tally";
  static final String FENCING_TOKEN = "Warrant";
  static final String PREEMPTION_NOTICE_S = "WarningS";
  static final String TASK = "Hatchling";
  static final String ATTEMPT = "Try";
  static final String END_CAUSE = "Cause";
  static final String IS_SAVED = "Kept";
  static final String COMMANDS = "Calls";
  static final String COMMAND = "Call";
  static final String GRACE_S = "RespiteS";
  static final String LEADER = "Herald";

  // The store.
  static final String KEY = "Path";
  static final String VALUE = "V";
  static final String VERSION = "Stamp";
  static final String REVISION = "Ledger";
  static final String LEASE = "Tether";
  static final String LEASE_TTL_MS = "LifeMs";
  static final String CONDITIONS = "If";
  static final String CHANGES = "Then";
  static final String WRITTEN_KEY = "Write";
  static final String REMOVED_KEY = "Drop";
  static final String ITEMS = "Items";
  static final String WATCHED_CHANGES = "Log";

  private ProtocolFields() {}
}
