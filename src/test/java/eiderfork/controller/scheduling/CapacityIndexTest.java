package eiderfork.controller.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.TestFixtures;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CapacityIndex;
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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests that the index returns every machine with sufficient capacity and drops failed searches
 * that would succeed now.
 */
class CapacityIndexTest {
  private static final ImmutableList<String> ZONES = ImmutableList.of("a", "b");

  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
  private final JobRegistry jobs = new JobRegistry(context, new StoreClient(context), null, null);
  private final MachineRegistry fleet = new MachineRegistry(context, jobs);
  private final BorrowedCapacity borrowedCapacity = new BorrowedCapacity(context, jobs, fleet);
  private final CapacityIndex index = fleet.indexes().capacityIndex();
  private final Random random = new Random(2);
  private int lastJob;

  CapacityIndexTest() {
    fleet.updateTypes(
        ImmutableList.of(
            new MachineType("g8", new Resources(64, 8, 512), 50, 2, 8, 3, 4, ZONES),
            new MachineType("c100", new Resources(100, 0, 256), 50, 2, 8, 3, 4, ZONES)));
  }

  private MachineState machine(String name, String type, String zone, boolean spot) {
    Machine machine = new Machine(name, name + ":1", type, zone, spot);
    MachineState state = fleet.getOrRegister(machine);
    fleet.recordHeartbeat(state, new Heartbeat(machine, 1, 1, 0, null, ImmutableList.of()));
    return state;
  }

  private Job job(Resources demand, boolean spot) {
    Job template =
        TestFixtures.job(++lastJob, JobKind.SERVICE, 1, 0, "blue", Priority.HIGH, false, spot);
    Job sized = TestFixtures.withTaskShape(template, demand, 0, "any");
    return new Job(
        sized.uid(),
        sized.jobClass(),
        sized.team(),
        sized.kind(),
        sized.priority(),
        1,
        demand,
        null,
        null,
        false,
        false,
        spot,
        "img",
        1,
        0,
        0,
        0,
        null);
  }

  private Resources randomDemand() {
    return new Resources(0.5 + random.nextInt(80) / 2.0, random.nextInt(4), random.nextInt(64));
  }

  @Test
  void returnsEveryMachineWithCapacityAfterRandomPlacements() {
    List<MachineState> machines = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      String type = random.nextBoolean() ? "g8" : "c100";
      machines.add(machine("n-" + i, type, ZONES.get(i % 2), random.nextBoolean()));
    }
    List<Reservation> placed = new ArrayList<>();
    for (int step = 0; step < 2000; step++) {
      MachineState machine = machines.get(random.nextInt(machines.size()));
      Job job = job(randomDemand(), true);
      if (random.nextInt(3) > 0 && job.taskResources().fitsIn(machine.freeCapacity())) {
        placed.add(jobs.propose(jobs.add(job, lastJob), 0, 1, machine));
      } else if (!placed.isEmpty()) {
        jobs.settle(placed.remove(random.nextInt(placed.size())), false);
      }
      Job query = job(randomDemand(), random.nextBoolean());
      Set<MachineState> candidates = new HashSet<>();
      index.forEachCandidate(query, Set.of("a"), number -> candidates.add(fleet.get(number)));
      for (MachineState each : machines) {
        boolean fits = query.taskResources().fitsIn(each.freeCapacity());
        boolean allowed = each.zone().equals("a") && (query.spotAllowed() || !each.spec().spot());
        assertTrue(
            !fits || !allowed || candidates.contains(each),
            query.taskResources() + " on " + each.freeCapacity());
        assertTrue(
            allowed || !candidates.contains(each),
            "candidate that the job does not allow: " + each.name());
      }
    }
  }

  @Test
  void removedMachineIsNotACandidate() {
    MachineState machine = machine("n-1", "g8", "a", false);
    assertEquals(1, index.size());
    assertEquals(Set.of("a"), index.zones());
    fleet.remove(machine, "machine failed");
    assertEquals(0, index.size());
    assertEquals(Set.of(), index.zones());
    index.forEachCandidate(
        job(new Resources(1, 0, 1), false),
        ZONES,
        number -> {
          throw new AssertionError("removed machine is a candidate: " + number);
        });
  }

  @Test
  void onlyAnEligibleMachineInvalidatesAFailedSearch() {
    MachineState machine = machine("n-1", "g8", "a", false);
    JobState large = jobs.add(job(new Resources(60, 8, 1), false), 1);
    Reservation task = jobs.propose(large, 0, 1, machine);
    Job waitingJob = job(new Resources(8, 1, 1), false);
    Job oversizedJob = job(new Resources(70, 1, 1), false);
    index.failedSearches().recordFailure(waitingJob, "a");
    index.failedSearches().recordFailure(waitingJob, "b");
    jobs.settle(task, false);
    assertTrue(
        !index.failedSearches().isRuledOut(waitingJob, "a"),
        "the machine in this zone has capacity again");
    assertTrue(
        index.failedSearches().isRuledOut(waitingJob, "b"),
        "no capacity was freed in the other zone");
    index.failedSearches().recordFailure(oversizedJob, "a");
    jobs.settle(jobs.propose(large, 0, 2, machine), false);
    assertTrue(
        index.failedSearches().isRuledOut(oversizedJob, "a"),
        "the task exceeds the capacity of the machine");
  }

  /** Capacity claimed for one job becomes free for others when the claim ends. */
  @Test
  void expiredClaimInvalidatesFailedSearches() {
    MachineState machine = machine("n-1", "g8", "a", false);
    FreeCapacity capacity = new FreeCapacity(fleet, any -> true, any -> true, borrowedCapacity);
    capacity.beginRound(0);
    JobState claimant = jobs.add(job(new Resources(64, 8, 1), false), 1);
    capacity.addClaim(new CapacityClaim(claimant, machine, 1000));
    Job waitingJob = job(new Resources(8, 1, 1), false);
    index.failedSearches().recordFailure(waitingJob, "a");
    capacity.beginRound(500);
    assertEquals(0, capacity.freeOn(machine).gpus());
    assertTrue(index.failedSearches().isRuledOut(waitingJob, "a"));
    capacity.beginRound(1000);
    assertEquals(8, capacity.freeOn(machine).gpus());
    assertTrue(!index.failedSearches().isRuledOut(waitingJob, "a"));
  }

  @Test
  void searchMarksUnusableMachinesWithCapacity() {
    MachineState machine = machine("n-1", "g8", "a", false);
    FreeCapacity capacity = new FreeCapacity(fleet, any -> false, any -> false, borrowedCapacity);
    capacity.beginRound(0);
    JobState job = jobs.add(job(new Resources(8, 1, 1), false), 1);
    ImageFetchEstimator imageFetch = new ImageFetchEstimator(context, fleet);
    DeadlineEstimator deadlines = new DeadlineEstimator(context, fleet);
    MachineScorer scorer = new MachineScorer(context, imageFetch, CpusPerGpu.NONE, deadlines, job);
    MachineSearch search =
        new MachineSearch(
            capacity, scorer, random, 1000, job, new HashMap<>(), true, SearchConstraints.NONE);
    assertEquals(null, search.bestMachine());
    assertTrue(machine.isSkippedBySearch());
    assertTrue(index.failedSearches().isRuledOut(job.spec(), "a"));
  }
}
