package eiderfork.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.core.context.Context;
import eiderfork.core.state.StateGate;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Priority;
import eiderfork.model.Report;
import eiderfork.model.Resources;
import eiderfork.model.TaskReport;
import java.util.HashMap;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which arrays are stopped for a service that finds no room. */
class PreemptionTest {
  private final Context context =
      new Context(Samples.settings("roost-0"), new Random(1), 1_000_000);
  private final JobTable jobs = new JobTable(context, new StateGate(context), null, null);
  private final Fleet fleet = new Fleet(context, jobs);
  private int lastJob;

  @BeforeEach
  void typesAreKnown() {
    fleet.types(
        ImmutableList.of(
            new MachineType(
                "g4", new Resources(4, 4, 16), 100, 2, 8, 3, 4, ImmutableList.of("a"))));
  }

  private JobEntry add(JobKind kind, int tasks, Priority priority, String image) {
    lastJob++;
    Job job = Samples.job(lastJob, kind, tasks, 1, "blue", priority, false, false, image, 40);
    return jobs.add(job, lastJob);
  }

  /** A machine that is full of an array's tasks, which have run for this long. */
  private MachineEntry fullMachine(String name, long ranMs) {
    Machine machine = new Machine(name, name + ":1", "g4", "a", false);
    MachineEntry m = fleet.known(machine);
    fleet.reported(m, new Report(machine, 1, 1, 0, null, ImmutableList.of()));
    JobEntry array = add(JobKind.ARRAY, 4, Priority.LOW, "batch-img");
    for (int index = 0; index < 4; index++) {
      Reservation task = jobs.propose(array, index, 1, m);
      task.committed = true;
      task.seen = TaskReport.State.RUNNING;
      task.runningSinceMs = context.nowMs - ranMs;
    }
    return m;
  }

  private int makeRoom(JobEntry service) {
    RoundRoom room =
        new RoundRoom(fleet, machine -> true, machine -> true, new LoanRoom(context, jobs, fleet));
    room.begin(context.nowMs);
    GpuBalance balance = new GpuBalance(1);
    Preemption preemption =
        new Preemption(
            context,
            jobs,
            room,
            new ImageFetch(context, fleet),
            balance,
            new PriorityStops(context, jobs, balance, new Deadlines(context, fleet)),
            1000);
    int wanted = service.waiting.cardinality();
    return preemption.makeRoom(service, wanted, new HashMap<>(), Double.MAX_VALUE);
  }

  private static long stopping(MachineEntry m) {
    return m.placed.stream().filter(Reservation::isStopping).count();
  }

  @Test
  void ofAlikeMachinesTheOneIsTakenWhoseTasksHaveRunForLess() {
    MachineEntry longer = fullMachine("n-1", 30_000);
    MachineEntry shorter = fullMachine("n-2", 10_000);
    assertEquals(1, makeRoom(add(JobKind.SERVICE, 1, Priority.HIGH, "web-img")));
    assertEquals(0, stopping(longer));
    assertEquals(1, stopping(shorter));
  }

  /** A replica that took room where its image had to be fetched once waited 62 s for it. */
  @Test
  void theWaitForAnImageCountsLikeWorkThatIsThrownAway() {
    MachineEntry cached = fullMachine("n-1", 25_000);
    MachineEntry uncached = fullMachine("n-2", 10_000);
    cached.touchImage("web-img", 40, 100);
    // 40 GB take 20 s, more than the 15 s that the other tasks have run for less.
    assertEquals(1, makeRoom(add(JobKind.SERVICE, 1, Priority.HIGH, "web-img")));
    assertEquals(1, stopping(cached));
    assertEquals(0, stopping(uncached));
  }

  @Test
  void arraysOfTheSamePriorityAreLeftAlone() {
    MachineEntry m = fullMachine("n-1", 10_000);
    JobEntry service = add(JobKind.SERVICE, 1, Priority.LOW, "web-img");
    assertEquals(0, makeRoom(service));
    assertEquals(0, stopping(m));
    assertFalse(service.waiting.isEmpty());
    assertTrue(m.placed.stream().allMatch(Reservation::wanted));
  }
}
