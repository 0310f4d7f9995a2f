package eiderfork.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when the heap is collected, depending on the memory of the machine. */
class HeapMonitorTest {
  /** A heap whose size after a collection is that of its live objects. */
  private static final class FakeHeap implements HeapMonitor.Heap {
    double committedMb;
    double liveMb;
    int collections;

    @Override
    public double committedMb() {
      return committedMb;
    }

    @Override
    public void collect() {
      collections++;
      committedMb = liveMb;
    }
  }

  private final FakeHeap heap = new FakeHeap();

  private void grow(HeapMonitor monitor, double toMb) {
    heap.committedMb = toMb;
    monitor.collectIfNeeded();
  }

  /**
   * The maximum heap size is the same for all deployments, so without explicit collections garbage
   * would exceed the memory of a small machine.
   */
  @Test
  void collectsBeforeSmallMachineIsFull() {
    HeapMonitor monitor = new HeapMonitor(heap, 148);
    heap.liveMb = 20;
    heap.committedMb = 24;
    double maxCommittedMb = 0;
    for (int i = 0; i < 80; i++) {
      grow(monitor, heap.committedMb + 1);
      maxCommittedMb = Math.max(maxCommittedMb, heap.committedMb);
    }
    assertEquals(2, heap.collections);
    assertTrue(maxCommittedMb < 148 - 72, maxCommittedMb + " MB");
  }

  @Test
  void collectsLaterOnLargeMachine() {
    HeapMonitor monitor = new HeapMonitor(heap, 414);
    grow(monitor, 200);
    assertEquals(0, heap.collections);
  }

  /** A collection can't free live objects, and one every second would halt all other work. */
  @Test
  void doesNotCollectLiveHeapRepeatedly() {
    HeapMonitor monitor = new HeapMonitor(heap, 148);
    heap.liveMb = 100;
    grow(monitor, 100);
    assertEquals(1, heap.collections);
    for (int i = 0; i < 60; i++) {
      grow(monitor, 110);
    }
    assertEquals(1, heap.collections);
    grow(monitor, 130);
    assertEquals(2, heap.collections);
  }
}
