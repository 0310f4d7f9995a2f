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
 * The bins of a plan in their order as the leaves of a binary tree, each node of which has the
 * maxima of what the bins below it have free. The first bin that takes a task is found without
 * visiting bins that are full.
 */
final class FirstFitTree {
  /** Kinds of machine past this number share the last bit. */
  private static final int MAX_KIND_BITS = Long.SIZE;

  private static final int INITIAL_LEAF_COUNT = 16;

  private static final int NOT_FOUND = -1;

  private static final int ROOT = 1;

  /** What a search is for: the kinds as bits, and whether free GPUs keep their processors. */
  private record Query(
      Resources demand, long kindMask, boolean sparesGpus, Predicate<Bin> accepts) {}

  private final List<Bin> bins;
  private final CpusPerGpu cpusPerGpu;
  private final Object2IntMap<MachineKind> kindBits = new Object2IntOpenHashMap<>();

  /** How many leaves there are: a power of two. The leaf of bin i is the node leafCount + i. */
  private int leafCount = INITIAL_LEAF_COUNT;

  private double[] maxFreeCpus;
  private double[] maxFreeGpus;
  private double[] maxFreeRamGb;

  /** Processors that can be taken without leaving free GPUs too few. */
  private double[] maxSpareCpus;

  private long[] kindMasks;
  private int visitedBins;

  /**
   * @param bins the leaves; from now on only {@link #add} may lengthen the list
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

  /** Below nodes without bins nothing fits. */
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

  /** Adds a bin after all others. */
  void add(Bin bin) {
    bins.add(bin);
    if (bins.size() > leafCount) {
      rebuild();
    } else {
      update(bins.size() - 1);
    }
  }

  /** What a bin has free has changed. */
  void update(int index) {
    setLeaf(index);
    for (int node = (leafCount + index) / 2; node > 0; node /= 2) {
      setFromChildren(node);
    }
  }

  /** How often a bin was visited. */
  int visitedBins() {
    return visitedBins;
  }

  /** The bits of the kinds of which there are bins, and which the predicate accepts. */
  long kindMask(Predicate<MachineKind> accepts) {
    long bits = 0;
    for (Object2IntMap.Entry<MachineKind> each : kindBits.object2IntEntrySet()) {
      if (accepts.test(each.getKey())) {
        bits |= 1L << each.getIntValue();
      }
    }
    return bits;
  }

  /**
   * The index of the first bin that takes the task, or -1.
   *
   * @param kindMask the kinds to visit; where kinds share a bit, {@code accepts} distinguishes them
   * @param sparesGpus only bins whose free GPUs keep the processors that they need
   */
  int findFirst(Resources demand, long kindMask, boolean sparesGpus, Predicate<Bin> accepts) {
    return findFirst(ROOT, new Query(demand, kindMask, sparesGpus, accepts));
  }

  private int findFirst(int node, Query query) {
    if (!canContain(node, query)) {
      return NOT_FOUND;
    }
    if (node >= leafCount) {
      visitedBins++;
      int index = node - leafCount;
      return query.accepts.test(bins.get(index)) ? index : NOT_FOUND;
    }
    int found = findFirst(2 * node, query);
    return found == NOT_FOUND ? findFirst(2 * node + 1, query) : found;
  }

  private boolean canContain(int node, Query query) {
    Resources demand = query.demand;
    return (kindMasks[node] & query.kindMask) != 0
        && demand.fitsIn(maxFreeCpus[node], maxFreeGpus[node], maxFreeRamGb[node])
        && (!query.sparesGpus
            || demand.cpus() <= maxSpareCpus[node] + Resources.ROUNDING_TOLERANCE);
  }

  /** Shows every bin of these kinds that has free capacity for the task. */
  void forEachWithFreeCapacity(Resources demand, long kindMask, Consumer<Bin> consumer) {
    Predicate<Bin> rejectsAll =
        bin -> {
          consumer.accept(bin);
          return false;
        };
    findFirst(ROOT, new Query(demand, kindMask, false, rejectsAll));
  }
}
