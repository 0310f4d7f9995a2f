package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineKind;
import eiderfork.model.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that machines the fleet does not need are drained, in whatever zone their replicas can be
 * placed.
 */
class MachineConsolidationTest {
  /** Long enough for replicas to settle, headroom to decay and a machine to be returned. */
  private static final double CONSOLIDATION_S = 160;

  private final SimulatedCluster cluster = new SimulatedCluster(5);

  /** Limits the stock to one on-demand machine with GPUs in each zone. */
  private void stockOneMachineInEachZone() {
    cluster.cloud.defaultStock = 0;
    cluster.cloud.stockByKind.put(new MachineKind("g4", "a", false), 1);
    cluster.cloud.stockByKind.put(new MachineKind("g4", "b", false), 1);
  }

  private Job submit(int number, int tasks, Resources demand) {
    Job job =
        TestFixtures.withTaskShape(
            TestFixtures.job(number, JobKind.SERVICE, tasks, 0), demand, 0, "g4");
    cluster.submit(job);
    cluster.run(12);
    return job;
  }

  private void assertConsolidatedToOneMachine(long replicas) {
    assertEquals(2, cluster.cloud.liveHostCount());
    cluster.run(CONSOLIDATION_S);
    assertEquals(1, cluster.cloud.liveHostCount());
    assertEquals(replicas, cluster.checker.totalRunningTasks());
    assertEquals(List.of(), cluster.checker.violations);
  }

  /** Half-empty machines in one zone were once kept although another zone had free GPUs. */
  @Test
  void unconstrainedReplicasMoveToAnotherZone() {
    stockOneMachineInEachZone();
    submit(1, 2, new Resources(1, 1, 4));
    Job cancelledJob = submit(2, 2, new Resources(1, 1, 4));
    submit(3, 1, new Resources(1, 1, 4));
    cluster.cancel(cancelledJob.uid());
    cluster.run(3);
    assertConsolidatedToOneMachine(3);
  }

  /**
   * GPU machines whose GPUs no job needed were once kept for their CPUs, because their tasks were
   * not to use CPUs that free GPUs of other machines need.
   */
  @Test
  void gpuMachineIsDrainedThoughItsTasksUseCpusOfOtherGpus() {
    stockOneMachineInEachZone();
    submit(1, 2, new Resources(4, 1, 4));
    Job cancelledJob = submit(2, 2, new Resources(4, 1, 4));
    submit(3, 1, new Resources(8, 0, 4));
    cluster.cancel(cancelledJob.uid());
    cluster.run(3);
    assertConsolidatedToOneMachine(3);
  }
}
