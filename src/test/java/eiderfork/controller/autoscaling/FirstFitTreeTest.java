package eiderfork.controller.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.model.MachineKind;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the searches of the tree with a linear search. */
class FirstFitTreeTest {
  private static final Resources CAPACITY = new Resources(64, 8, 512);
  private static final CpusPerGpu FOUR_CPUS_PER_GPU = new CpusPerGpu(4);
  private static final long ALL_KINDS = -1;

  private final Random random = new Random(5);

  private Resources randomFree() {
    return new Resources(random.nextInt(65), random.nextInt(9), random.nextInt(513));
  }

  private Bin randomBin(int kinds) {
    MachineKind kind = new MachineKind("type-" + random.nextInt(kinds), "a", random.nextBoolean());
    return new Bin(null, kind, CAPACITY, randomFree());
  }

  private List<Bin> randomBins(int count, int kinds) {
    List<Bin> bins = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      bins.add(randomBin(kinds));
    }
    return bins;
  }

  private static int firstByLinearSearch(List<Bin> bins, Resources demand, Predicate<Bin> accepts) {
    for (int i = 0; i < bins.size(); i++) {
      if (demand.fitsIn(bins.get(i).free()) && accepts.test(bins.get(i))) {
        return i;
      }
    }
    return -1;
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 100})
  void findsTheFirstBinThatTakesATaskAfterUpdates(int kinds) {
    List<Bin> bins = randomBins(20, kinds);
    FirstFitTree tree = new FirstFitTree(bins, FOUR_CPUS_PER_GPU);
    for (int i = 0; i < 2000; i++) {
      if (random.nextInt(10) == 0) {
        tree.add(randomBin(kinds));
      }
      int changed = random.nextInt(bins.size());
      bins.set(changed, new Bin(null, bins.get(changed).kind(), CAPACITY, randomFree()));
      tree.update(changed);
      Resources demand = randomFree();
      String type = "type-" + random.nextInt(kinds);
      Predicate<Bin> ofType = bin -> bin.kind().type().equals(type);
      long bits = tree.kindMask(kind -> kind.type().equals(type));
      assertEquals(
          firstByLinearSearch(bins, demand, ofType), tree.findFirst(demand, bits, false, ofType));
    }
  }

  @Test
  void findsBinsWithoutStrandingFreeGpus() {
    List<Bin> bins = randomBins(500, 3);
    FirstFitTree tree = new FirstFitTree(bins, FOUR_CPUS_PER_GPU);
    for (int cpus = 1; cpus < 64; cpus++) {
      Resources demand = new Resources(cpus, 0, 4);
      Predicate<Bin> strandsNoGpus =
          bin -> FOUR_CPUS_PER_GPU.additionalStrandedGpus(demand, bin.free()) <= 0;
      int expected = firstByLinearSearch(bins, demand, strandsNoGpus);
      assertEquals(expected, tree.findFirst(demand, ALL_KINDS, true, strandsNoGpus));
    }
  }

  /** Guards against plans that examine every machine of a large fleet for each pending job. */
  @Test
  void doesNotVisitFullBins() {
    List<Bin> bins = new ArrayList<>();
    MachineKind kind = new MachineKind("g8", "a", false);
    for (int i = 0; i < 6000; i++) {
      bins.add(new Bin(null, kind, CAPACITY, Resources.NONE));
    }
    bins.set(4321, new Bin(null, kind, CAPACITY, CAPACITY));
    FirstFitTree tree = new FirstFitTree(bins, FOUR_CPUS_PER_GPU);
    for (int i = 0; i < 100; i++) {
      assertEquals(4321, tree.findFirst(CAPACITY, ALL_KINDS, false, bin -> true));
    }
    assertEquals(100, tree.visitedBinCount());
  }

  @Test
  void passesEveryBinWithFreeCapacityToTheConsumer() {
    List<Bin> bins = randomBins(300, 3);
    FirstFitTree tree = new FirstFitTree(bins, FOUR_CPUS_PER_GPU);
    Resources demand = new Resources(20, 2, 100);
    List<Bin> found = new ArrayList<>();
    tree.forEachWithFreeCapacity(demand, ALL_KINDS, found::add);
    assertEquals(bins.stream().filter(bin -> demand.fitsIn(bin.free())).toList(), found);
    assertTrue(found.size() < bins.size());
  }
}
