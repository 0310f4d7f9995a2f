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

/** Tests the packed and the bitmap encoding of allocation records. */
class AllocationCodecTest {
  private static final String[] MACHINE_NAME_FORMATS = {
    "n-%06d", "m%d", "eider", "host-%03d-x", "n-%04d"
  };

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void packedAndBitmapEncodingsRoundTrip(long seed) throws MalformedMessageException {
    Random random = new Random(seed);
    ImmutableList.Builder<StoredRecord.ReservedRange> reserved = ImmutableList.builder();
    ImmutableList.Builder<StoredRecord.TaskRange> finished = ImmutableList.builder();
    long lastAttempt = 1 + random.nextInt(400);
    int next = 0;
    while (next < 300) {
      int from = next + random.nextInt(4);
      int to = from + random.nextInt(3);
      if (random.nextBoolean()) {
        String machine =
            MACHINE_NAME_FORMATS[random.nextInt(MACHINE_NAME_FORMATS.length)].formatted(
                random.nextInt(999));
        reserved.add(
            new StoredRecord.ReservedRange(from, to, 1 + random.nextLong(lastAttempt), machine));
      } else {
        finished.add(new StoredRecord.TaskRange(from, to));
      }
      next = to + 2;
    }
    StoredRecord.Allocation allocation =
        new StoredRecord.Allocation(lastAttempt, seed % 2 == 0, reserved.build(), finished.build());
    assertEquals(
        allocation,
        StoredRecordCodec.fromJson(
            "alloc/run-1", PackedAllocationCodec.INSTANCE.toJson(allocation)));
    assertEquals(
        allocation,
        StoredRecordCodec.fromJson(
            "alloc/run-1", BitmapAllocationCodec.INSTANCE.toJson(allocation)));
  }

  /**
   * An allocation that production stored with a value limit of 4 KiB has to fit a limit of 2 KiB,
   * with a reserve.
   */
  @Test
  void packedEncodingOfTasksOnManyMachinesIsSmall() {
    ImmutableList.Builder<StoredRecord.ReservedRange> reserved = ImmutableList.builder();
    Random random = new Random(1);
    for (int i = 0; i < 180; i++) {
      reserved.add(
          new StoredRecord.ReservedRange(i, i, 3, "n-%06d".formatted(random.nextInt(400))));
    }
    StoredRecord.Allocation allocation =
        new StoredRecord.Allocation(3, false, reserved.build(), ImmutableList.of());
    int bytes = JsonReader.toBytes(PackedAllocationCodec.INSTANCE.toJson(allocation)).length;
    assertTrue(JsonReader.toBytes(StoredRecordCodec.toJson(allocation)).length > 2048);
    assertTrue(bytes < 1700, bytes + " bytes");
  }

  /** A flipped bit leads to some decoded record or to an unreadable one, never to an exception. */
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
        byte[] corrupted = bytes.clone();
        corrupted[i] ^= (byte) (1 << bit);
        String encoded = Base64.getEncoder().withoutPadding().encodeToString(corrupted);
        var node = JsonReader.newObject().put("bitmaps", encoded);
        assertNotNull(StoredRecordCodec.fromJson("alloc/run-1", node));
      }
    }
  }

  /** An allocation that is corrupt or of a later version only freezes its own job. */
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
  void invalidValuesDecodeToUnreadableRecords(String value) throws MalformedMessageException {
    StoredRecord record =
        StoredRecordCodec.fromJson("alloc/run-1", JsonReader.parse(value.getBytes()));
    assertInstanceOf(StoredRecord.Unreadable.class, record);
  }
}
