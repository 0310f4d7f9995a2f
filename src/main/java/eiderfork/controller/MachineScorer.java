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
  private static final double STRANDED_STEPS = 100;

  /**
   * The least image wait that counts, as a share of the time in which the job's tasks should start.
   */
  private static final double STEP_SHARE = 0.25;

  private final ImageFetchEstimator imageFetch;
  private final CpusPerGpu balance;
  private final Job job;

  /** Machines of the kind that the job should leave to others, spot or ordinary. */
  private final boolean avoidsSpot;

  private final double imageStepS;

  MachineScorer(
      ControllerContext context,
      ImageFetchEstimator imageFetch,
      CpusPerGpu balance,
      DeadlineEstimator deadlines,
      JobState entry) {
    this.imageFetch = imageFetch;
    this.balance = balance;
    job = entry.job;
    avoidsSpot = deadlines.leavesNoSecondRun(entry);
    double waitS = context.settings.shortestAimS(Objective.Kind.WAIT, job.jobClass());
    imageStepS = Math.min(context.stepS(), waitS * STEP_SHARE);
  }

  /** Whether a task would leave free GPUs fewer processors than GPU work takes beside them. */
  boolean strandsGpus(Resources free) {
    return balance.strandedBy(job.need(), free) > 0;
  }

  /**
   * First counts how many GPUs the task would leave without the processors that GPU work takes,
   * then how long the image keeps it waiting, in steps, then what the machine has left. Work that
   * may use spot machines leaves the others to the rest, unless a machine that is taken back would
   * cost it its deadline: then it leaves the spot machines to what has more time.
   *
   * @param free what the machine has left before the task
   */
  double of(MachineState m, Resources free) {
    double stranded = balance.strandedBy(job.need(), free);
    double steps = Math.floor(imageFetch.waitS(job, m) / imageStepS);
    double fullness = free.minus(job.need()).shareOf(m.room);
    boolean wrongKind = job.spot() && m.machine.spot() == avoidsSpot;
    return steps
        + fullness
        + Math.max(0, stranded) * STRANDED_STEPS
        + (wrongKind ? job.imageGb() : 0);
  }
}
