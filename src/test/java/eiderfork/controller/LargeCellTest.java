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

/** What once was bound to a fixed number, at six thousand machines. */
class LargeCellTest {
  private static final int MACHINES = 6000;
  private static final int PAGE = 500;
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
  void lead() {
    ElectedLeader.elect(context, election);
    context.drainEffects();
    assertTrue(election.isLeaseValid());
    fleet.updateTypes(ImmutableList.of(TYPE));
  }

  private <T extends Effect> List<T> effects(Class<T> kind) {
    return ElectedLeader.drainEffects(context, kind);
  }

  private void answerState(Reply reply) {
    for (Effect.CallStore storeCall : effects(Effect.CallStore.class)) {
      context.completeCall(storeCall.callId(), reply);
    }
  }

  private static String name(int number) {
    return "n-%06d".formatted(number);
  }

  /** The page of the list that begins after a machine. */
  private static Reply page(String after) {
    int first = after.isEmpty() ? 1 : Integer.parseInt(after.substring(2)) + 1;
    ImmutableList.Builder<ListedMachine> entries = ImmutableList.builder();
    for (int i = first; i < first + PAGE && i <= MACHINES; i++) {
      Machine machine = new Machine(name(i), name(i) + ":1", "c8", ZONES.get(i % 3), false);
      entries.add(new ListedMachine(machine, ListedMachine.State.RUNNING, 100));
    }
    return new Reply.Hosts(entries.build(), first + PAGE <= MACHINES);
  }

  /** Twelve pages at once were past the cloud's rate, and a list that failed began anew. */
  @Test
  void aWholeListIsReadWithinTheRateOfCalls() {
    double rps = context.settings.cloudLimits().requestsPerS();
    long beganMs = context.nowMs();
    int calls = 0;
    boolean refusedOne = false;
    while (!cloud.hasCompleteListing()) {
      context.advanceBy(50);
      cloud.tick();
      for (Effect effect : context.drainEffects()) {
        if (effect instanceof Effect.ListMachines it) {
          calls++;
          // The cloud may count others' calls, too.
          boolean refuses = calls == 7 && !refusedOne;
          refusedOne |= refuses;
          context.completeCall(it.callId(), refuses ? new Reply.Refused(429) : page(it.after()));
        } else if (effect instanceof Effect.ListMachineTypes it) {
          calls++;
          context.completeCall(it.callId(), new Reply.Types(ImmutableList.of(TYPE)));
        }
      }
      double seconds = (context.nowMs() - beganMs) / 1000.0;
      assertTrue(calls <= 2 * rps + rps * seconds, calls + " calls in " + seconds + " s");
      assertTrue(seconds < 30, "no list in its time");
    }
    assertEquals(MACHINES, fleet.machines().size());
    assertEquals(MACHINES / PAGE + 2, calls, "the refused page alone was asked for again");
  }

  /** The names of machines that are gone once gathered for as long as a leader led. */
  @Test
  void machinesThatAreLongGoneAreForgotten() {
    for (int i = 0; i < MACHINES; i++) {
      fleet.remove(fleet.getOrRegister(name(i)), "it died");
    }
    fleet.applyMachineList(java.util.Map.of(), context.nowMs());
    assertTrue(fleet.isRemoved(name(1)));
    context.advanceBy(60 * context.workerLeaseMs() + 1);
    fleet.applyMachineList(java.util.Map.of(), context.nowMs());
    assertFalse(fleet.isRemoved(name(1)));
  }

  /** One rent of fifty for a kind and plan took two minutes for six thousand machines. */
  @Test
  void rentsOfAKindThatIsFilledAreAskedForTogether() {
    ScaleOutRequests scaleOut = cloud.scaleOut();
    MachineKind kind = new MachineKind("c8", "a", false);
    assertEquals(1, scaleOut.maxConcurrentRents(kind), "what the cloud has is not known");
    int last = 0;
    for (int i = 0; i < 4; i++) {
      scaleOut.rent(kind, 50);
      context.advanceBy(1000);
      store.sendQueued();
      answerState(new Reply.Committed(10 + i));
      scaleOut.tick();
      List<Effect.RentMachines> asked = effects(Effect.RentMachines.class);
      assertEquals(1, asked.size());
      ImmutableList.Builder<String> names = ImmutableList.builder();
      for (int j = 0; j < 50; j++) {
        names.add(name(++last));
      }
      context.completeCall(asked.get(0).callId(), new Reply.Rented(names.build()));
    }
    assertEquals(
        (int) context.settings.cloudLimits().requestsPerS(),
        scaleOut.maxConcurrentRents(kind),
        "the rate bounds it");
    scaleOut.rent(kind, 50);
    context.advanceBy(1000);
    store.sendQueued();
    answerState(new Reply.Committed(20));
    scaleOut.tick();
    context.completeCall(
        effects(Effect.RentMachines.class).get(0).callId(), new Reply.NoCapacity());
    assertEquals(1, scaleOut.maxConcurrentRents(kind), "it has no more");
  }

  /**
   * Six thousand machines, full but for a tenth: what a round and a plan look at depends on what
   * waits and on where there is room, and a tick at which nothing changes looks at nothing.
   */
  @Test
  void aRoundLooksAtNoFullMachine() {
    SimulatedCluster cluster = clusterOfManyMachines();
    int tasks = 0;
    for (int i = 0; tasks < MACHINES * 9 / 10; i++) {
      Job template =
          TestFixtures.job(i, JobKind.SERVICE, 50, 0, "blue", Priority.HIGH, false, false);
      cluster.submit(TestFixtures.withTaskShape(template, TYPE.capacity(), 0, TYPE.name()));
      tasks += template.tasks();
    }
    cluster.run(18);
    assertEquals(tasks, cluster.checker.totalRunningTasks());
    Controller leader = cluster.controllers.get(cluster.leader());
    Job late = TestFixtures.job(9999, JobKind.SERVICE, 4, 0, "blue", Priority.HIGH, false, false);
    cluster.submit(late);
    int most = 0;
    for (int i = 0; i < 160; i++) {
      cluster.run(0.05);
      most = Math.max(most, leader.roundMachineExaminations());
    }
    assertEquals(4, cluster.checker.runningTasks(late.uid()));
    assertTrue(most < MACHINES / 4, most + " looks at machines for four tasks");
    assertEquals(List.of(), cluster.checker.violations);
  }

  private static SimulatedCluster clusterOfManyMachines() {
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
