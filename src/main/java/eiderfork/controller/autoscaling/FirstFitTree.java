package eiderfork.controller.autoscaling;

import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.model.MachineKind;
import eiderfork.model.Resources;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * A segment tree over the bins of a plan, in their order. Each node holds the maximum free capacity
 * of the bins below it, so that the first bin that accepts a task is found without visiting full
 * bins.
 */
final class FirstFitTree {
  /** The number of bits for machine kinds; kinds beyond this number share the last bit. */
  private static final int MAX_KIND_BITS = Long.SIZE;

  private static final int INITIAL_LEAF_COUNT = 16;

  private static final int NOT_FOUND = -1;

  private static final int ROOT = 1;

  /** A search: a task's demand, the bits of the machine kinds, and a condition on the bin. */
  private record Query(
      Resources demand, long kindMask, boolean avoidsStrandedGpus, Predicate<Bin> accepts) {}

  private final List<Bin> bins;
  private final CpusPerGpu cpusPerGpu;
  private final Object2IntMap<MachineKind> kindBits = new Object2IntOpenHashMap<>();

  /** The number of leaves, a power of two. The leaf of bin i is the node leafCount + i. */
  private int leafCount = INITIAL_LEAF_COUNT;

  private double[] maxFreeCpus;
  private double[] maxFreeGpus;
  private double[] maxFreeRamGb;

  /** The maximum of the CPUs that can be used without stranding free GPUs. */
  private double[] maxSpareCpus;

  private long[] kindMasks;
  private int visitedBinCount;

  /**
   * @param bins the leaves; once passed, the list may grow only through {@link #add}
   */
  FirstFitTree(List<Bin> bins, CpusPerGpu cpusPerGpu) {
    this.bins = bins;
    this.cpusPerGpu = cpusPerGpu;
    kindBits.defaultReturnValue(-1);
    rebuild();
  }

  private void rebuild() {
    while (leafCount < bins.size()) {
      leafCount *= 2;
    }
    maxFreeCpus = emptyNodes();
    maxFreeGpus = emptyNodes();
    maxFreeRamGb = emptyNodes();
    maxSpareCpus = emptyNodes();
    kindMasks = new long[2 * leafCount];
    for (int i = 0; i < bins.size(); i++) {
      setLeaf(i);
    }
    for (int node = leafCount - 1; node > 0; node--) {
      setFromChildren(node);
    }
  }

  /** Returns node values for a tree without bins, which no demand fits. */
  private double[] emptyNodes() {
    double[] nodes = new double[2 * leafCount];
    Arrays.fill(nodes, Double.NEGATIVE_INFINITY);
    return nodes;
  }

  private void setLeaf(int index) {
    Bin bin = bins.get(index);
    int node = leafCount + index;
    maxFreeCpus[node] = bin.free().cpus();
    maxFreeGpus[node] = bin.free().gpus();
    maxFreeRamGb[node] = bin.free().ramGb();
    maxSpareCpus[node] = cpusPerGpu.spareCpus(bin.free());
    kindMasks[node] = 1L << kindBit(bin.kind());
  }

  private void setFromChildren(int node) {
    int left = 2 * node;
    int right = left + 1;
    maxFreeCpus[node] = Math.max(maxFreeCpus[left], maxFreeCpus[right]);
    maxFreeGpus[node] = Math.max(maxFreeGpus[left], maxFreeGpus[right]);
    maxFreeRamGb[node] = Math.max(maxFreeRamGb[left], maxFreeRamGb[right]);
    maxSpareCpus[node] = Math.max(maxSpareCpus[left], maxSpareCpus[right]);
    kindMasks[node] = kindMasks[left] | kindMasks[right];
  }

  private int kindBit(MachineKind kind) {
    int bit = kindBits.getInt(kind);
    if (bit < 0) {
      bit = Math.min(kindBits.size(), MAX_KIND_BITS - 1);
      kindBits.put(kind, bit);
    }
    return bit;
  }

  /** Appends a bin. */
  void add(Bin bin) {
    bins.add(bin);
    if (bins.size() > leafCount) {
      rebuild();
    } else {
      update(bins.size() - 1);
    }
  }

  /** Updates the tree after the free capacity of a bin has changed. */
  void update(int index) {
    setLeaf(index);
    for (int node = (leafCount + index) / 2; node > 0; node /= 2) {
      setFromChildren(node);
    }
  }

  /** Returns the number of times that a bin was visited. */
  int visitedBinCount() {
    return visitedBinCount;
  }

  /** Returns the bits of those kinds among the bins that the predicate accepts. */
  long kindMask(Predicate<MachineKind> accepts) {
    long bits = 0;
    for (Object2IntMap.Entry<MachineKind> entry : kindBits.object2IntEntrySet()) {
      if (accepts.test(entry.getKey())) {
        bits |= 1L << entry.getIntValue();
      }
    }
    return bits;
  }

  /**
   * Returns the index of the first bin that accepts a task, or -1.
   *
   * @param kindMask the kinds to visit; for kinds that share a bit, {@code accepts} has to
   *     distinguish them
   * @param avoidsStrandedGpus whether to visit only bins on which the task would strand no free
   *     GPUs
   */
  int findFirst(
      Resources demand, long kindMask, boolean avoidsStrandedGpus, Predicate<Bin> accepts) {
    return findFirst(ROOT, new Query(demand, kindMask, avoidsStrandedGpus, accepts));
  }

  private int findFirst(int node, Query query) {
    if (!mayContainMatch(node, query)) {
      return NOT_FOUND;
    }
    if (node >= leafCount) {
      visitedBinCount++;
      int index = node - leafCount;
      return query.accepts.test(bins.get(index)) ? index : NOT_FOUND;
    }
    int found = findFirst(2 * node, query);
    return found == NOT_FOUND ? findFirst(2 * node + 1, query) : found;
  }

  private boolean mayContainMatch(int node, Query query) {
    Resources demand = query.demand;
    return (kindMasks[node] & query.kindMask) != 0
        && demand.fitsIn(maxFreeCpus[node], maxFreeGpus[node], maxFreeRamGb[node])
        && (!query.avoidsStrandedGpus
            || demand.cpus() <= maxSpareCpus[node] + Resources.ROUNDING_TOLERANCE);
  }

  /** Passes every bin of these kinds that has free capacity for the task to the consumer. */
  void forEachWithFreeCapacity(Resources demand, long kindMask, Consumer<Bin> consumer) {
    Predicate<Bin> rejectsAll =
        bin -> {
          consumer.accept(bin);
          return false;
        };
    findFirst(ROOT, new Query(demand, kindMask, false, rejectsAll));
  }
}
