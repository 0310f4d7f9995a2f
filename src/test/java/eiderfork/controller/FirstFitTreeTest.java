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
    CloudProvisioner.Kind kind =
        new CloudProvisioner.Kind("type-" + random.nextInt(kinds), "a", random.nextBoolean());
    return new Bin(null, kind, ROOM, amount());
  }

  /** The first bin in order, by a look at each. */
  private static int firstByLooking(List<Bin> bins, Resources need, Predicate<Bin> accepts) {
    for (int i = 0; i < bins.size(); i++) {
      if (need.fitsIn(bins.get(i).left) && accepts.test(bins.get(i))) {
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
      bins.get(changed).left = amount();
      tree.changed(changed);
      Resources need = amount();
      String type = "type-" + random.nextInt(kinds);
      Predicate<Bin> ofType = it -> it.kind.type().equals(type);
      long bits = tree.kinds(kind -> kind.type().equals(type));
      assertEquals(firstByLooking(bins, need, ofType), tree.first(need, bits, false, ofType));
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
      Resources need = new Resources(cpus, 0, 4);
      Predicate<Bin> sparing = it -> FOUR_CPUS_A_GPU.strandedBy(need, it.left) <= 0;
      int expected = firstByLooking(bins, need, sparing);
      assertEquals(expected, tree.first(need, ALL_KINDS, true, sparing));
    }
  }

  /** A plan for a large fleet once looked at each machine for each job that waited. */
  @Test
  void fullBinsAreNotLookedAt() {
    List<Bin> bins = new ArrayList<>();
    CloudProvisioner.Kind kind = new CloudProvisioner.Kind("g8", "a", false);
    for (int i = 0; i < 6000; i++) {
      bins.add(new Bin(null, kind, ROOM, Resources.NONE));
    }
    bins.get(4321).left = ROOM;
    FirstFitTree tree = new FirstFitTree(bins, FOUR_CPUS_A_GPU);
    for (int i = 0; i < 100; i++) {
      assertEquals(4321, tree.first(ROOM, ALL_KINDS, false, it -> true));
    }
    assertEquals(100, tree.visited());
  }

  @Test
  void everyBinWithRoomIsShown() {
    List<Bin> bins = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      bins.add(bin(3));
    }
    FirstFitTree tree = new FirstFitTree(bins, FOUR_CPUS_A_GPU);
    Resources need = new Resources(20, 2, 100);
    List<Bin> shown = new ArrayList<>();
    tree.forEachWithRoom(need, ALL_KINDS, shown::add);
    assertEquals(bins.stream().filter(it -> need.fitsIn(it.left)).toList(), shown);
    assertTrue(shown.size() < bins.size());
  }
}
