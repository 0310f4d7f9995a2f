package eiderfork.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Record;
import java.util.Base64;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The packed and the bitmap form of alloc records. */
class PackedAllocsTest {
  private static final String[] NAMES = {"n-%06d", "m%d", "eider", "host-%03d-x", "n-%04d"};

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void itComesBackAsItWas(long seed) throws BadMessage {
    Random random = new Random(seed);
    ImmutableList.Builder<Record.Span> spans = ImmutableList.builder();
    ImmutableList.Builder<Record.Range> finished = ImmutableList.builder();
    long last = 1 + random.nextInt(400);
    int next = 0;
    while (next < 300) {
      int from = next + random.nextInt(4);
      int to = from + random.nextInt(3);
      if (random.nextBoolean()) {
        String machine = NAMES[random.nextInt(NAMES.length)].formatted(random.nextInt(999));
        spans.add(new Record.Span(from, to, 1 + random.nextLong(last), machine));
      } else {
        finished.add(new Record.Range(from, to));
      }
      next = to + 2;
    }
    Record.Alloc alloc = new Record.Alloc(last, seed % 2 == 0, spans.build(), finished.build());
    assertEquals(alloc, Records.record("alloc/run-1", PackedAllocs.node(alloc)));
    assertEquals(alloc, Records.record("alloc/run-1", BitmapAllocs.node(alloc)));
  }

  /** What production may have left in 4 KiB fits 2 KiB with room to spare. */
  @Test
  void aHundredAndEightyTasksOnMachinesOfTheirOwnTakeLittle() {
    ImmutableList.Builder<Record.Span> spans = ImmutableList.builder();
    Random random = new Random(1);
    for (int i = 0; i < 180; i++) {
      spans.add(new Record.Span(i, i, 3, "n-%06d".formatted(random.nextInt(400))));
    }
    Record.Alloc alloc = new Record.Alloc(3, false, spans.build(), ImmutableList.of());
    int bytes = Json.bytes(PackedAllocs.node(alloc)).length;
    assertTrue(Json.bytes(Records.node(alloc)).length > 2048);
    assertTrue(bytes < 1700, bytes + " bytes");
  }

  /** Whatever one byte of it becomes, it is read as some record or said to be unreadable. */
  @Test
  void aSpoiledBitmapIsNoReasonToFail() throws BadMessage {
    Record.Alloc alloc =
        new Record.Alloc(
            9,
            false,
            ImmutableList.of(new Record.Span(100, 260, 9, "n-000001")),
            ImmutableList.of(new Record.Range(0, 99), new Record.Range(300, 900)));
    String text = BitmapAllocs.node(alloc).path(BitmapAllocs.FIELD).asText();
    byte[] bytes = Base64.getDecoder().decode(text);
    for (int i = 0; i < bytes.length; i++) {
      for (int bit = 0; bit < Byte.SIZE; bit++) {
        byte[] spoiled = bytes.clone();
        spoiled[i] ^= (byte) (1 << bit);
        String encoded = Base64.getEncoder().withoutPadding().encodeToString(spoiled);
        var node = Json.object().put(BitmapAllocs.FIELD, encoded);
        assertNotNull(Records.record("alloc/run-1", node));
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
  void whatCannotBeReadIsSaidToBe(String value) throws BadMessage {
    Record record = Records.record("alloc/run-1", Json.parse(value.getBytes()));
    assertInstanceOf(Record.Unreadable.class, record);
  }
}
