package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineKind;
import eiderfork.model.Resources;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Machines that the fleet could do without are emptied, wherever their replicas may go. */
class MachineConsolidationTest {
  /** Long enough for replicas to settle, headroom to fade and a machine to be given back. */
  private static final double LATER_S = 160;

  private final SimulatedCluster cluster = new SimulatedCluster(5);

  /** One ordinary machine with GPUs in each zone, and no others. */
  private void oneMachineInEachZone() {
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

  private void oneMachineHolds(long replicas) {
    assertEquals(2, cluster.cloud.liveHostCount());
    cluster.run(LATER_S);
    assertEquals(1, cluster.cloud.liveHostCount());
    assertEquals(replicas, cluster.checker.totalRunningTasks());
    assertEquals(List.of(), cluster.checker.violations);
  }

  /** Half-empty machines of one zone once stood beside free GPUs of another. */
  @Test
  void unconstrainedReplicasMoveToAnotherZone() {
    oneMachineInEachZone();
    submit(1, 2, new Resources(1, 1, 4));
    Job leaves = submit(2, 2, new Resources(1, 1, 4));
    submit(3, 1, new Resources(1, 1, 4));
    cluster.cancel(leaves.uid());
    cluster.run(3);
    oneMachineHolds(3);
  }

  /** Machines with GPUs that nobody wanted were kept for their processors' sake. */
  @Test
  void gpuMachineIsDrainedThoughItsTasksUseCpusOfOtherGpus() {
    oneMachineInEachZone();
    submit(1, 2, new Resources(4, 1, 4));
    Job leaves = submit(2, 2, new Resources(4, 1, 4));
    submit(3, 1, new Resources(8, 0, 4));
    cluster.cancel(leaves.uid());
    cluster.run(3);
    oneMachineHolds(3);
  }
}
