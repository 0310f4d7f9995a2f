package eiderfork.controller.autoscaling;

import eiderfork.controller.scheduling.PlacementConstraints;
import eiderfork.model.Job;
import eiderfork.model.MachineKind;
import eiderfork.model.Resources;
import java.util.Map;

/** The tasks of one job that are being packed, all alike, and where they may go. */
final class PackingDemand {
  private final Job job;
  private final Map<String, Integer> tasksByZone;
  private final int maxPerZone;

  /**
   * @param tasksByZone how many tasks of the job each zone holds; packed ones are counted in
   * @param maxPerZone how many a zone may hold
   */
  PackingDemand(Job job, Map<String, Integer> tasksByZone, int maxPerZone) {
    this.job = job;
    this.tasksByZone = tasksByZone;
    this.maxPerZone = maxPerZone;
  }

  Job job() {
    return job;
  }

  /** What one task needs. */
  Resources taskResources() {
    return job.taskResources();
  }

  /** Tasks without GPUs should leave free GPUs the processors that those need. */
  boolean isWithoutGpus() {
    return job.taskResources().gpus() <= 0;
  }

  /** Whether a further task may go onto a machine of this kind. */
  boolean allows(MachineKind kind) {
    return allowsKind(job, kind)
        && PlacementConstraints.canZoneAccept(job, kind.zone(), tasksByZone, maxPerZone);
  }

  /** Whether a job's tasks may go onto machines of this kind, whatever its zones hold. */
  static boolean allowsKind(Job job, MachineKind kind) {
    return job.allowsType(kind.type())
        && job.allowsZone(kind.zone())
        && (job.spotAllowed() || !kind.spot());
  }

  /** Packs one task. */
  void packOn(Bin bin) {
    bin.pack(job.taskResources());
    tasksByZone.merge(bin.kind().zone(), 1, Integer::sum);
  }
}
