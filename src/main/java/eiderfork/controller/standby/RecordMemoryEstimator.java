package eiderfork.controller.standby;

import eiderfork.controller.message.Reply;
import eiderfork.model.Job;
import eiderfork.model.StoredRecord;

/** What a replicated record takes of memory, as an estimate on the high side. */
final class RecordFootprint {
  /** The entry of a map, the item, and the key's text without its characters. */
  private static final int ITEM_BYTES = 160;

  private static final int JOB_BYTES = 360;
  private static final int SPAN_BYTES = 96;
  private static final int RANGE_BYTES = 24;
  private static final int NAME_BYTES = 64;
  private static final int OTHER_BYTES = 128;

  private RecordFootprint() {}

  /** The bytes that an item takes. */
  static long bytes(Reply.Item item) {
    return ITEM_BYTES + item.key().length() + bytes(item.record());
  }

  private static long bytes(StoredRecord record) {
    if (record instanceof StoredRecord.JobSpec jobSpec) {
      return JOB_BYTES + textBytes(jobSpec.job());
    }
    if (record instanceof StoredRecord.Allocation allocation) {
      return OTHER_BYTES
          + (long) SPAN_BYTES * allocation.reserved().size()
          + (long) RANGE_BYTES * allocation.finished().size();
    }
    if (record instanceof StoredRecord.ScaleInIntent intent) {
      return OTHER_BYTES + (long) NAME_BYTES * intent.machines().size();
    }
    return OTHER_BYTES;
  }

  private static int textBytes(Job job) {
    int types = job.allowedTypes() == null ? 0 : NAME_BYTES * job.allowedTypes().size();
    return job.uid().length() + job.jobClass().length() + job.team().length() + types;
  }
}
