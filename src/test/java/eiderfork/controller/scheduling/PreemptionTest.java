package eiderfork.controller.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.TestFixtures;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.registry.Reservation;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Heartbeat;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import java.util.HashMap;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the choice of array tasks to preempt for a service that finds no free capacity. */
class PreemptionTest {
  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 1_000_000);
  private final JobRegistry jobs = new JobRegistry(context, new StoreClient(context), null, null);
  private final MachineRegistry fleet = new MachineRegistry(context, jobs);
  private int lastJob;

  @BeforeEach
  void publishMachineTypes() {
    fleet.updateTypes(
        ImmutableList.of(
            new MachineType(
                "g4", new Resources(4, 4, 16), 100, 2, 8, 3, 4, ImmutableList.of("a"))));
  }

  private JobState add(JobKind kind, int tasks, Priority priority, String image) {
    lastJob++;
    Job job = TestFixtures.job(lastJob, kind, tasks, 1, "blue", priority, false, false, image, 40);
    return jobs.add(job, lastJob);
  }

  /** Registers a machine filled with array tasks that have run for this long. */
  private MachineState fullMachine(String name, long ranMs) {
    Machine machine = new Machine(name, name + ":1", "g4", "a", false);
    MachineState state = fleet.getOrRegister(machine);
    fleet.recordHeartbeat(state, new Heartbeat(machine, 1, 1, 0, null, ImmutableList.of()));
    JobState array = add(JobKind.ARRAY, 4, Priority.LOW, "batch-img");
    for (int index = 0; index < 4; index++) {
      Reservation task = jobs.propose(array, index, 1, state);
      task.onCommitted();
      task.onStateReported(TaskStatus.State.RUNNING);
      task.onRunningReported(context.nowMs() - ranMs);
    }
    return state;
  }

  private int preemptFor(JobState service) {
    FreeCapacity capacity =
        new FreeCapacity(
            fleet, machine -> true, machine -> true, new BorrowedCapacity(context, jobs, fleet));
    capacity.beginRound(context.nowMs());
    CpusPerGpu cpusPerGpu = new CpusPerGpu(1);
    PreemptionPlanner preemption =
        new PreemptionPlanner(
            context,
            jobs,
            capacity,
            new ImageFetchEstimator(context, fleet),
            cpusPerGpu,
            new PriorityPreemptionPolicy(
                jobs,
                new PreemptionCosts(context, cpusPerGpu, new DeadlineEstimator(context, fleet))),
            1000);
    int wantedTasks = service.pendingTaskCount();
    return preemption.preempt(
        service, wantedTasks, new HashMap<>(), PreemptionRequest.ANY_IMAGE_WAIT_S);
  }

  private static long countStopping(MachineState machine) {
    return machine.reservations().stream().filter(Reservation::isStopping).count();
  }

  @Test
  void choosesTheMachineWithTheLeastLostWork() {
    MachineState longRunning = fullMachine("n-1", 30_000);
    MachineState shortRunning = fullMachine("n-2", 10_000);
    assertEquals(1, preemptFor(add(JobKind.SERVICE, 1, Priority.HIGH, "web-img")));
    assertEquals(0, countStopping(longRunning));
    assertEquals(1, countStopping(shortRunning));
  }

  /**
   * Without the image wait in the cost, a replica preempted tasks on a machine that was still
   * fetching other images and waited 62 s for its own.
   */
  @Test
  void imageWaitCountsAsLostWork() {
    MachineState cached = fullMachine("n-1", 25_000);
    MachineState uncached = fullMachine("n-2", 10_000);
    cached.images().recordUse("web-img", 40, 100);
    // Fetching 40 GB takes 20 s, more than the 15 s by which the run times of the tasks differ.
    assertEquals(1, preemptFor(add(JobKind.SERVICE, 1, Priority.HIGH, "web-img")));
    assertEquals(1, countStopping(cached));
    assertEquals(0, countStopping(uncached));
  }

  @Test
  void arraysOfTheSamePriorityAreNotPreempted() {
    MachineState machine = fullMachine("n-1", 10_000);
    JobState service = add(JobKind.SERVICE, 1, Priority.LOW, "web-img");
    assertEquals(0, preemptFor(service));
    assertEquals(0, countStopping(machine));
    assertTrue(service.hasPendingTasks());
    assertTrue(machine.reservations().stream().allMatch(Reservation::isDesired));
  }
}
