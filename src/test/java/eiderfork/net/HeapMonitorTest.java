package eiderfork.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When the heap is collected, by what the machine's memory leaves for it. */
class HeapMonitorTest {
  /** A heap of which a collection leaves what is alive. */
  private static final class FakeHeap implements HeapMonitor.Heap {
    double committedMb;
    double aliveMb;
    int collections;

    @Override
    public double committedMb() {
      return committedMb;
    }

    @Override
    public void collect() {
      collections++;
      committedMb = aliveMb;
    }
  }

  private final FakeHeap heap = new FakeHeap();

  private void grow(HeapMonitor watch, double toMb) {
    heap.committedMb = toMb;
    watch.collectIfNeeded();
  }

  /** With one limit for all deployments garbage would fill what a small machine does not have. */
  @Test
  void collectsBeforeSmallMachineIsFull() {
    HeapMonitor watch = new HeapMonitor(heap, 148);
    heap.aliveMb = 20;
    heap.committedMb = 24;
    double mostMb = 0;
    for (int i = 0; i < 80; i++) {
      grow(watch, heap.committedMb + 1);
      mostMb = Math.max(mostMb, heap.committedMb);
    }
    assertEquals(2, heap.collections);
    assertTrue(mostMb < 148 - 72, mostMb + " MB");
  }

  @Test
  void collectsLaterOnLargeMachine() {
    HeapMonitor watch = new HeapMonitor(heap, 414);
    grow(watch, 200);
    assertEquals(0, heap.collections);
  }

  /** What is alive can't be collected away, and trying again each second would stop everything. */
  @Test
  void doesNotCollectLiveHeapRepeatedly() {
    HeapMonitor watch = new HeapMonitor(heap, 148);
    heap.aliveMb = 100;
    grow(watch, 100);
    assertEquals(1, heap.collections);
    for (int i = 0; i < 60; i++) {
      grow(watch, 110);
    }
    assertEquals(1, heap.collections);
    grow(watch, 130);
    assertEquals(2, heap.collections);
  }
}
