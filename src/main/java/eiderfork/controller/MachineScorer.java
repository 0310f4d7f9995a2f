package eiderfork.controller;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Job;
import eiderfork.model.Resources;

/**
 * How good machines are for one more task of a job; the lower the better. Made anew for each
 * search, so that what depends on the job alone is looked up once.
 */
final class MachineScorer {
  /** A stranded GPU weighs as much as an image wait of this many steps. */
  private static final double STRANDED_GPU_PENALTY_STEPS = 100;

  /**
   * The least image wait that counts, as a share of the time in which the job's tasks should start.
   */
  private static final double IMAGE_STEP_SHARE = 0.25;

  private final ImageFetchEstimator imageFetch;
  private final CpusPerGpu cpusPerGpu;
  private final Job job;

  /** Machines of the kind that the job should leave to others, spot or ordinary. */
  private final boolean avoidsSpot;

  private final double imageStepS;

  MachineScorer(
      ControllerContext context,
      ImageFetchEstimator imageFetch,
      CpusPerGpu cpusPerGpu,
      DeadlineEstimator deadlines,
      JobState entry) {
    this.imageFetch = imageFetch;
    this.cpusPerGpu = cpusPerGpu;
    job = entry.spec;
    avoidsSpot = deadlines.hasNoTimeForRerun(entry);
    double waitS = context.settings.shortestObjectiveS(Objective.Kind.WAIT, job.jobClass());
    imageStepS = Math.min(context.stepS(), waitS * IMAGE_STEP_SHARE);
  }

  /** Whether a task would leave free GPUs fewer processors than GPU work takes beside them. */
  boolean wouldStrandGpus(Resources free) {
    return cpusPerGpu.strandedGpusBy(job.taskResources(), free) > 0;
  }

  /**
   * First counts how many GPUs the task would leave without the processors that GPU work takes,
   * then how long the image keeps it waiting, in steps, then what the machine has left. Work that
   * may use spot machines leaves the others to the rest, unless a machine that is taken back would
   * cost it its deadline: then it leaves the spot machines to what has more time.
   *
   * @param free what the machine has left before the task
   */
  double score(MachineState machine, Resources free) {
    double stranded = cpusPerGpu.strandedGpusBy(job.taskResources(), free);
    double steps = Math.floor(imageFetch.waitS(job, machine) / imageStepS);
    double fullness = free.minus(job.taskResources()).shareOf(machine.capacity());
    boolean wrongKind = job.spotAllowed() && machine.spec().spot() == avoidsSpot;
    return steps
        + fullness
        + Math.max(0, stranded) * STRANDED_GPU_PENALTY_STEPS
        + (wrongKind ? job.imageGb() : 0);
  }
}
