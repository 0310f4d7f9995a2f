package eiderfork.controller.autoscaling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.model.Job;
import eiderfork.model.MachineKind;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The bin packing of one plan. Packs tasks first-fit onto machines that are in service or being
 * provisioned, and onto machines yet to be rented if none of these has free capacity.
 */
final class BinPacking {
  private static final int NO_BIN = -1;

  private final CpusPerGpu cpusPerGpu;
  private final MachineKindSelector kindSelector;
  private final List<Bin> bins;
  private final FirstFitTree tree;
  private final int existingBinCount;

  /**
   * @param bins the machines that the plan can use; machines to rent are appended
   * @param lateKinds the kinds that boot late, see {@link MachineKindSelector}
   */
  BinPacking(
      ControllerContext context,
      MachineRegistry fleet,
      CloudProvisioner cloud,
      CpusPerGpu cpusPerGpu,
      List<Bin> bins,
      Set<MachineKind> lateKinds) {
    this.cpusPerGpu = cpusPerGpu;
    this.bins = bins;
    existingBinCount = bins.size();
    tree = new FirstFitTree(bins, cpusPerGpu);
    kindSelector = new MachineKindSelector(context, fleet, cloud, lateKinds);
    bins.forEach(bin -> kindSelector.countMachine(bin.kind()));
  }

  /** Returns the machines that the packing began with. */
  List<Bin> existingBins() {
    return bins.subList(0, existingBinCount);
  }

  /** Returns the machines that have to be rented for the packed tasks. */
  List<Bin> binsToRent() {
    return bins.subList(existingBinCount, bins.size());
  }

  /** Returns the number of times that a bin was examined for a task. */
  int examinedBins() {
    return tree.visitedBinCount();
  }

  /**
   * Packs identical tasks of a job one by one.
   *
   * <p>A task without GPUs is packed onto a GPU machine only if the machine's free GPUs keep the
   * CPUs that they need, or if no other machine is available. Otherwise small services would
   * permanently use up the CPUs of GPU machines.
   *
   * @param tasksByZone the number of the job's tasks in each zone; updated as tasks are packed
   * @param maxTasksPerZone the maximum number of the job's tasks in a zone
   * @return the number of packed tasks
   */
  int packTasks(Job job, int tasks, Map<String, Integer> tasksByZone, int maxTasksPerZone) {
    PackingDemand demand = new PackingDemand(job, tasksByZone, maxTasksPerZone);
    int packed = 0;
    while (packed < tasks) {
      int index = findBin(demand);
      if (index == NO_BIN) {
        return packed;
      }
      packed += fillBin(index, demand, tasks - packed);
    }
    return packed;
  }

  /** Returns the index of the bin for the next task, or {@link #NO_BIN}. */
  private int findBin(PackingDemand demand) {
    long kindMask = tree.kindMask(demand::allows);
    int index = NO_BIN;
    if (demand.isWithoutGpus()) {
      index = findExistingBin(demand, kindMask, true);
      if (index == NO_BIN) {
        index = addBinToRent(demand, true);
      }
    }
    if (index == NO_BIN) {
      index = findExistingBin(demand, kindMask, false);
    }
    return index == NO_BIN ? addBinToRent(demand, false) : index;
  }

  private int findExistingBin(PackingDemand demand, long kindMask, boolean avoidsStrandedGpus) {
    return tree.findFirst(
        demand.taskResources(),
        kindMask,
        avoidsStrandedGpus,
        bin -> canHold(bin, demand, avoidsStrandedGpus));
  }

  private int addBinToRent(PackingDemand demand, boolean onlyWithoutGpus) {
    Bin bin = kindSelector.selectCheapest(demand, onlyWithoutGpus);
    if (bin == null) {
      return NO_BIN;
    }
    tree.add(bin);
    kindSelector.countMachine(bin.kind());
    return bins.size() - 1;
  }

  /**
   * Packs one task into the bin that was found for it, then more of them while they fit.
   *
   * @return the number of packed tasks
   */
  private int fillBin(int index, PackingDemand demand, int tasks) {
    Bin bin = bins.get(index);
    boolean avoidsStrandedGpus = demand.isWithoutGpus() && !strandsGpus(demand, bin);
    int packed = 0;
    do {
      demand.packOn(bin);
      packed++;
    } while (packed < tasks && canHold(bin, demand, avoidsStrandedGpus));
    tree.update(index);
    return packed;
  }

  private boolean canHold(Bin bin, PackingDemand demand, boolean avoidsStrandedGpus) {
    return demand.taskResources().fitsIn(bin.free())
        && demand.allows(bin.kind())
        && !(avoidsStrandedGpus && strandsGpus(demand, bin));
  }

  private boolean strandsGpus(PackingDemand demand, Bin bin) {
    return cpusPerGpu.additionalStrandedGpus(demand.taskResources(), bin.free()) > 0;
  }

  /**
   * Passes each bin to the consumer that is of a kind the job allows and has free capacity for one
   * of its tasks.
   */
  void forEachWithFreeCapacity(Job job, Consumer<Bin> consumer) {
    long kindMask = tree.kindMask(kind -> PackingDemand.allowsKind(job, kind));
    tree.forEachWithFreeCapacity(job.taskResources(), kindMask, consumer);
  }
}
