package eiderfork.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import org.junit.jupiter.api.Test;

/** Tests the codec of the records of archived jobs. */
class ArchivedJobCodecTest {
  @Test
  void recordRoundTrips() throws MalformedMessageException {
    StoredRecord.ArchivedJob done = new StoredRecord.ArchivedJob(JobStatus.Phase.DONE, 12);
    StoredRecord.ArchivedJob cancelled = new StoredRecord.ArchivedJob(JobStatus.Phase.ABORTED, 0);
    assertEquals(done, StoredRecordCodec.fromJson("ended/run-1", StoredRecordCodec.toJson(done)));
    assertEquals(
        cancelled, StoredRecordCodec.fromJson("ended/run-2", StoredRecordCodec.toJson(cancelled)));
    assertTrue(
        StoredRecordCodec.toJson(cancelled).toString().length() < 40,
        "the store holds millions of these records");
  }

  /** A non-final state in an archive would lead to an answer that a later answer contradicts. */
  @Test
  void nonFinalStateIsUnreadable() throws MalformedMessageException {
    var node = JsonReader.parse("{\"state\":\"running\",\"done\":3}".getBytes());
    assertInstanceOf(
        StoredRecord.Unreadable.class, StoredRecordCodec.fromJson("ended/run-1", node));
  }
}
