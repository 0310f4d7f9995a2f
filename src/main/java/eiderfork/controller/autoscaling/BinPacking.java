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
 * The bin packing of one plan: puts tasks onto machines that are in service or on their way, first
 * fit, and onto machines yet to be rented where none of these has free capacity.
 */
final class BinPacking {
  private static final int NO_BIN = -1;

  private final CpusPerGpu cpusPerGpu;
  private final MachineKindSelector kindSelector;
  private final List<Bin> bins;
  private final FirstFitTree tree;
  private final int existingBinCount;

  /**
   * @param bins the machines that the plan counts on; machines to rent are added at its end
   * @param overdueKinds kinds of which machines are overdue, see {@link MachineKindSelector}
   */
  BinPacking(
      ControllerContext context,
      MachineRegistry fleet,
      CloudProvisioner cloud,
      CpusPerGpu cpusPerGpu,
      List<Bin> bins,
      Set<MachineKind> overdueKinds) {
    this.cpusPerGpu = cpusPerGpu;
    this.bins = bins;
    existingBinCount = bins.size();
    tree = new FirstFitTree(bins, cpusPerGpu);
    kindSelector = new MachineKindSelector(context, fleet, cloud, overdueKinds);
    bins.forEach(bin -> kindSelector.countMachine(bin.kind()));
  }

  /** The machines that the packing began with. */
  List<Bin> existingBins() {
    return bins.subList(0, existingBinCount);
  }

  /** The machines that have to be rented for what was packed. */
  List<Bin> binsToRent() {
    return bins.subList(existingBinCount, bins.size());
  }

  /** How often a bin was examined for a task. */
  int examinedBins() {
    return tree.visitedBins();
  }

  /**
   * Packs tasks of a job, which are all alike, one after the other.
   *
   * <p>A task without GPUs goes onto a GPU machine only where that leaves its free GPUs the
   * processors that they need, or where no other machine can be had: small services would use up
   * the processors of GPU machines for good.
   *
   * @param tasksByZone how many tasks of the job each zone holds; packed ones are counted in
   * @param maxPerZone how many a zone may hold
   * @return for how many a machine, existing or to be rented, was found
   */
  int place(Job job, int tasks, Map<String, Integer> tasksByZone, int maxPerZone) {
    PackingDemand demand = new PackingDemand(job, tasksByZone, maxPerZone);
    int placed = 0;
    while (placed < tasks) {
      int index = findBin(demand);
      if (index == NO_BIN) {
        return placed;
      }
      placed += fillBin(index, demand, tasks - placed);
    }
    return placed;
  }

  /** The index of the bin for the next task of a job. */
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

  private int findExistingBin(PackingDemand demand, long kindMask, boolean sparesGpus) {
    return tree.findFirst(
        demand.taskResources(), kindMask, sparesGpus, bin -> canHold(bin, demand, sparesGpus));
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

  /** Packs the first task into the bin that was found for it, and further ones that fit, too. */
  private int fillBin(int index, PackingDemand demand, int tasks) {
    Bin bin = bins.get(index);
    boolean sparesGpus = demand.isWithoutGpus() && !strandsGpus(demand, bin);
    int packed = 0;
    do {
      demand.packOn(bin);
      packed++;
    } while (packed < tasks && canHold(bin, demand, sparesGpus));
    tree.update(index);
    return packed;
  }

  private boolean canHold(Bin bin, PackingDemand demand, boolean sparesGpus) {
    return demand.taskResources().fitsIn(bin.free())
        && demand.allows(bin.kind())
        && !(sparesGpus && strandsGpus(demand, bin));
  }

  private boolean strandsGpus(PackingDemand demand, Bin bin) {
    return cpusPerGpu.additionalStrandedGpus(demand.taskResources(), bin.free()) > 0;
  }

  /** Shows the bins that have free capacity for one task of a job and are of a kind it allows. */
  void forEachWithFreeCapacity(Job job, Consumer<Bin> consumer) {
    long kindMask = tree.kindMask(kind -> PackingDemand.allowsKind(job, kind));
    tree.forEachWithFreeCapacity(job.taskResources(), kindMask, consumer);
  }
}
