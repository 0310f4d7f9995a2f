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

/** Tests that malformed Avro messages are rejected without allocating much memory. */
class AvroCodecTest {
  /** Less than the free heap of any controller. */
  private static final long MAX_ALLOCATED_BYTES = 16L << 20;

  private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

  /** Loads the schemas and the decoder, so that this is not measured. */
  @BeforeAll
  static void loadClasses() {
    assertThrows(
        MalformedMessageException.class, () -> PeerStatusCodec.decodeStatus(new byte[] {1}));
    assertThrows(
        MalformedMessageException.class, () -> ForwardingCodec.decodeQueries(new byte[] {1}));
  }

  private static byte[] encodeLength(long length) throws IOException {
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

  /** Guards against a crash: a few bytes that announced a long list exhausted the heap. */
  @ParameterizedTest
  @ValueSource(longs = {50_000_000, 500_000_000})
  void excessiveListLengthAllocatesLittle(long claimedLength) throws IOException {
    byte[] bytes = encodeLength(claimedLength);
    assertMalformedCheaply(() -> ForwardingCodec.decodeQueries(bytes));
  }

  /** The same for a string. */
  @ParameterizedTest
  @ValueSource(longs = {50_000_000, 500_000_000})
  void excessiveStringLengthAllocatesLittle(long claimedLength) throws IOException {
    byte[] bytes = encodeLength(claimedLength);
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

  /** The limits still admit lists that a peer may send in one message. */
  @Test
  void longListsAreRead() throws MalformedMessageException {
    var uids = Collections.nCopies(100_000, "run-123456789012345678");
    byte[] bytes = ForwardingCodec.encodeQueries(uids);
    assertEquals(uids, ForwardingCodec.decodeQueries(bytes));
  }
}
