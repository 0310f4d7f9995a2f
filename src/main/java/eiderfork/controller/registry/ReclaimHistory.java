package eiderfork.controller.registry;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;

/**
 * How often the tasks of a job were reclaimed under this leader. It is a hint that a change of
 * leader loses. The tasks of a gang are reclaimed together, and counted as one.
 */
public final class ReclaimHistory {
  private static final int WHOLE_GANG = 0;

  private final boolean isGang;
  private final Int2IntOpenHashMap counts = new Int2IntOpenHashMap(0);
  private long lastReclaimedMs;

  ReclaimHistory(boolean isGang) {
    this.isGang = isGang;
  }

  /** A task, or the whole gang, was reclaimed. */
  public void record(int taskIndex, long nowMs) {
    counts.addTo(keyOf(taskIndex), 1);
    lastReclaimedMs = nowMs;
  }

  /** When a task, or the whole gang, was last reclaimed; 0 for never. */
  public long lastReclaimedMs() {
    return lastReclaimedMs;
  }

  /** How often this task, or the whole gang, was reclaimed. */
  public int count(int taskIndex) {
    return counts.get(keyOf(taskIndex));
  }

  private int keyOf(int taskIndex) {
    return isGang ? WHOLE_GANG : taskIndex;
  }
}
