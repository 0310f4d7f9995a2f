package eiderfork.controller.standby;

import eiderfork.controller.message.Reply;
import eiderfork.model.Job;
import eiderfork.model.StoredRecord;

/** Estimates the memory that a replicated record takes, rather too high than too low. */
final class RecordMemoryEstimator {
  /** The size of a map entry, the item, and the key string without its characters. */
  private static final int ITEM_BYTES = 160;

  private static final int JOB_BYTES = 360;
  private static final int RESERVED_RANGE_BYTES = 96;
  private static final int FINISHED_RANGE_BYTES = 24;
  private static final int NAME_BYTES = 64;
  private static final int OTHER_BYTES = 128;

  private RecordMemoryEstimator() {}

  /** Returns the estimated size of an item in bytes. */
  static long estimateBytes(Reply.Item item) {
    return ITEM_BYTES + item.key().length() + recordBytes(item.record());
  }

  private static long recordBytes(StoredRecord record) {
    if (record instanceof StoredRecord.JobSpec jobSpec) {
      return JOB_BYTES + stringBytes(jobSpec.job());
    }
    if (record instanceof StoredRecord.Allocation allocation) {
      return OTHER_BYTES
          + (long) RESERVED_RANGE_BYTES * allocation.reserved().size()
          + (long) FINISHED_RANGE_BYTES * allocation.finished().size();
    }
    if (record instanceof StoredRecord.ScaleInIntent intent) {
      return OTHER_BYTES + (long) NAME_BYTES * intent.machines().size();
    }
    return OTHER_BYTES;
  }

  private static int stringBytes(Job job) {
    int typeBytes = job.allowedTypes() == null ? 0 : NAME_BYTES * job.allowedTypes().size();
    return job.uid().length() + job.jobClass().length() + job.team().length() + typeBytes;
  }
}
