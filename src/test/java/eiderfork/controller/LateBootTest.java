package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineKind;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Machines that come up late, never, or at once, and lists that tell of them late. */
class LateBootTest {
  /** The boot time of the scripted cloud's machines with GPUs. */
  private static final double BOOT_S = 4;

  private static final long NEVER_MS = 10_000_000;

  private final SimulatedCluster cluster = new SimulatedCluster(17);

  @AfterEach
  void rulesHold() {
    assertEquals(List.of(), cluster.checker.violations);
  }

  private void setBootTime(String zone, long bootMs) {
    for (boolean spot : new boolean[] {false, true}) {
      cluster.cloud.bootMsByKind.put(new MachineKind("g4", zone, spot), bootMs);
    }
  }

  /** Another zone is taken within a bound that follows from the boot time. */
  @ParameterizedTest
  @ValueSource(longs = {20 * 4000, NEVER_MS})
  void replicasDoNotWaitForOverdueBoot(long bootMs) {
    setBootTime("a", bootMs);
    setBootTime("b", 3000);
    Job job = TestFixtures.job(1, JobKind.SERVICE, 4, 4);
    cluster.submit(job);
    // Overdue after two boots, then a plan, a rent, a boot and an image.
    cluster.run(2 + BOOT_S * 2 + 2 + 3 + 3);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    cluster.run(120);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    assertTrue(cluster.cloud.liveHostCount() <= 6, "what came up late is used or returned");
  }

  /** While the first rent of a need is not known to be late, no second one follows. */
  @Test
  void noReplacementIsRentedBeforeBootIsOverdue() {
    setBootTime("a", (long) (BOOT_S * 1.9 * 1000));
    setBootTime("b", (long) (BOOT_S * 1.9 * 1000));
    cluster.submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    cluster.run(4);
    int rented = cluster.cloud.hosts().size();
    cluster.run(BOOT_S * 1.9 - 2);
    assertEquals(rented, cluster.cloud.hosts().size());
  }

  /** All kinds are late for a while: the fleet stays bounded, and work starts when that is over. */
  @Test
  void fleetStaysBoundedWhereAllBootsAreLate() {
    setBootTime("a", (long) (BOOT_S * 20 * 1000));
    setBootTime("b", (long) (BOOT_S * 20 * 1000));
    Job job = TestFixtures.job(1, JobKind.SERVICE, 4, 4);
    cluster.submit(job);
    cluster.run(60);
    assertTrue(
        cluster.cloud.liveHostCount() <= 40, cluster.cloud.liveHostCount() + " machines live");
    setBootTime("a", 3000);
    setBootTime("b", 3000);
    cluster.run(BOOT_S * 4);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    cluster.run(120);
    assertTrue(
        cluster.cloud.liveHostCount() <= 6, cluster.cloud.liveHostCount() + " machines live");
  }

  /** Machines are up at once, long before any list has them; the leader ends meanwhile. */
  @Test
  void earlyBootsSurviveFailover() {
    setBootTime("a", 100);
    setBootTime("b", 100);
    cluster.run(2);
    Job job = TestFixtures.job(1, JobKind.SERVICE, 4, 4);
    cluster.submit(job);
    cluster.schedule(900, () -> cluster.crashNode(cluster.leader(), 2000));
    cluster.run(20);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    cluster.run(100);
    assertTrue(
        cluster.cloud.liveHostCount() <= 6, cluster.cloud.liveHostCount() + " machines live");
  }
}
