package eiderfork.controller.autoscaling;

import eiderfork.controller.scheduling.PlacementConstraints;
import eiderfork.model.Job;
import eiderfork.model.MachineKind;
import eiderfork.model.Resources;
import java.util.Map;

/** The identical tasks of one job that are being packed, and the constraints on their machines. */
final class PackingDemand {
  private final Job job;
  private final Map<String, Integer> tasksByZone;
  private final int maxTasksPerZone;

  /**
   * @param tasksByZone the number of the job's tasks in each zone; updated as tasks are packed
   * @param maxTasksPerZone the maximum number of the job's tasks in a zone
   */
  PackingDemand(Job job, Map<String, Integer> tasksByZone, int maxTasksPerZone) {
    this.job = job;
    this.tasksByZone = tasksByZone;
    this.maxTasksPerZone = maxTasksPerZone;
  }

  Job job() {
    return job;
  }

  /** Returns the resources that one task needs. */
  Resources taskResources() {
    return job.taskResources();
  }

  /**
   * Returns whether the tasks need no GPUs. Such tasks should leave free GPUs the CPUs that those
   * need.
   */
  boolean isWithoutGpus() {
    return job.taskResources().gpus() <= 0;
  }

  /** Returns whether one more task may run on a machine of this kind. */
  boolean allows(MachineKind kind) {
    return allowsKind(job, kind)
        && PlacementConstraints.canZoneAccept(job, kind.zone(), tasksByZone, maxTasksPerZone);
  }

  /**
   * Returns whether a job's tasks may run on machines of this kind, regardless of the job's other
   * tasks.
   */
  static boolean allowsKind(Job job, MachineKind kind) {
    return job.allowsType(kind.type())
        && job.allowsZone(kind.zone())
        && (job.spotAllowed() || !kind.spot());
  }

  /** Packs one task into a bin. */
  void packOn(Bin bin) {
    bin.pack(job.taskResources());
    tasksByZone.merge(bin.kind().zone(), 1, Integer::sum);
  }
}
