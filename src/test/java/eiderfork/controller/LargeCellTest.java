package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.config.Settings;
import eiderfork.controller.autoscaling.CloudProvisioner;
import eiderfork.controller.autoscaling.ScaleOutRequests;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.ListedMachine;
import eiderfork.model.Machine;
import eiderfork.model.MachineKind;
import eiderfork.model.MachineType;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests operations that were once bounded by fixed numbers, on a cell of six thousand machines. */
class LargeCellTest {
  private static final int MACHINES = 6000;
  private static final int PAGE_SIZE = 500;
  private static final ImmutableList<String> ZONES = ImmutableList.of("a", "b", "c");
  private static final MachineType TYPE =
      new MachineType("c8", new Resources(8, 0, 64), 50, 2, 1, 0.4, 3, ZONES);

  private final ControllerContext context =
      new ControllerContext(TestFixtures.longLeaseSettings(), new Random(1), 1_000_000);
  private final StoreClient store = new StoreClient(context);
  private final LeaderElection election =
      new LeaderElection(context, store, ElectedLeader.NO_LISTENER);
  private final JobRegistry jobs = new JobRegistry(context, store, election, null);
  private final MachineRegistry fleet = new MachineRegistry(context, jobs);
  private final CloudProvisioner cloud = new CloudProvisioner(context, election, store, fleet);

  @BeforeEach
  void electLeader() {
    ElectedLeader.elect(context, election);
    context.drainEffects();
    assertTrue(election.isLeaseValid());
    fleet.updateTypes(ImmutableList.of(TYPE));
  }

  private <T extends Effect> List<T> drainEffects(Class<T> type) {
    return ElectedLeader.drainEffects(context, type);
  }

  private void replyToStoreCalls(Reply reply) {
    for (Effect.CallStore storeCall : drainEffects(Effect.CallStore.class)) {
      context.completeCall(storeCall.callId(), reply);
    }
  }

  private static String machineName(int number) {
    return "n-%06d".formatted(number);
  }

  /** Returns the page of the machine list that begins after a machine. */
  private static Reply listPage(String afterName) {
    int first = afterName.isEmpty() ? 1 : Integer.parseInt(afterName.substring(2)) + 1;
    ImmutableList.Builder<ListedMachine> entries = ImmutableList.builder();
    for (int i = first; i < first + PAGE_SIZE && i <= MACHINES; i++) {
      Machine machine =
          new Machine(machineName(i), machineName(i) + ":1", "c8", ZONES.get(i % 3), false);
      entries.add(new ListedMachine(machine, ListedMachine.State.RUNNING, 100));
    }
    return new Reply.Hosts(entries.build(), first + PAGE_SIZE <= MACHINES);
  }

  /**
   * Reading all twelve pages at once exceeded the cloud's rate limit, and a list with a refused
   * page was read again from the start.
   */
  @Test
  void wholeListIsReadWithinTheRateLimit() {
    double rps = context.settings.cloudLimits().requestsPerS();
    long startMs = context.nowMs();
    int calls = 0;
    boolean hasRefused = false;
    while (!cloud.hasCompleteListing()) {
      context.advanceBy(50);
      cloud.tick();
      for (Effect effect : context.drainEffects()) {
        if (effect instanceof Effect.ListMachines list) {
          calls++;
          // Other clients' calls may count towards the cloud's limit, too.
          boolean refuses = calls == 7 && !hasRefused;
          hasRefused |= refuses;
          context.completeCall(
              list.callId(), refuses ? new Reply.Refused(429) : listPage(list.after()));
        } else if (effect instanceof Effect.ListMachineTypes listTypes) {
          calls++;
          context.completeCall(listTypes.callId(), new Reply.Types(ImmutableList.of(TYPE)));
        }
      }
      double seconds = (context.nowMs() - startMs) / 1000.0;
      assertTrue(calls <= 2 * rps + rps * seconds, calls + " calls in " + seconds + " s");
      assertTrue(seconds < 30, "the list took 30 s or longer");
    }
    assertEquals(MACHINES, fleet.machines().size());
    assertEquals(
        MACHINES / PAGE_SIZE + 2,
        calls,
        "one call for each page, the machine types and the refused page");
  }

  /** The names of removed machines once accumulated for as long as a leader led. */
  @Test
  void namesOfMachinesRemovedLongAgoAreDropped() {
    for (int i = 0; i < MACHINES; i++) {
      fleet.remove(fleet.getOrRegister(machineName(i)), "it died");
    }
    fleet.applyMachineList(java.util.Map.of(), context.nowMs());
    assertTrue(fleet.isRemoved(machineName(1)));
    context.advanceBy(60 * context.workerLeaseMs() + 1);
    fleet.applyMachineList(java.util.Map.of(), context.nowMs());
    assertFalse(fleet.isRemoved(machineName(1)));
  }

  /**
   * With one rent of fifty machines for each kind and plan, renting six thousand machines took two
   * minutes.
   */
  @Test
  void rentsOfAKindThatIsFilledRunConcurrently() {
    ScaleOutRequests scaleOut = cloud.scaleOut();
    MachineKind kind = new MachineKind("c8", "a", false);
    assertEquals(
        1, scaleOut.maxConcurrentRents(kind), "concurrent rents while the stock is unknown");
    int lastNumber = 0;
    for (int i = 0; i < 4; i++) {
      scaleOut.rent(kind, 50);
      context.advanceBy(1000);
      store.sendQueued();
      replyToStoreCalls(new Reply.Committed(10 + i));
      scaleOut.tick();
      List<Effect.RentMachines> rents = drainEffects(Effect.RentMachines.class);
      assertEquals(1, rents.size());
      ImmutableList.Builder<String> names = ImmutableList.builder();
      for (int j = 0; j < 50; j++) {
        names.add(machineName(++lastNumber));
      }
      context.completeCall(rents.get(0).callId(), new Reply.Rented(names.build()));
    }
    assertEquals(
        (int) context.settings.cloudLimits().requestsPerS(),
        scaleOut.maxConcurrentRents(kind),
        "concurrent rents at the rate limit");
    scaleOut.rent(kind, 50);
    context.advanceBy(1000);
    store.sendQueued();
    replyToStoreCalls(new Reply.Committed(20));
    scaleOut.tick();
    context.completeCall(
        drainEffects(Effect.RentMachines.class).get(0).callId(), new Reply.NoCapacity());
    assertEquals(
        1, scaleOut.maxConcurrentRents(kind), "concurrent rents after the kind was out of stock");
  }

  /**
   * Runs a cell of six thousand machines, nine tenths of them full. The number of machines that a
   * round and a plan examine must depend on the pending tasks and on the machines with free
   * capacity, not on the size of the cell, and a tick without changes must examine none.
   */
  @Test
  void roundsExamineNoFullMachines() {
    SimulatedCluster cluster = newLargeCluster();
    int taskCount = 0;
    for (int i = 0; taskCount < MACHINES * 9 / 10; i++) {
      Job template =
          TestFixtures.job(i, JobKind.SERVICE, 50, 0, "blue", Priority.HIGH, false, false);
      cluster.submit(TestFixtures.withTaskShape(template, TYPE.capacity(), 0, TYPE.name()));
      taskCount += template.tasks();
    }
    cluster.run(18);
    assertEquals(taskCount, cluster.checker.totalRunningTasks());
    Controller leader = cluster.controllers.get(cluster.leader());
    Job lateJob =
        TestFixtures.job(9999, JobKind.SERVICE, 4, 0, "blue", Priority.HIGH, false, false);
    cluster.submit(lateJob);
    int maxExamined = 0;
    for (int i = 0; i < 160; i++) {
      cluster.run(0.05);
      maxExamined = Math.max(maxExamined, leader.roundMachineExaminations());
    }
    assertEquals(4, cluster.checker.runningTasks(lateJob.uid()));
    assertTrue(maxExamined < MACHINES / 4, maxExamined + " machines examined for four tasks");
    assertEquals(List.of(), cluster.checker.violations);
  }

  private static SimulatedCluster newLargeCluster() {
    Settings.StoreLimits limits = new Settings.StoreLimits(4000, 400, 8, 16);
    Settings settings =
        TestFixtures.settings("roost-0", TestFixtures.LONG_LEASES, limits, 1, 8000, 3);
    SimulatedCluster cluster = new SimulatedCluster(3, TestFixtures.withCloudRate(settings, 40));
    cluster.cloud.types = ImmutableList.of(TYPE);
    cluster.cloud.defaultStock = MACHINES / 3;
    cluster.cloud.bootMs = 2000;
    cluster.run(3);
    return cluster;
  }
}
