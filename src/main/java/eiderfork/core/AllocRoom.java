package eiderfork.core;

import eiderfork.model.AllocSize;
import eiderfork.model.PackedAllocSize;

/**
 * Whether one more reservation of a job can be stored. Every record must fit in its packed form
 * under the limits of now and those to come. Until all members read that form it must fit in the
 * plain one as well, under the limits in force.
 */
final class AllocRoom {
  private final AllocSize plain;
  private final PackedAllocSize packed;
  private final double plainKb;
  private final double packedKb;

  /**
   * Begins with what is reserved for the job now.
   *
   * @param plainKb the largest value for the plain form; infinite where that is not written
   * @param packedKb the largest value for the packed form
   */
  AllocRoom(JobEntry entry, double plainKb, double packedKb) {
    plain = entry.size();
    packed = entry.packedSize();
    this.plainKb = plainKb;
    this.packedKb = packedKb;
  }

  void add(long attempt, String machine) {
    plain.add(attempt, machine);
    packed.add(attempt, machine);
  }

  boolean fits(long attempt, String machine) {
    return plain.fits(attempt, machine, plainKb) && packed.fits(attempt, machine, packedKb);
  }
}
