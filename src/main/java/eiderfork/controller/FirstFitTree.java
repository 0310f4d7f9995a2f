package eiderfork.controller;

import eiderfork.model.Resources;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The bins of a plan in their order, and above them a binary tree of the most that any bin below a
 * node has left. The first bin that takes a task is found without a look at those that are full: a
 * plan for thousands of machines and tasks once looked at each machine for each job.
 */
final class FirstFitTree {
  /** Kinds of machine past this number share the last bit. */
  private static final int MAX_KIND_BITS = Long.SIZE;

  private static final int INITIAL_CAPACITY = 16;

  /** What a search is for: the kinds as bits, and whether free GPUs keep their processors. */
  private record Query(Resources need, long kindMask, boolean sparesGpus, Predicate<Bin> accepts) {}

  private final List<Bin> bins;
  private final CpusPerGpu cpusPerGpu;
  private final Object2IntMap<CloudProvisioner.MachineKind> kindBits =
      new Object2IntOpenHashMap<>();

  /** A power of two; the node of bin i is capacity + i, the root is 1. */
  private int capacity = INITIAL_CAPACITY;

  private double[] maxFreeCpus;
  private double[] maxFreeGpus;
  private double[] maxFreeRamGb;

  /** Processors that can be taken without leaving free GPUs too few. */
  private double[] maxSpareCpus;

  private long[] kindMasks;
  private int visitedBins;

  /**
   * @param bins the list that the tree stands on; lengthened by {@link #enqueueQuery} alone from
   *     now on
   */
  FirstFitTree(List<Bin> bins, CpusPerGpu cpusPerGpu) {
    this.bins = bins;
    this.cpusPerGpu = cpusPerGpu;
    kindBits.defaultReturnValue(-1);
    rebuild();
  }

  private void rebuild() {
    while (capacity < bins.size()) {
      capacity *= 2;
    }
    maxFreeCpus = emptyNodes();
    maxFreeGpus = emptyNodes();
    maxFreeRamGb = emptyNodes();
    maxSpareCpus = emptyNodes();
    kindMasks = new long[2 * capacity];
    for (int i = 0; i < bins.size(); i++) {
      setLeaf(i);
    }
    for (int node = capacity - 1; node > 0; node--) {
      setFromChildren(node);
    }
  }

  /** Nodes without bins take nothing. */
  private double[] emptyNodes() {
    double[] nodes = new double[2 * capacity];
    Arrays.fill(nodes, Double.NEGATIVE_INFINITY);
    return nodes;
  }

  private void setLeaf(int i) {
    Bin bin = bins.get(i);
    int node = capacity + i;
    maxFreeCpus[node] = bin.free.cpus();
    maxFreeGpus[node] = bin.free.gpus();
    maxFreeRamGb[node] = bin.free.ramGb();
    maxSpareCpus[node] = cpusPerGpu.spareCpus(bin.free);
    kindMasks[node] = 1L << kindBit(bin.kind);
  }

  private void setFromChildren(int node) {
    int a = 2 * node;
    int b = a + 1;
    maxFreeCpus[node] = Math.max(maxFreeCpus[a], maxFreeCpus[b]);
    maxFreeGpus[node] = Math.max(maxFreeGpus[a], maxFreeGpus[b]);
    maxFreeRamGb[node] = Math.max(maxFreeRamGb[a], maxFreeRamGb[b]);
    maxSpareCpus[node] = Math.max(maxSpareCpus[a], maxSpareCpus[b]);
    kindMasks[node] = kindMasks[a] | kindMasks[b];
  }

  private int kindBit(CloudProvisioner.MachineKind kind) {
    int number = kindBits.getInt(kind);
    if (number < 0) {
      number = Math.min(kindBits.size(), MAX_KIND_BITS - 1);
      kindBits.put(kind, number);
    }
    return number;
  }

  /** Puts a bin behind all others. */
  void add(Bin bin) {
    bins.add(bin);
    if (bins.size() > capacity) {
      rebuild();
    } else {
      update(bins.size() - 1);
    }
  }

  /** What is left of a bin has changed. */
  void update(int index) {
    setLeaf(index);
    for (int node = (capacity + index) / 2; node > 0; node /= 2) {
      setFromChildren(node);
    }
  }

  /** How often a bin was looked at. */
  int visitedBins() {
    return visitedBins;
  }

  /** The kinds of which there are bins, and that are accepted, as bits. */
  long kindMasks(Predicate<CloudProvisioner.MachineKind> accepted) {
    long bits = 0;
    for (Object2IntMap.Entry<CloudProvisioner.MachineKind> each : kindBits.object2IntEntrySet()) {
      if (accepted.test(each.getKey())) {
        bits |= 1L << each.getIntValue();
      }
    }
    return bits;
  }

  /**
   * The index of the first bin that takes the task, or -1.
   *
   * @param kinds the kinds to look at; where kinds share a bit, {@code accepts} tells them apart
   * @param sparing only bins whose free GPUs keep the processors that they need
   */
  int findFirst(Resources demand, long kinds, boolean sparing, Predicate<Bin> accepts) {
    return findFirst(1, new Query(demand, kinds, sparing, accepts));
  }

  private int findFirst(int node, Query query) {
    if (!canContain(node, query)) {
      return -1;
    }
    if (node >= capacity) {
      visitedBins++;
      return query.accepts.test(bins.get(node - capacity)) ? node - capacity : -1;
    }
    int found = findFirst(2 * node, query);
    return found >= 0 ? found : findFirst(2 * node + 1, query);
  }

  private boolean canContain(int node, Query query) {
    Resources demand = query.need;
    return (kindMasks[node] & query.kindMask) != 0
        && demand.fitsIn(maxFreeCpus[node], maxFreeGpus[node], maxFreeRamGb[node])
        && (!query.sparesGpus
            || demand.cpus() <= maxSpareCpus[node] + Resources.ROUNDING_TOLERANCE);
  }

  /** Shows every bin that has room for the task. */
  void forEachWithFreeCapacity(Resources demand, long kinds, Consumer<Bin> consumer) {
    Predicate<Bin> showsAll =
        bin -> {
          consumer.accept(bin);
          return false;
        };
    findFirst(1, new Query(demand, kinds, false, showsAll));
  }
}
