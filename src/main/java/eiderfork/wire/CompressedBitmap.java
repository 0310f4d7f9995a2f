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

/**
 * A set of task numbers as an EWAH-compressed bitmap, in which a sequence of words that are all
 * zeros or all ones takes one word.
 */
final class CompressedBitmap {
  /** The number of integers before the words: the size in bits and the number of words. */
  private static final int HEADER_INTS = 2;

  private final EWAHCompressedBitmap32 bitmap = new EWAHCompressedBitmap32();

  /**
   * Adds the tasks {@code from} to {@code to}, both inclusive, which must be greater than all tasks
   * added before.
   */
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

  /**
   * Decodes a set of task numbers.
   *
   * @throws MalformedMessageException if the bytes are no bitmap, or a task number is not below
   *     {@link Job#MAX_TASKS}
   */
  static BitSet decode(ByteBuffer buffer) throws MalformedMessageException {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    checkLength(bytes);
    try {
      EWAHCompressedBitmap32 bitmap = new EWAHCompressedBitmap32();
      bitmap.deserialize(new DataInputStream(new ByteArrayInputStream(bytes)));
      return toTasks(bitmap);
    } catch (IOException | RuntimeException e) {
      // The library does not validate its input, so malformed bytes cause various exceptions.
      throw new MalformedMessageException("not a bitmap");
    }
  }

  private static BitSet toTasks(EWAHCompressedBitmap32 bitmap) throws MalformedMessageException {
    BitSet tasks = new BitSet();
    var taskNumbers = bitmap.intIterator();
    while (taskNumbers.hasNext()) {
      int task = taskNumbers.next();
      if (task < 0 || task >= Job.MAX_TASKS) {
        throw new MalformedMessageException("task " + task + " is not that of a job");
      }
      tasks.set(task);
    }
    return tasks;
  }

  /** Checks the encoded number of words, for which the library allocates memory before reading. */
  private static void checkLength(byte[] bytes) throws MalformedMessageException {
    if (bytes.length < (HEADER_INTS + 1) * Integer.BYTES) {
      throw new MalformedMessageException("not a bitmap");
    }
    int wordCount = ByteBuffer.wrap(bytes).getInt(Integer.BYTES);
    if (wordCount < 0 || wordCount != bytes.length / Integer.BYTES - HEADER_INTS - 1) {
      throw new MalformedMessageException("not a bitmap of its length");
    }
  }
}
