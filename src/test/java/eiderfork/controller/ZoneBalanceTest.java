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
    SimulatedCluster cluster = new SimulatedCluster(11);
    cluster.cloud.types =
        ImmutableList.of(new MachineType("c8", new Resources(8, 0, 64), 50, 2, 1, 0.4, 3, ZONES));
    cluster.cloud.defaultStock = MACHINES_PER_ZONE;
    cluster.run(3);
    return cluster;
  }

  private static List<Job> submitSpread(SimulatedCluster cluster, int jobs) {
    List<Job> all = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, 4, 0, "blue", Priority.HIGH, true, false);
      all.add(job);
      cluster.submit(job);
    }
    return all;
  }

  @Test
  void machinesAreRentedEvenlyInAllZones() {
    SimulatedCluster cluster = clusterOfThreeZones();
    submitSpread(cluster, 30);
    cluster.run(30);
    Map<String, Long> byZone =
        cluster.workers().stream()
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
    SimulatedCluster cluster = clusterOfThreeZones();
    // Nine of ten processors.
    List<Job> jobs = submitSpread(cluster, 65);
    cluster.run(60);
    long missing =
        jobs.stream().mapToLong(job -> job.tasks() - cluster.checker.runningTasks(job.uid())).sum();
    assertEquals(0, missing, "tasks without capacity");
    assertEquals(List.of(), cluster.checker.violations);
  }
}
