package eiderfork.core;

import eiderfork.model.Job;
import java.util.BitSet;
import java.util.HashSet;
import java.util.Set;

/**
 * An upper bound, in bytes, of what a job's alloc record takes when it is written, now and however
 * its tasks end, so that a reservation is only made where every later record fits into a value.
 */
public final class AllocSize {
  /** Braces, field names, the last attempt and the mark of a job that is done. */
  private static final int FRAME = 96;

  /** Quotes, colon, braces and comma around an attempt or a machine. */
  private static final int AROUND = 6;

  /** Characters of a bitmap say six tasks each. */
  private static final int TASKS_PER_CHARACTER = 6;

  /** The share of a value that is used, for what a store may count beside the text. */
  private static final double VALUE_SHARE = 0.95;

  private final int indexBytes;
  private double bytes;

  /** What is reserved now, with every reservation's end still to come. */
  AllocSize(JobEntry entry, long nextAttempt) {
    Job job = entry.job;
    indexBytes = indexBytes(job.tasks());
    Set<Long> attempts = new HashSet<>();
    attempts.add(nextAttempt);
    Set<String> places = new HashSet<>();
    bytes = FRAME;
    for (Placed p : entry.placed.values()) {
      attempts.add(p.attempt);
      bytes += indexBytes;
      if (places.add(p.attempt + " " + p.machine.name)) {
        bytes += p.machine.name.length() + AROUND;
      }
    }
    bytes += (digits(nextAttempt) + AROUND) * (double) attempts.size();
    bytes += finished(job.tasks(), ranges(entry.finished) + entry.placed.size());
  }

  /** Whether one more reservation on the machine leaves the record within a value. */
  boolean takes(MachineEntry m, double valueKb) {
    return bytes + more(m) <= valueKb * 1024 * VALUE_SHARE;
  }

  void add(MachineEntry m) {
    bytes += more(m);
  }

  /** Each reservation may stand on a machine of its own, and end between two that go on. */
  private int more(MachineEntry m) {
    return m.name.length() + AROUND + indexBytes;
  }

  /** A task's number and the mark that parts it from the next; a run takes no more for each. */
  private static int indexBytes(int tasks) {
    return digits(tasks) + 1;
  }

  /** What the finished tasks take: as ranges or as a bitmap, whichever is shorter. */
  private static double finished(int tasks, int ranges) {
    return Math.min(
        (double) tasks / TASKS_PER_CHARACTER + AROUND, (ranges + 1.0) * 2 * indexBytes(tasks));
  }

  /**
   * The least that a value must take for any job to run, one task at a time: {@code tasks} of them,
   * each with an attempt of its own, on machines with names of {@code nameBytes}.
   */
  public static double least(int tasks, int nameBytes) {
    return (FRAME
            + digits(Long.MAX_VALUE)
            + nameBytes
            + 2 * AROUND
            + indexBytes(tasks)
            + finished(tasks, 1))
        / VALUE_SHARE;
  }

  private static int ranges(BitSet set) {
    int n = 0;
    for (int from = set.nextSetBit(0); from >= 0; from = set.nextSetBit(set.nextClearBit(from))) {
      n++;
    }
    return n;
  }

  private static int digits(long n) {
    return Long.toString(n).length();
  }
}
