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

/** Tests machines that boot late, never or at once, and machine lists that contain them late. */
class LateBootTest {
  /** The boot time of the fake cloud's machines with GPUs. */
  private static final double BOOT_S = 4;

  private static final long NEVER_MS = 10_000_000;

  private final SimulatedCluster cluster = new SimulatedCluster(17);

  @AfterEach
  void assertNoViolations() {
    assertEquals(List.of(), cluster.checker.violations);
  }

  private void setBootTime(String zone, long bootMs) {
    for (boolean spot : new boolean[] {false, true}) {
      cluster.cloud.bootMsByKind.put(new MachineKind("g4", zone, spot), bootMs);
    }
  }

  /** Replicas start in another zone within a bound that follows from the boot time. */
  @ParameterizedTest
  @ValueSource(longs = {20 * 4000, NEVER_MS})
  void replicasDoNotWaitForOverdueBoot(long bootMs) {
    setBootTime("a", bootMs);
    setBootTime("b", 3000);
    Job job = TestFixtures.job(1, JobKind.SERVICE, 4, 4);
    cluster.submit(job);
    // A boot is overdue after twice the boot time; then come a plan, a rent, a boot and an image.
    cluster.run(2 + BOOT_S * 2 + 2 + 3 + 3);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    cluster.run(120);
    assertEquals(4, cluster.checker.runningTasks(job.uid()));
    assertTrue(
        cluster.cloud.liveHostCount() <= 6,
        "machines that booted late are neither used nor returned");
  }

  /** No second rent follows the first one before that is known to be late. */
  @Test
  void noReplacementIsRentedBeforeBootIsOverdue() {
    setBootTime("a", (long) (BOOT_S * 1.9 * 1000));
    setBootTime("b", (long) (BOOT_S * 1.9 * 1000));
    cluster.submit(TestFixtures.job(1, JobKind.SERVICE, 4, 4));
    cluster.run(4);
    int hostsBefore = cluster.cloud.hosts().size();
    cluster.run(BOOT_S * 1.9 - 2);
    assertEquals(hostsBefore, cluster.cloud.hosts().size());
  }

  /**
   * Machines of all kinds boot late for a while. The fleet must stay bounded, and tasks must start
   * once boots are fast again.
   */
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

  /**
   * Machines boot at once, long before any machine list contains them, and the leader crashes
   * meanwhile.
   */
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
