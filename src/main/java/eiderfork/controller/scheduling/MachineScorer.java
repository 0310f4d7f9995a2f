package eiderfork.controller.scheduling;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.Job;
import eiderfork.model.Resources;

/**
 * Scores machines for one more task of a job; the lower the better. There is one for each search,
 * so that what depends on the job alone is looked up once.
 */
final class MachineScorer {
  /** A stranded GPU counts as much as an image wait of this many steps. */
  private static final double STRANDED_GPU_PENALTY_STEPS = 100;

  /** The smallest image wait that counts, as a share of the job's start objective. */
  private static final double IMAGE_STEP_SHARE = 0.25;

  private final ImageFetchEstimator imageFetch;
  private final CpusPerGpu cpusPerGpu;
  private final Job spec;

  /** Whether the job should leave spot machines, rather than ordinary ones, to other jobs. */
  private final boolean avoidsSpot;

  private final double imageStepS;

  MachineScorer(
      ControllerContext context,
      ImageFetchEstimator imageFetch,
      CpusPerGpu cpusPerGpu,
      DeadlineEstimator deadlines,
      JobState job) {
    this.imageFetch = imageFetch;
    this.cpusPerGpu = cpusPerGpu;
    spec = job.spec();
    avoidsSpot = deadlines.hasNoTimeForRerun(job);
    double objectiveS = context.settings.shortestObjectiveS(Objective.Kind.WAIT, spec.jobClass());
    imageStepS = Math.min(context.stepS(), objectiveS * IMAGE_STEP_SHARE);
  }

  /** Whether a task would leave free GPUs fewer CPUs than GPU work needs beside them. */
  boolean wouldStrandGpus(Resources free) {
    return cpusPerGpu.strandedGpusBy(spec.taskResources(), free) > 0;
  }

  /**
   * The score of a machine. GPUs that the task would strand count most, then the wait for its image
   * in steps, then the capacity that it would leave free. Work that may use spot machines leaves
   * the others to the rest; work whose deadline would be lost with a spot machine does the
   * opposite.
   *
   * @param free the free capacity of the machine before the task
   */
  double score(MachineState machine, Resources free) {
    double strandedGpus = cpusPerGpu.strandedGpusBy(spec.taskResources(), free);
    double imageSteps = Math.floor(imageFetch.waitS(spec, machine) / imageStepS);
    double shareLeftFree = free.minus(spec.taskResources()).shareOf(machine.capacity());
    boolean isLeftToOtherJobs = spec.spotAllowed() && machine.spec().spot() == avoidsSpot;
    return imageSteps
        + shareLeftFree
        + Math.max(0, strandedGpus) * STRANDED_GPU_PENALTY_STEPS
        + (isLeftToOtherJobs ? spec.imageGb() : 0);
  }
}
