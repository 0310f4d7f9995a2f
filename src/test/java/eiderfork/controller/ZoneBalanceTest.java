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

/** Tests that machines are requested evenly in all zones. */
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

  private static List<Job> submitSpreadServices(SimulatedCluster cluster, int count) {
    List<Job> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, 4, 0, "blue", Priority.HIGH, true, false);
      jobs.add(job);
      cluster.submit(job);
    }
    return jobs;
  }

  @Test
  void machinesAreRentedEvenlyInAllZones() {
    SimulatedCluster cluster = clusterOfThreeZones();
    submitSpreadServices(cluster, 30);
    cluster.run(30);
    Map<String, Long> machinesByZone =
        cluster.workers().stream()
            .collect(Collectors.groupingBy(worker -> worker.machine.zone(), Collectors.counting()));
    assertEquals(3, machinesByZone.size(), machinesByZone::toString);
    long most = machinesByZone.values().stream().mapToLong(Long::longValue).max().orElseThrow();
    long least = machinesByZone.values().stream().mapToLong(Long::longValue).min().orElseThrow();
    assertTrue(most - least <= 2, machinesByZone::toString);
  }

  /**
   * When two zones were filled first, services that must be spread found capacity in the third zone
   * for only half of their replicas, which is the most that one zone may hold.
   */
  @Test
  void spreadServicesFillThreeZones() {
    SimulatedCluster cluster = clusterOfThreeZones();
    // The replicas need nine tenths of all CPUs.
    List<Job> jobs = submitSpreadServices(cluster, 65);
    cluster.run(60);
    long missingTasks =
        jobs.stream().mapToLong(job -> job.tasks() - cluster.checker.runningTasks(job.uid())).sum();
    assertEquals(0, missingTasks, "tasks without capacity");
    assertEquals(List.of(), cluster.checker.violations);
  }
}
