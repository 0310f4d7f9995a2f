package eiderfork.wire;

import com.googlecode.javaewah32.EWAHCompressedBitmap32;
import eiderfork.model.Job;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.BitSet;

/** A set of tasks as a compressed bitmap: stretches of words that are all alike take one word. */
final class CompressedBitmap {
  /** The sizes in bits and words that the serialized form begins with. */
  private static final int HEADER_INTS = 2;

  private final EWAHCompressedBitmap32 bitmap = new EWAHCompressedBitmap32();

  /** Adds tasks {@code from} to {@code to}, both included; they follow all that were added. */
  void addRange(int from, int to) {
    bitmap.setSizeInBits(from, false);
    bitmap.setSizeInBits(to + 1, true);
  }

  ByteBuffer encode() {
    try {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      bitmap.serialize(new DataOutputStream(out));
      return ByteBuffer.wrap(out.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException("a bitmap can't be written", e);
    }
  }

  /** Reads the tasks, none of which is beyond the largest job. */
  static BitSet decode(ByteBuffer buffer) throws MalformedMessageException {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    checkLength(bytes);
    try {
      EWAHCompressedBitmap32 bitmap = new EWAHCompressedBitmap32();
      bitmap.deserialize(new DataInputStream(new ByteArrayInputStream(bytes)));
      return toTasks(bitmap);
    } catch (IOException | RuntimeException e) {
      // The library trusts what it reads, so other bytes fail in many ways.
      throw new MalformedMessageException("not a bitmap");
    }
  }

  private static BitSet toTasks(EWAHCompressedBitmap32 bitmap) throws MalformedMessageException {
    BitSet tasks = new BitSet();
    var numbers = bitmap.intIterator();
    while (numbers.hasNext()) {
      int task = numbers.next();
      if (task < 0 || task >= Job.MAX_TASKS) {
        throw new MalformedMessageException("task " + task + " is not that of a job");
      }
      tasks.set(task);
    }
    return tasks;
  }

  /** The library allocates as many words as the bytes say that there are. */
  private static void checkLength(byte[] bytes) throws MalformedMessageException {
    if (bytes.length < (HEADER_INTS + 1) * Integer.BYTES) {
      throw new MalformedMessageException("not a bitmap");
    }
    int words = ByteBuffer.wrap(bytes).getInt(Integer.BYTES);
    if (words < 0 || words != bytes.length / Integer.BYTES - HEADER_INTS - 1) {
      throw new MalformedMessageException("not a bitmap of its length");
    }
  }
}
