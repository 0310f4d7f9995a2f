package eiderfork.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the Java heap within what the machine's memory leaves for it. The limit in the command line
 * is the same for all deployments and so has to suit the largest; up to that limit the serial
 * collector would let garbage fill the heap before it collects the old generation.
 */
final class HeapMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(HeapMonitor.class);

  /** What is used besides the heap: code, classes, buffers, stacks, the operating system. */
  private static final double NON_HEAP_MB = 72;

  /** The share of the heap's limit at which it is first collected. */
  private static final double INITIAL_THRESHOLD_SHARE = 0.75;

  /** How much larger than after a collection the heap may be before the next one. */
  private static final double GROWTH_FACTOR = 1.25;

  /** A heap that can be collected. */
  interface Heap {
    /** The memory that the heap has from the operating system. */
    double committedMb();

    /** Collects all garbage and returns free memory. */
    void collect();
  }

  /** The heap of this process. */
  static final Heap PROCESS_HEAP =
      new Heap() {
        private static final double MB = 1024 * 1024;

        @Override
        public double committedMb() {
          return Runtime.getRuntime().totalMemory() / MB;
        }

        @Override
        public void collect() {
          System.gc();
        }
      };

  private final Heap heap;
  private final double maxHeapMb;
  private double thresholdMb;

  /**
   * @param machineMb the memory of the machine
   */
  HeapMonitor(Heap heap, double machineMb) {
    this.heap = heap;
    maxHeapMb = machineMb - NON_HEAP_MB;
    thresholdMb = maxHeapMb * INITIAL_THRESHOLD_SHARE;
  }

  /** Collects the heap where it is above the threshold; to be called about once a second. */
  void collectIfNeeded() {
    double beforeMb = heap.committedMb();
    if (beforeMb <= thresholdMb) {
      return;
    }
    heap.collect();
    double afterMb = heap.committedMb();
    thresholdMb = Math.max(maxHeapMb * INITIAL_THRESHOLD_SHARE, afterMb * GROWTH_FACTOR);
    LOG.info("heap-collected beforeMb={} afterMb={}", Math.round(beforeMb), Math.round(afterMb));
    if (afterMb > maxHeapMb) {
      LOG.warn("heap-over-limit heapMb={} limitMb={}", Math.round(afterMb), Math.round(maxHeapMb));
    }
  }
}
