package eiderfork.controller.registry;

import eiderfork.model.Job;
import eiderfork.model.MachineType;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Restores the cached images of the machines from the allocations that earlier leaders wrote. The
 * allocation of a cancelled service keeps its reservations, so images of jobs that no longer run
 * are included.
 */
public final class CachedImageRestorer {
  private final MachineRegistry fleet;

  /** Creates a restorer for the machines of this registry. */
  public CachedImageRestorer(MachineRegistry fleet) {
    this.fleet = fleet;
  }

  /** Records the images of all reservations, in the order in which the jobs were last written. */
  public void restore(Collection<JobState> jobs) {
    List<JobState> byVersion = new ArrayList<>(jobs);
    byVersion.sort(Comparator.comparingLong(job -> job.writes().version()));
    for (JobState job : byVersion) {
      if (job.spec().image() == null) {
        continue;
      }
      for (StoredRecord.ReservedRange range : job.writes().committed().reserved()) {
        recordImageUse(fleet.get(range.machine()), job.spec());
      }
    }
  }

  private void recordImageUse(MachineState machine, Job job) {
    if (machine == null) {
      return;
    }
    MachineType type = fleet.typeOf(machine);
    double cacheGb = type == null ? Double.MAX_VALUE : type.imageCacheGb();
    machine.images().recordUse(job.image(), job.imageGb(), cacheGb);
  }
}
