package eiderfork.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the Java heap within what the machine's memory leaves beside it. The heap's limit in the
 * command line is one for all deployments and has to hold the largest; the serial collector would
 * fill it with garbage before it collects the old generation. So this collects it earlier, where
 * the heap comes near to what this machine has, and lets it grow where it is needed.
 */
final class HeapMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(HeapMonitor.class);

  /**
   * What a controller takes beside its heap: code, classes, buffers, stacks, the machine itself.
   */
  private static final double NON_HEAP_MB = 72;

  /** The share of what there is for the heap at which it is first collected. */
  private static final double INITIAL_THRESHOLD_SHARE = 0.75;

  /** By how much the heap may grow past what a collection left before the next one. */
  private static final double GROWTH_FACTOR = 1.25;

  /** The heap as this needs it. */
  interface Heap {
    /** The memory that the heap holds, used or not. */
    double committedMb();

    /** Collects all garbage, and gives back what is free then. */
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
   * @param machineMb what the machine gives the process
   */
  HeapMonitor(Heap heap, double machineMb) {
    this.heap = heap;
    maxHeapMb = machineMb - NON_HEAP_MB;
    thresholdMb = maxHeapMb * INITIAL_THRESHOLD_SHARE;
  }

  /** Collects where it is due; to be called about once a second. */
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
