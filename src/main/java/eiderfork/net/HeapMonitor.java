package eiderfork.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the Java heap within the memory that the machine has left for it. The maximum heap size on
 * the command line is the same for all deployments and is sized for the largest; the serial
 * collector would let garbage fill the heap up to that size before it collects the old generation.
 */
final class HeapMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(HeapMonitor.class);

  /** Memory used outside the heap: code, classes, buffers, stacks and the operating system. */
  private static final double NON_HEAP_MB = 72;

  /** Share of the heap limit below which the heap is never collected explicitly. */
  private static final double MIN_THRESHOLD_SHARE = 0.75;

  /** Ratio of the heap size that triggers the next collection to the size after the last one. */
  private static final double GROWTH_FACTOR = 1.25;

  /** A heap that can be collected. */
  interface Heap {
    /** Returns the memory committed for the heap by the operating system. */
    double committedMb();

    /** Runs a full collection and returns free memory to the operating system. */
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
   * @param machineMb total memory of the machine
   */
  HeapMonitor(Heap heap, double machineMb) {
    this.heap = heap;
    maxHeapMb = machineMb - NON_HEAP_MB;
    thresholdMb = maxHeapMb * MIN_THRESHOLD_SHARE;
  }

  /** Collects the heap if its size exceeds the threshold; intended to be called every second. */
  void collectIfNeeded() {
    double beforeMb = heap.committedMb();
    if (beforeMb <= thresholdMb) {
      return;
    }
    heap.collect();
    double afterMb = heap.committedMb();
    thresholdMb = Math.max(maxHeapMb * MIN_THRESHOLD_SHARE, afterMb * GROWTH_FACTOR);
    LOG.info("heap-collected beforeMb={} afterMb={}", Math.round(beforeMb), Math.round(afterMb));
    if (afterMb > maxHeapMb) {
      LOG.warn("heap-over-limit heapMb={} limitMb={}", Math.round(afterMb), Math.round(maxHeapMb));
    }
  }
}
