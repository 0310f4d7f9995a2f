package eiderfork.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.JobStatus;
import eiderfork.model.Record;
import org.junit.jupiter.api.Test;

/** The records of archived jobs. */
class EndedJobsTest {
  @Test
  void aRecordComesBackAsItWas() throws BadMessage {
    Record.EndedJob done = new Record.EndedJob(JobStatus.Stance.DONE, 12);
    Record.EndedJob cancelled = new Record.EndedJob(JobStatus.Stance.ABORTED, 0);
    assertEquals(done, Records.record("ended/run-1", Records.node(done)));
    assertEquals(cancelled, Records.record("ended/run-2", Records.node(cancelled)));
    assertTrue(Records.node(cancelled).toString().length() < 40, "there are millions of them");
  }

  /** An answer by it would be taken back later. */
  @Test
  void aStateThatIsNotFinalIsNotRead() throws BadMessage {
    var node = Json.parse("{\"state\":\"running\",\"done\":3}".getBytes());
    assertInstanceOf(Record.Unreadable.class, Records.record("ended/run-1", node));
  }
}
