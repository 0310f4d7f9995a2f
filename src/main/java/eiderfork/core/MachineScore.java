package eiderfork.core;

import eiderfork.model.Job;
import eiderfork.model.Resources;

/** How good a machine is for one more task of a job; the lower the better. */
final class MachineScore {
  /** A stranded GPU weighs as much as an image wait of this many paces. */
  private static final double STRANDED_STEPS = 100;

  private final Context context;
  private final ImageFetch imageFetch;
  private final GpuBalance balance;
  private final Deadlines deadlines;

  MachineScore(Context context, ImageFetch imageFetch, GpuBalance balance, Deadlines deadlines) {
    this.context = context;
    this.imageFetch = imageFetch;
    this.balance = balance;
    this.deadlines = deadlines;
  }

  /**
   * First counts how many GPUs the task would leave without the processors that GPU work takes,
   * then how long the image keeps it waiting, in steps of a pace, then what the machine has left.
   * Work that may use spot machines leaves the others to the rest, unless a machine that is taken
   * back would cost it its deadline: then it leaves the spot machines to what has more time.
   *
   * @param free what the machine has left before the task
   */
  double of(JobEntry entry, MachineEntry m, Resources free) {
    Job job = entry.job;
    double stranded = balance.strandedBy(job.need(), free);
    double steps = Math.floor(imageFetch.waitS(job, m) / context.paceS());
    double fullness = free.minus(job.need()).shareOf(m.room);
    boolean wrongKind = job.spot() && m.machine.spot() == deadlines.leavesNoSecondRun(entry);
    return steps
        + fullness
        + Math.max(0, stranded) * STRANDED_STEPS
        + (wrongKind ? job.imageGb() : 0);
  }
}
