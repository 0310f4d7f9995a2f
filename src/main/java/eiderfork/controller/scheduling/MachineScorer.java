package eiderfork.controller.scheduling;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;
import eiderfork.model.Job;
import eiderfork.model.Resources;

/**
 * Scores machines for one more task of a job; a lower score is better. Each search creates its own
 * scorer, so that values that depend only on the job are computed once.
 */
final class MachineScorer {
  /** The penalty for one stranded GPU, as an image wait in steps. */
  private static final double STRANDED_GPU_PENALTY_STEPS = 100;

  /**
   * The upper bound of the unit in which image waits are counted, as a share of the job's start
   * objective.
   */
  private static final double IMAGE_STEP_SHARE = 0.25;

  private final ImageFetchEstimator imageFetch;
  private final CpusPerGpu cpusPerGpu;
  private final Job spec;

  /**
   * True if the job leaves spot machines to other jobs; false if it leaves on-demand machines to
   * them.
   */
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

  /** Returns whether a task would leave free GPUs with fewer CPUs than GPU work needs. */
  boolean wouldStrandGpus(Resources free) {
    return cpusPerGpu.additionalStrandedGpus(spec.taskResources(), free) > 0;
  }

  /**
   * Returns the score of a machine. Stranded GPUs weigh most, then the wait for the image in steps,
   * then the share of capacity that remains free. Jobs that may use spot machines leave on-demand
   * machines to other jobs, unless losing a spot machine would cost them their deadline; such jobs
   * avoid spot machines.
   *
   * @param free the free capacity of the machine before the task is placed
   */
  double score(MachineState machine, Resources free) {
    double strandedGpus = cpusPerGpu.additionalStrandedGpus(spec.taskResources(), free);
    double imageSteps = Math.floor(imageFetch.waitS(spec, machine) / imageStepS);
    double shareLeftFree = free.minus(spec.taskResources()).shareOf(machine.capacity());
    boolean isLeftToOtherJobs = spec.spotAllowed() && machine.spec().spot() == avoidsSpot;
    return imageSteps
        + shareLeftFree
        + Math.max(0, strandedGpus) * STRANDED_GPU_PENALTY_STEPS
        + (isLeftToOtherJobs ? spec.imageGb() : 0);
  }
}
