package eiderfork.controller.registry;

import eiderfork.model.BitmapAllocationSize;
import eiderfork.model.PackedAllocationSize;
import eiderfork.model.PlainAllocationSize;

/**
 * Whether one more reservation of a job can be stored. Every record must fit in a form that is
 * written, under the current value limit and the announced one. Until all members read the packed
 * form it must also fit in the plain one, under the current limit.
 */
public final class AllocationSizeLimit {
  private final PlainAllocationSize plain;
  private final PackedAllocationSize packed;

  /** Null while a member may not read the bitmap form. */
  private final BitmapAllocationSize bitmap;

  private final double plainLimitKb;
  private final double compactLimitKb;

  /**
   * Begins with the job's current reservations.
   *
   * @param plainLimitKb the largest value for the plain form; infinite where that is not written
   * @param compactLimitKb the largest value for the shorter forms
   * @param withBitmaps whether the bitmap form may be written; then the packed or the bitmap one
   *     is, whichever is shorter. Neither bound grows when tasks end, so one that held at the last
   *     reservation holds until the next.
   */
  public AllocationSizeLimit(
      JobState job, double plainLimitKb, double compactLimitKb, boolean withBitmaps) {
    plain = AllocationRecordBuilder.plainSize(job);
    packed = AllocationRecordBuilder.packedSize(job);
    bitmap = withBitmaps ? AllocationRecordBuilder.bitmapSize(job) : null;
    this.plainLimitKb = plainLimitKb;
    this.compactLimitKb = compactLimitKb;
  }

  /** Counts one more reservation. */
  public void add(int index, long attempt, String machine) {
    plain.add(index, attempt, machine);
    packed.add(index, attempt, machine);
    if (bitmap != null) {
      bitmap.add(index, attempt, machine);
    }
  }

  /** Whether a record with one more reservation can be written. */
  public boolean fits(int index, long attempt, String machine) {
    return plain.fits(index, attempt, machine, plainLimitKb)
        && (packed.fits(index, attempt, machine, compactLimitKb)
            || bitmap != null && bitmap.fits(index, attempt, machine, compactLimitKb));
  }
}
