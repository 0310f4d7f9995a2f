package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The tree finds what a look at every bin would find. */
class FirstFitTreeTest {
  private static final Resources ROOM = new Resources(64, 8, 512);
  private static final CpusPerGpu FOUR_CPUS_A_GPU = new CpusPerGpu(4);
  private static final long ALL_KINDS = -1;

  private final Random random = new Random(5);

  private Resources amount() {
    return new Resources(random.nextInt(65), random.nextInt(9), random.nextInt(513));
  }

  private Bin bin(int kinds) {
    CloudProvisioner.MachineKind kind =
        new CloudProvisioner.MachineKind(
            "type-" + random.nextInt(kinds), "a", random.nextBoolean());
    return new Bin(null, kind, ROOM, amount());
  }

  /** The first bin in order, by a look at each. */
  private static int firstByLinearSearch(List<Bin> bins, Resources demand, Predicate<Bin> accepts) {
    for (int i = 0; i < bins.size(); i++) {
      if (demand.fitsIn(bins.get(i).free) && accepts.test(bins.get(i))) {
        return i;
      }
    }
    return -1;
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 100})
  void theFirstThatTakesATaskIsFoundWhateverChanged(int kinds) {
    List<Bin> bins = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      bins.add(bin(kinds));
    }
    FirstFitTree tree = new FirstFitTree(bins, FOUR_CPUS_A_GPU);
    for (int i = 0; i < 2000; i++) {
      if (random.nextInt(10) == 0) {
        tree.add(bin(kinds));
      }
      int changed = random.nextInt(bins.size());
      bins.get(changed).free = amount();
      tree.update(changed);
      Resources demand = amount();
      String type = "type-" + random.nextInt(kinds);
      Predicate<Bin> ofType = it -> it.kind.type().equals(type);
      long bits = tree.kindMasks(kind -> kind.type().equals(type));
      assertEquals(
          firstByLinearSearch(bins, demand, ofType), tree.findFirst(demand, bits, false, ofType));
    }
  }

  @Test
  void freeGpusKeepTheirProcessorsWhereThatIsAskedFor() {
    List<Bin> bins = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      bins.add(bin(3));
    }
    FirstFitTree tree = new FirstFitTree(bins, FOUR_CPUS_A_GPU);
    for (int cpus = 1; cpus < 64; cpus++) {
      Resources demand = new Resources(cpus, 0, 4);
      Predicate<Bin> sparing = it -> FOUR_CPUS_A_GPU.strandedGpusBy(demand, it.free) <= 0;
      int expected = firstByLinearSearch(bins, demand, sparing);
      assertEquals(expected, tree.findFirst(demand, ALL_KINDS, true, sparing));
    }
  }

  /** A plan for a large fleet once looked at each machine for each job that waited. */
  @Test
  void fullBinsAreNotLookedAt() {
    List<Bin> bins = new ArrayList<>();
    CloudProvisioner.MachineKind kind = new CloudProvisioner.MachineKind("g8", "a", false);
    for (int i = 0; i < 6000; i++) {
      bins.add(new Bin(null, kind, ROOM, Resources.NONE));
    }
    bins.get(4321).free = ROOM;
    FirstFitTree tree = new FirstFitTree(bins, FOUR_CPUS_A_GPU);
    for (int i = 0; i < 100; i++) {
      assertEquals(4321, tree.findFirst(ROOM, ALL_KINDS, false, it -> true));
    }
    assertEquals(100, tree.visitedBins());
  }

  @Test
  void everyBinWithRoomIsShown() {
    List<Bin> bins = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      bins.add(bin(3));
    }
    FirstFitTree tree = new FirstFitTree(bins, FOUR_CPUS_A_GPU);
    Resources demand = new Resources(20, 2, 100);
    List<Bin> shown = new ArrayList<>();
    tree.forEachWithFreeCapacity(demand, ALL_KINDS, shown::add);
    assertEquals(bins.stream().filter(it -> demand.fitsIn(it.free)).toList(), shown);
    assertTrue(shown.size() < bins.size());
  }
}
