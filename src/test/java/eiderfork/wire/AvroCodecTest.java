package eiderfork.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.Collections;
import org.apache.avro.io.BinaryEncoder;
import org.apache.avro.io.EncoderFactory;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes that are no record of ours. */
class AvroCodecTest {
  /** Less than any controller's heap has to spare. */
  private static final long MAX_ALLOCATED_BYTES = 16L << 20;

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  /** The schemas and the decoder are loaded before anything is measured. */
  @BeforeAll
  static void load() {
    assertThrows(
        MalformedMessageException.class, () -> PeerStatusCodec.decodeStatus(new byte[] {1}));
    assertThrows(
        MalformedMessageException.class, () -> ForwardingCodec.decodeQueries(new byte[] {1}));
  }

  private static byte[] length(long length) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    BinaryEncoder encoder = EncoderFactory.get().directBinaryEncoder(out, null);
    encoder.writeLong(length);
    return out.toByteArray();
  }

  private static long allocatedBytes(Runnable task) {
    long before = THREADS.getCurrentThreadAllocatedBytes();
    task.run();
    return THREADS.getCurrentThreadAllocatedBytes() - before;
  }

  /** A few bytes that claim a long list made the process run out of memory, and end. */
  @ParameterizedTest
  @ValueSource(longs = {50_000_000, 500_000_000})
  void aListThatClaimsToBeLongTakesNoMemory(long claimed) throws IOException {
    byte[] bytes = length(claimed);
    assertMalformedCheaply(() -> ForwardingCodec.decodeQueries(bytes));
  }

  /** The same for a text. */
  @ParameterizedTest
  @ValueSource(longs = {50_000_000, 500_000_000})
  void aTextThatClaimsToBeLongTakesNoMemory(long claimed) throws IOException {
    byte[] bytes = length(claimed);
    assertMalformedCheaply(() -> PeerStatusCodec.decodeStatus(bytes));
  }

  private interface Decoding {
    void run() throws MalformedMessageException;
  }

  private static void assertMalformedCheaply(Decoding decoding) {
    long allocated =
        allocatedBytes(() -> assertThrows(MalformedMessageException.class, decoding::run));
    assertTrue(allocated < MAX_ALLOCATED_BYTES, allocated + " bytes");
  }

  /** What a peer may send in one response is still read. */
  @Test
  void longListsAreRead() throws MalformedMessageException {
    var uids = Collections.nCopies(100_000, "run-123456789012345678");
    byte[] bytes = ForwardingCodec.encodeQueries(uids);
    assertEquals(uids, ForwardingCodec.decodeQueries(bytes));
  }
}
