package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What a leader keeps of jobs beside their state. */
class JobRegistryTest {
  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
  private final StoreClient store = new StoreClient(context);
  private final JobRegistry jobs = new JobRegistry(context, store, null, null);
  private final MachineRegistry fleet = new MachineRegistry(context, jobs);

  /** A gang of four of which an older leader has written this. */
  private JobState restoredGang(ImmutableList<StoredRecord.TaskRange> finished) {
    JobState job = jobs.add(TestFixtures.gang(9, 4, 1, 4, true), 1);
    ImmutableList<StoredRecord.ReservedRange> reserved =
        ImmutableList.of(
            new StoredRecord.ReservedRange(1, 1, 3, "n-1"),
            new StoredRecord.ReservedRange(3, 3, 3, "n-2"));
    jobs.restoreAllocation(
        job, new StoredRecord.Allocation(3, false, reserved, finished), 7, fleet);
    return job;
  }

  /** They would wait for `peers` or for each other until their own time-outs. */
  @Test
  void restoringABrokenGangStopsItsRemainingTasks() {
    JobState job = restoredGang(ImmutableList.of());
    assertEquals(2, job.reservations().size());
    assertTrue(job.reservations().values().stream().noneMatch(Reservation::isDesired));
    assertEquals(0, job.stopGraceS());
    assertFalse(job.gang.canStartAttempt());
  }

  @Test
  void restoringAGangWithAFinishedTaskFinishesAll() {
    JobState job = restoredGang(ImmutableList.of(new StoredRecord.TaskRange(0, 0)));
    assertTrue(job.tasks().isAllFinished());
    assertTrue(job.writes().isDirty(), "it is written");
    assertEquals(2, job.quotaTaskCount(), "until then the others count");
    assertTrue(jobs.mustRetainAttempt(job, 3, 1), "and are not cleared");
  }

  /** A task's end ends the others' reservations at once, not when their machines say so. */
  @Test
  void settlingOneCompletedGangTaskFinishesAll() {
    MachineState machine = fleet.getOrRegister("n-1");
    JobState job = jobs.add(TestFixtures.gang(9, 4, 1, 4, true), 1);
    Reservation first = jobs.propose(job, 0, 1, machine);
    for (int i = 1; i < 4; i++) {
      jobs.propose(job, i, 1, machine);
    }
    jobs.settle(first, true);
    assertTrue(job.tasks().isAllFinished());
    assertTrue(job.reservations().isEmpty() && !job.hasPendingTasks());
  }

  /**
   * A new leader once knew only the images of what runs, and sent replicas to machines that had to
   * fetch first.
   */
  @Test
  void cachedImagesAreRestoredInTheOrderOfTheWrites() {
    fleet.types(
        ImmutableList.of(
            new MachineType("g4", new Resources(16, 4, 64), 2, 2, 8, 3, 4, ImmutableList.of("a"))));
    MachineState machine = fleet.getOrRegister(new Machine("n-1", "n-1:1", "g4", "a", false));
    for (int i = 1; i <= 3; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, 1, 1, "img-" + i);
      JobState entry = jobs.add(job, i);
      StoredRecord.Allocation allocation =
          new StoredRecord.Allocation(
              1,
              false,
              ImmutableList.of(new StoredRecord.ReservedRange(0, 0, 1, "n-1")),
              ImmutableList.of());
      jobs.restoreAllocation(entry, allocation, 100 - i, fleet);
      jobs.markCancelled(job.uid());
    }
    new CachedImageRestorer(fleet).restore(jobs.all());
    // The cache of this type holds two, and the record of the third job is the oldest.
    assertEquals(List.of("img-2", "img-1"), List.copyOf(machine.cachedImagesGb.keySet()));
  }

  /** What is counted as jobs change is what a look at every job would count. */
  @Test
  void resourceUsageMatchesTheJobsAfterRandomTransitions() {
    Random random = new Random(3);
    List<JobState> entries = new ArrayList<>();
    List<Reservation> placed = new ArrayList<>();
    MachineState machine = fleet.getOrRegister("n-1");
    for (int step = 0; step < 3000; step++) {
      JobState job = entries.isEmpty() ? null : entries.get(random.nextInt(entries.size()));
      Reservation reservation = placed.isEmpty() ? null : placed.get(random.nextInt(placed.size()));
      switch (random.nextInt(11)) {
        case 0 -> {
          JobKind kind = random.nextBoolean() ? JobKind.SERVICE : JobKind.GANG;
          double gpus = random.nextInt(3) * 0.7;
          entries.add(jobs.add(TestFixtures.job(step, kind, 4, gpus), step));
        }
        case 1, 2, 3 -> {
          int index = job == null ? -1 : job.tasks().nextPending(0);
          if (index >= 0 && (job.gang == null || job.gang.canStartAttempt())) {
            placed.add(jobs.propose(job, index, step, machine));
          }
        }
        case 4, 5 -> {
          if (reservation != null) {
            placed.remove(reservation);
            jobs.settle(reservation, random.nextBoolean());
          }
        }
        case 6 -> {
          if (reservation != null
              && reservation.job.tasks().holds(reservation)
              && !reservation.job.isCancelled()) {
            placed.remove(reservation);
            jobs.withdrawProposal(reservation);
          }
        }
        case 8 -> {
          if (reservation != null && reservation.job.tasks().holds(reservation)) {
            jobs.requestStop(reservation);
          }
        }
        case 9 -> {
          if (reservation != null
              && reservation.job.tasks().holds(reservation)
              && reservation.job.gang == null) {
            jobs.revokeStop(reservation);
          }
        }
        case 7 -> {
          if (job != null && random.nextInt(4) == 0) {
            jobs.markCancelled(job.spec.uid());
          }
        }
        default -> {
          if (job != null && random.nextInt(10) == 0) {
            jobs.freeze(job.spec.uid());
          } else if (job != null && random.nextInt(10) == 0) {
            jobs.evict(job);
            entries.remove(job);
          } else if (job != null) {
            job.tasks().onSettlementsCommitted(List.copyOf(job.tasks().uncommittedSettlements()));
            jobs.refreshIndexes(job);
          }
        }
      }
      assertUsageMatchesJobs();
    }
  }

  private void assertUsageMatchesJobs() {
    Resources used = Resources.NONE;
    Resources stopping = Resources.NONE;
    Resources settled = Resources.NONE;
    double cpusOnGpus = 0;
    double gpus = 0;
    List<JobState> withWork = new ArrayList<>();
    for (JobState job : jobs.activeJobs()) {
      Resources demand = job.spec.taskResources();
      used = used.plus(demand.times(job.quotaTaskCount()));
      boolean frozen = jobs.isFrozen(job.spec.uid());
      long ending =
          job.reservations().values().stream()
              .filter(reservation -> !reservation.isDesired())
              .count();
      stopping = stopping.plus(demand.times(frozen ? job.spec.tasks() : ending));
      settled =
          settled.plus(demand.times(frozen ? 0 : job.tasks().uncommittedSettlements().size()));
      if (demand.gpus() > 0) {
        cpusOnGpus += demand.cpus() * job.spec.tasks();
        gpus += demand.gpus() * job.spec.tasks();
      }
      if (job.hasPendingTasks() || job.writes().isDirty()) {
        withWork.add(job);
      }
    }
    Resources tallied = jobs.resourceUsage().used("blue");
    assertEquals(used.cpus(), tallied.cpus(), Resources.ROUNDING_TOLERANCE);
    assertEquals(used.gpus(), tallied.gpus(), Resources.ROUNDING_TOLERANCE);
    assertEquals(
        stopping.cpus(),
        jobs.resourceUsage().stopping("blue").cpus(),
        Resources.ROUNDING_TOLERANCE);
    assertEquals(
        settled.cpus(), jobs.resourceUsage().settled("blue").cpus(), Resources.ROUNDING_TOLERANCE);
    double perGpu = gpus > 0 ? cpusOnGpus / gpus : 0;
    assertEquals(
        perGpu, jobs.resourceUsage().cpusPerGpu().cpusPerGpu(), Resources.ROUNDING_TOLERANCE);
    assertEquals(new HashSet<>(withWork), new HashSet<>(jobs.jobsWithWork()));
  }
}
