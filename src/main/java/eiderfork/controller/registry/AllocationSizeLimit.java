package eiderfork.controller.registry;

import eiderfork.model.BitmapAllocationSize;
import eiderfork.model.PackedAllocationSize;
import eiderfork.model.PlainAllocationSize;

/**
 * Checks whether a job's allocation record still fits the store's value size limit with one more
 * reservation. The record must fit in a compact form (packed or bitmap) under both the current and
 * the announced limit. Until all members read the packed form, it must also fit in the plain form
 * under the current limit.
 */
public final class AllocationSizeLimit {
  private final PlainAllocationSize plain;
  private final PackedAllocationSize packed;

  /** Null while some member may not read the bitmap form. */
  private final BitmapAllocationSize bitmap;

  private final double plainLimitKb;
  private final double compactLimitKb;

  /**
   * Creates a limit check that starts from the job's current reservations.
   *
   * @param plainLimitKb the value limit for the plain form; infinite where that form is not written
   * @param compactLimitKb the value limit for the packed and the bitmap form
   * @param withBitmaps whether the bitmap form may be written; then the shorter of the packed and
   *     the bitmap form is written. Neither bound grows when tasks end, so a record that fits after
   *     a reservation fits until the next one.
   */
  public AllocationSizeLimit(
      JobState job, double plainLimitKb, double compactLimitKb, boolean withBitmaps) {
    plain = AllocationRecordBuilder.plainSize(job);
    packed = AllocationRecordBuilder.packedSize(job);
    bitmap = withBitmaps ? AllocationRecordBuilder.bitmapSize(job) : null;
    this.plainLimitKb = plainLimitKb;
    this.compactLimitKb = compactLimitKb;
  }

  /** Adds a reservation to the record. */
  public void add(int index, long attempt, String machine) {
    plain.add(index, attempt, machine);
    packed.add(index, attempt, machine);
    if (bitmap != null) {
      bitmap.add(index, attempt, machine);
    }
  }

  /** Returns whether the record can still be written after this reservation is added. */
  public boolean fits(int index, long attempt, String machine) {
    return plain.fits(index, attempt, machine, plainLimitKb)
        && (packed.fits(index, attempt, machine, compactLimitKb)
            || bitmap != null && bitmap.fits(index, attempt, machine, compactLimitKb));
  }
}
