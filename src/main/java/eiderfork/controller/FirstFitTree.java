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
  private static final int MOST_KINDS = Long.SIZE;

  private static final int FIRST_CAPACITY = 16;

  /** What a search is for: the kinds as bits, and whether free GPUs keep their processors. */
  private record Wanted(Resources need, long kinds, boolean sparing, Predicate<Bin> accepts) {}

  private final List<Bin> bins;
  private final CpusPerGpu balance;
  private final Object2IntMap<CloudProvisioner.Kind> kindNumbers = new Object2IntOpenHashMap<>();

  /** A power of two; the node of bin i is capacity + i, the root is 1. */
  private int capacity = FIRST_CAPACITY;

  private double[] cpus;
  private double[] gpus;
  private double[] ramGb;

  /** Processors that can be taken without leaving free GPUs too few. */
  private double[] spareCpus;

  private long[] kinds;
  private int visited;

  /**
   * @param bins the list that the tree stands on; lengthened by {@link #add} alone from now on
   */
  FirstFitTree(List<Bin> bins, CpusPerGpu balance) {
    this.bins = bins;
    this.balance = balance;
    kindNumbers.defaultReturnValue(-1);
    build();
  }

  private void build() {
    while (capacity < bins.size()) {
      capacity *= 2;
    }
    cpus = emptyNodes();
    gpus = emptyNodes();
    ramGb = emptyNodes();
    spareCpus = emptyNodes();
    kinds = new long[2 * capacity];
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
    cpus[node] = bin.left.cpus();
    gpus[node] = bin.left.gpus();
    ramGb[node] = bin.left.ramGb();
    spareCpus[node] = balance.spareCpus(bin.left);
    kinds[node] = 1L << kindNumber(bin.kind);
  }

  private void setFromChildren(int node) {
    int a = 2 * node;
    int b = a + 1;
    cpus[node] = Math.max(cpus[a], cpus[b]);
    gpus[node] = Math.max(gpus[a], gpus[b]);
    ramGb[node] = Math.max(ramGb[a], ramGb[b]);
    spareCpus[node] = Math.max(spareCpus[a], spareCpus[b]);
    kinds[node] = kinds[a] | kinds[b];
  }

  private int kindNumber(CloudProvisioner.Kind kind) {
    int number = kindNumbers.getInt(kind);
    if (number < 0) {
      number = Math.min(kindNumbers.size(), MOST_KINDS - 1);
      kindNumbers.put(kind, number);
    }
    return number;
  }

  /** Puts a bin behind all others. */
  void add(Bin bin) {
    bins.add(bin);
    if (bins.size() > capacity) {
      build();
    } else {
      changed(bins.size() - 1);
    }
  }

  /** What is left of a bin has changed. */
  void changed(int index) {
    setLeaf(index);
    for (int node = (capacity + index) / 2; node > 0; node /= 2) {
      setFromChildren(node);
    }
  }

  /** How often a bin was looked at. */
  int visited() {
    return visited;
  }

  /** The kinds of which there are bins, and that are accepted, as bits. */
  long kinds(Predicate<CloudProvisioner.Kind> accepted) {
    long bits = 0;
    for (Object2IntMap.Entry<CloudProvisioner.Kind> each : kindNumbers.object2IntEntrySet()) {
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
  int first(Resources need, long kinds, boolean sparing, Predicate<Bin> accepts) {
    return first(1, new Wanted(need, kinds, sparing, accepts));
  }

  private int first(int node, Wanted wanted) {
    if (!mayHold(node, wanted)) {
      return -1;
    }
    if (node >= capacity) {
      visited++;
      return wanted.accepts.test(bins.get(node - capacity)) ? node - capacity : -1;
    }
    int found = first(2 * node, wanted);
    return found >= 0 ? found : first(2 * node + 1, wanted);
  }

  private boolean mayHold(int node, Wanted wanted) {
    Resources need = wanted.need;
    return (kinds[node] & wanted.kinds) != 0
        && need.fitsIn(cpus[node], gpus[node], ramGb[node])
        && (!wanted.sparing || need.cpus() <= spareCpus[node] + Resources.DUST);
  }

  /** Shows every bin that has room for the task. */
  void forEachWithRoom(Resources need, long kinds, Consumer<Bin> taker) {
    Predicate<Bin> showsAll =
        bin -> {
          taker.accept(bin);
          return false;
        };
    first(1, new Wanted(need, kinds, false, showsAll));
  }
}
