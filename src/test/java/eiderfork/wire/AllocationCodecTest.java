package eiderfork.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.model.StoredRecord;
import java.util.Base64;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The packed and the bitmap form of alloc records. */
class AllocationCodecTest {
  private static final String[] NAMES = {"n-%06d", "m%d", "eider", "host-%03d-x", "n-%04d"};

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void packedAndBitmapFormsRoundTrip(long seed) throws MalformedMessageException {
    Random random = new Random(seed);
    ImmutableList.Builder<StoredRecord.ReservedRange> spans = ImmutableList.builder();
    ImmutableList.Builder<StoredRecord.TaskRange> finished = ImmutableList.builder();
    long last = 1 + random.nextInt(400);
    int next = 0;
    while (next < 300) {
      int from = next + random.nextInt(4);
      int to = from + random.nextInt(3);
      if (random.nextBoolean()) {
        String machine = NAMES[random.nextInt(NAMES.length)].formatted(random.nextInt(999));
        spans.add(new StoredRecord.ReservedRange(from, to, 1 + random.nextLong(last), machine));
      } else {
        finished.add(new StoredRecord.TaskRange(from, to));
      }
      next = to + 2;
    }
    StoredRecord.Allocation allocation =
        new StoredRecord.Allocation(last, seed % 2 == 0, spans.build(), finished.build());
    assertEquals(
        allocation,
        StoredRecordCodec.fromJson(
            "alloc/run-1", PackedAllocationCodec.INSTANCE.toJson(allocation)));
    assertEquals(
        allocation,
        StoredRecordCodec.fromJson(
            "alloc/run-1", BitmapAllocationCodec.INSTANCE.toJson(allocation)));
  }

  /** What production may have left in 4 KiB fits 2 KiB with room to spare. */
  @Test
  void tasksOnDistinctMachinesAreSmallInPackedForm() {
    ImmutableList.Builder<StoredRecord.ReservedRange> spans = ImmutableList.builder();
    Random random = new Random(1);
    for (int i = 0; i < 180; i++) {
      spans.add(new StoredRecord.ReservedRange(i, i, 3, "n-%06d".formatted(random.nextInt(400))));
    }
    StoredRecord.Allocation allocation =
        new StoredRecord.Allocation(3, false, spans.build(), ImmutableList.of());
    int bytes = JsonReader.toBytes(PackedAllocationCodec.INSTANCE.toJson(allocation)).length;
    assertTrue(JsonReader.toBytes(StoredRecordCodec.toJson(allocation)).length > 2048);
    assertTrue(bytes < 1700, bytes + " bytes");
  }

  /** Whatever one byte of it becomes, it is read as some record or said to be unreadable. */
  @Test
  void corruptBitmapDoesNotThrow() throws MalformedMessageException {
    StoredRecord.Allocation allocation =
        new StoredRecord.Allocation(
            9,
            false,
            ImmutableList.of(new StoredRecord.ReservedRange(100, 260, 9, "n-000001")),
            ImmutableList.of(
                new StoredRecord.TaskRange(0, 99), new StoredRecord.TaskRange(300, 900)));
    String text = BitmapAllocationCodec.INSTANCE.toJson(allocation).path("bitmaps").asText();
    byte[] bytes = Base64.getDecoder().decode(text);
    for (int i = 0; i < bytes.length; i++) {
      for (int bit = 0; bit < Byte.SIZE; bit++) {
        byte[] spoiled = bytes.clone();
        spoiled[i] ^= (byte) (1 << bit);
        String encoded = Base64.getEncoder().withoutPadding().encodeToString(spoiled);
        var node = JsonReader.newObject().put("bitmaps", encoded);
        assertNotNull(StoredRecordCodec.fromJson("alloc/run-1", node));
      }
    }
  }

  /** A record that can't be read, or is of a later version, freezes its job and nothing else. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"packed\":7}",
        "{\"packed\":\"?\"}",
        "{\"packed\":\"AgA\"}",
        "{\"packed\":\"////////////////\"}",
        "{\"bitmaps\":7}",
        "{\"bitmaps\":\"?\"}",
        "{\"bitmaps\":\"AgA\"}",
        "{\"bitmaps\":\"////////////////\"}",
        "{\"packed2\":\"AAAA\"}",
        "{}"
      })
  void unreadableValuesAreReported(String value) throws MalformedMessageException {
    StoredRecord record =
        StoredRecordCodec.fromJson("alloc/run-1", JsonReader.parse(value.getBytes()));
    assertInstanceOf(StoredRecord.Unreadable.class, record);
  }
}
