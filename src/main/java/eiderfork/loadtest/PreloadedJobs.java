package eiderfork.loadtest;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.StoreKeys;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import eiderfork.model.StoredRecord;
import eiderfork.wire.StoreServerCodec;
import org.apache.commons.rng.UniformRandomProvider;

/** Stores single-task jobs that ended before the load test, as a leader of this version would. */
final class PreloadedJobs {
  /** Lowest preloaded id; above all ids that emulated users generate. */
  private static final long FIRST_ID = 2_000_000_000_000_000L;

  private static final long IDS = 1_000_000_000_000_000L;

  private PreloadedJobs() {}

  private static String uid(UniformRandomProvider random) {
    return "run-" + (FIRST_ID + random.nextLong(IDS));
  }

  static void storeArchived(EmulatedStore state, int count, UniformRandomProvider random) {
    String value =
        StoreServerCodec.encodeRecord(new StoredRecord.ArchivedJob(JobStatus.Phase.DONE, 1));
    for (int i = 0; i < count; i++) {
      state.preload(StoreKeys.ARCHIVED_JOB_PREFIX + uid(random), value);
    }
  }

  static void storeEnded(EmulatedStore state, int count, UniformRandomProvider random) {
    for (int i = 0; i < count; i++) {
      String uid = uid(random);
      StoredRecord.Allocation allocation =
          new StoredRecord.Allocation(
              1, true, ImmutableList.of(), ImmutableList.of(new StoredRecord.TaskRange(0, 0)));
      state.preload(
          StoreKeys.JOB_PREFIX + uid,
          StoreServerCodec.encodeRecord(new StoredRecord.JobSpec(job(uid))));
      state.preload(
          StoreKeys.ALLOCATION_PREFIX + uid,
          StoreServerCodec.encodeRecord(new StoredRecord.PackedAllocation(allocation)));
    }
  }

  private static Job job(String uid) {
    return new Job(
        uid,
        "short",
        "team-0",
        JobKind.ARRAY,
        Priority.STANDARD,
        1,
        new Resources(1, 0, 1),
        null,
        null,
        false,
        false,
        false,
        "short-0",
        1,
        10,
        0,
        0,
        null);
  }
}
