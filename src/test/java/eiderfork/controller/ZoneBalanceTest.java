package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Machines are requested in all zones evenly. */
class ZoneBalanceTest {
  private static final ImmutableList<String> ZONES = ImmutableList.of("a", "b", "c");
  private static final int MACHINES_PER_ZONE = 12;

  private static SimulatedCluster clusterOfThreeZones() {
    SimulatedCluster world = new SimulatedCluster(11);
    world.cloud.types =
        ImmutableList.of(new MachineType("c8", new Resources(8, 0, 64), 50, 2, 1, 0.4, 3, ZONES));
    world.cloud.capacity = MACHINES_PER_ZONE;
    world.run(3);
    return world;
  }

  private static List<Job> submitSpread(SimulatedCluster world, int jobs) {
    List<Job> all = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, 4, 0, "blue", Priority.HIGH, true, false);
      all.add(job);
      world.submit(job);
    }
    return all;
  }

  @Test
  void machinesAreRentedEvenlyInAllZones() {
    SimulatedCluster world = clusterOfThreeZones();
    submitSpread(world, 30);
    world.run(30);
    Map<String, Long> byZone =
        world.workers().stream()
            .collect(Collectors.groupingBy(worker -> worker.machine.zone(), Collectors.counting()));
    assertEquals(3, byZone.size(), byZone::toString);
    long most = byZone.values().stream().mapToLong(Long::longValue).max().orElseThrow();
    long least = byZone.values().stream().mapToLong(Long::longValue).min().orElseThrow();
    assertTrue(most - least <= 2, byZone::toString);
  }

  /**
   * Two zones were filled first; of services that must be spread only the half that one zone may
   * hold then found capacity in the third.
   */
  @Test
  void spreadServicesFillThreeZones() {
    SimulatedCluster world = clusterOfThreeZones();
    // Nine of ten processors.
    List<Job> jobs = submitSpread(world, 65);
    world.run(60);
    long missing =
        jobs.stream().mapToLong(job -> job.tasks() - world.checker.running(job.uid())).sum();
    assertEquals(0, missing, "tasks without capacity");
    assertEquals(List.of(), world.checker.breaches);
  }
}
