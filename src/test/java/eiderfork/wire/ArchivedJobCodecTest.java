package eiderfork.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import org.junit.jupiter.api.Test;

/** The records of archived jobs. */
class ArchivedJobCodecTest {
  @Test
  void aRecordComesBackAsItWas() throws MalformedMessageException {
    StoredRecord.EndedJob done = new StoredRecord.EndedJob(JobStatus.Stance.DONE, 12);
    StoredRecord.EndedJob cancelled = new StoredRecord.EndedJob(JobStatus.Stance.ABORTED, 0);
    assertEquals(done, StoredRecordCodec.record("ended/run-1", StoredRecordCodec.node(done)));
    assertEquals(
        cancelled, StoredRecordCodec.record("ended/run-2", StoredRecordCodec.node(cancelled)));
    assertTrue(
        StoredRecordCodec.node(cancelled).toString().length() < 40, "there are millions of them");
  }

  /** An answer by it would be taken back later. */
  @Test
  void aStateThatIsNotFinalIsNotRead() throws MalformedMessageException {
    var node = JsonReader.parse("{\"state\":\"running\",\"done\":3}".getBytes());
    assertInstanceOf(StoredRecord.Unreadable.class, StoredRecordCodec.record("ended/run-1", node));
  }
}
