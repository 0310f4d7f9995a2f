package eiderfork.controller;

import eiderfork.model.Resources;

/**
 * How many processors the GPU work of now takes beside each GPU, and so how many free GPUs of a
 * machine can't be used for want of processors.
 *
 * @param cpusPerGpu 0 while there is no GPU work
 */
record CpusPerGpu(double cpusPerGpu) {
  /** The balance where nobody wants GPUs: none counts as stranded. */
  static final CpusPerGpu NONE = new CpusPerGpu(0);

  /** The size of a task, in GPUs or in the processors that go with one. */
  double gpuWeight(Resources demand) {
    double gpusWorth = cpusPerGpu > 0 ? demand.cpus() / cpusPerGpu : 1;
    return Math.max(demand.gpus(), gpusWorth);
  }

  /** How many of the free GPUs can't be used for want of processors beside them. */
  double strandedGpus(Resources free) {
    return cpusPerGpu > 0 ? Math.max(0, free.gpus() - free.cpus() / cpusPerGpu) : 0;
  }

  /** The processors that can be taken without leaving free GPUs fewer than they need. */
  double spareCpus(Resources free) {
    return free.cpus() - free.gpus() * cpusPerGpu;
  }

  /** How many more GPUs would be stranded if {@code demand} were taken out of {@code free}. */
  double strandedGpusBy(Resources demand, Resources free) {
    return strandedGpus(free.minus(demand)) - strandedGpus(free);
  }
}
