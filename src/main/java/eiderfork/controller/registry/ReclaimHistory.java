package eiderfork.controller.registry;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;

/**
 * The number of reclaims of each task of a job under this leader. It is a hint only and is lost
 * when the leader changes. The tasks of a gang are reclaimed together and counted as one.
 */
public final class ReclaimHistory {
  private static final int WHOLE_GANG = 0;

  private final boolean isGang;
  private final Int2IntOpenHashMap counts = new Int2IntOpenHashMap(0);
  private long lastReclaimedMs;

  ReclaimHistory(boolean isGang) {
    this.isGang = isGang;
  }

  /** Records that a task, or the whole gang, was reclaimed. */
  public void record(int taskIndex, long nowMs) {
    counts.addTo(keyOf(taskIndex), 1);
    lastReclaimedMs = nowMs;
  }

  /** The time when a task, or the whole gang, was last reclaimed; 0 for never. */
  public long lastReclaimedMs() {
    return lastReclaimedMs;
  }

  /** The number of times that this task, or the whole gang, was reclaimed. */
  public int count(int taskIndex) {
    return counts.get(keyOf(taskIndex));
  }

  private int keyOf(int taskIndex) {
    return isGang ? WHOLE_GANG : taskIndex;
  }
}
