package eiderfork.controller.registry;

import eiderfork.model.Resources;

/**
 * How many CPUs the current GPU work needs beside each GPU, and so how many free GPUs of a machine
 * are stranded: no GPU work can use them, since too few CPUs are free.
 *
 * @param cpusPerGpu 0 while there is no GPU work
 */
public record CpusPerGpu(double cpusPerGpu) {
  /** The ratio without GPU work, by which no GPU counts as stranded. */
  public static final CpusPerGpu NONE = new CpusPerGpu(0);

  /** The size of a task, in GPUs or in as many CPUs as go with one. */
  public double gpuWeight(Resources demand) {
    double cpusAsGpus = cpusPerGpu > 0 ? demand.cpus() / cpusPerGpu : 1;
    return Math.max(demand.gpus(), cpusAsGpus);
  }

  /** How many of the free GPUs are stranded. */
  double strandedGpus(Resources free) {
    return cpusPerGpu > 0 ? Math.max(0, free.gpus() - free.cpus() / cpusPerGpu) : 0;
  }

  /** The CPUs that can be used without stranding free GPUs. */
  public double spareCpus(Resources free) {
    return free.cpus() - free.gpus() * cpusPerGpu;
  }

  /** How many more GPUs would be stranded if {@code demand} were used of {@code free}. */
  public double additionalStrandedGpus(Resources demand, Resources free) {
    return strandedGpus(free.minus(demand)) - strandedGpus(free);
  }
}
