package eiderfork.controller.registry;

import eiderfork.model.Resources;

/**
 * The average number of CPUs per GPU that the current GPU jobs request. It determines how many of a
 * machine's free GPUs are stranded: no GPU job can use them, because too few CPUs are free.
 *
 * @param cpusPerGpu the ratio; 0 while there are no GPU jobs
 */
public record CpusPerGpu(double cpusPerGpu) {
  /** The ratio without GPU jobs, with which no GPU counts as stranded. */
  public static final CpusPerGpu NONE = new CpusPerGpu(0);

  /** The size of a task in GPUs: the larger of its GPUs and its CPUs divided by the ratio. */
  public double gpuWeight(Resources demand) {
    double cpusInGpus = cpusPerGpu > 0 ? demand.cpus() / cpusPerGpu : 1;
    return Math.max(demand.gpus(), cpusInGpus);
  }

  /** The number of free GPUs that are stranded. */
  double strandedGpus(Resources free) {
    return cpusPerGpu > 0 ? Math.max(0, free.gpus() - free.cpus() / cpusPerGpu) : 0;
  }

  /** The CPUs that can be used without stranding free GPUs. */
  public double spareCpus(Resources free) {
    return free.cpus() - free.gpus() * cpusPerGpu;
  }

  /** The number of GPUs that become stranded if {@code demand} is taken from {@code free}. */
  public double additionalStrandedGpus(Resources demand, Resources free) {
    return strandedGpus(free.minus(demand)) - strandedGpus(free);
  }
}
