package eiderfork.controller.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.TestFixtures;
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
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The indexes of a leader's jobs, and the transitions of reservations. */
class JobRegistryTest {
  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 0);
  private final StoreClient store = new StoreClient(context);
  private final JobRegistry jobs = new JobRegistry(context, store, null, null);
  private final MachineRegistry fleet = new MachineRegistry(context, jobs);

  /**
   * Restores a gang of four tasks, with two reservations and these finished tasks in its committed
   * allocation.
   */
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

  /**
   * Otherwise the tasks would wait for {@code peers} or for each other until their own timeouts.
   */
  @Test
  void restoringAPartlyEndedGangStopsItsRemainingTasks() {
    JobState job = restoredGang(ImmutableList.of());
    assertEquals(2, job.reservations().size());
    assertTrue(job.reservations().values().stream().noneMatch(Reservation::isDesired));
    assertEquals(0, job.stopGraceS());
    assertFalse(job.gang().canStartAttempt());
  }

  @Test
  void restoringAGangWithAFinishedTaskFinishesAll() {
    JobState job = restoredGang(ImmutableList.of(new StoredRecord.TaskRange(0, 0)));
    assertTrue(job.tasks().isAllFinished());
    assertTrue(job.writes().isDirty(), "the completion is still to be written");
    assertEquals(2, job.quotaTaskCount(), "the reserved tasks count until it is committed");
    assertTrue(jobs.mustRetainAttempt(job, 3, 1), "their attempts are not cleared");
  }

  /** The other reservations are settled immediately, before their machines report the end. */
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
   * Guards against a new leader that knows only the images of running tasks and therefore places
   * replicas on machines that have to fetch the image first.
   */
  @Test
  void cachedImagesAreRestoredInTheOrderOfTheWrites() {
    fleet.updateTypes(
        ImmutableList.of(
            new MachineType("g4", new Resources(16, 4, 64), 2, 2, 8, 3, 4, ImmutableList.of("a"))));
    MachineState machine = fleet.getOrRegister(new Machine("n-1", "n-1:1", "g4", "a", false));
    for (int i = 1; i <= 3; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, 1, 1, "img-" + i);
      JobState state = jobs.add(job, i);
      StoredRecord.Allocation allocation =
          new StoredRecord.Allocation(
              1,
              false,
              ImmutableList.of(new StoredRecord.ReservedRange(0, 0, 1, "n-1")),
              ImmutableList.of());
      jobs.restoreAllocation(state, allocation, 100 - i, fleet);
      jobs.markCancelled(job.uid());
    }
    new CachedImageRestorer(fleet).restore(jobs.all());
    // The cache of this type holds two images, and the record of the third job is the oldest.
    assertEquals(List.of("img-2", "img-1"), List.copyOf(machine.images().names()));
  }

  /** The incrementally updated usage equals the sum over all jobs. */
  @Test
  void resourceUsageMatchesTheJobsAfterRandomTransitions() {
    RandomTransitions transitions = new RandomTransitions();
    for (int step = 0; step < 3000; step++) {
      transitions.apply(step);
      assertTeamUsageMatchesJobs();
      assertCpusPerGpuMatchesJobs();
      assertJobsWithWorkMatchJobs();
    }
  }

  /** Applies random transitions of jobs and reservations, of each kind that the registry allows. */
  private final class RandomTransitions {
    private final Random random = new Random(3);
    private final List<JobState> known = new ArrayList<>();
    private final List<Reservation> reserved = new ArrayList<>();
    private final MachineState machine = fleet.getOrRegister("n-1");

    private <T> T pickRandom(List<T> list) {
      return list.isEmpty() ? null : list.get(random.nextInt(list.size()));
    }

    void apply(int step) {
      JobState job = pickRandom(known);
      Reservation reservation = pickRandom(reserved);
      int transition = random.nextInt(11);
      if (transition == 0) {
        addJob(step);
      } else if (transition <= 3) {
        propose(job, step);
      } else if (transition == 7) {
        cancel(job);
      } else if (transition == 10) {
        freezeEvictOrCommit(job);
      } else if (reservation != null) {
        change(reservation, transition);
      }
    }

    private void addJob(int step) {
      JobKind kind = random.nextBoolean() ? JobKind.SERVICE : JobKind.GANG;
      double gpus = random.nextInt(3) * 0.7;
      known.add(jobs.add(TestFixtures.job(step, kind, 4, gpus), step));
    }

    private void propose(JobState job, int step) {
      int index = job == null ? -1 : job.tasks().nextPending(0);
      if (index >= 0 && (job.gang() == null || job.gang().canStartAttempt())) {
        reserved.add(jobs.propose(job, index, step, machine));
      }
    }

    private void cancel(JobState job) {
      if (job != null && random.nextInt(4) == 0) {
        jobs.markCancelled(job.spec().uid());
      }
    }

    private void change(Reservation reservation, int transition) {
      boolean isHeld = reservation.job().tasks().holds(reservation);
      if (transition <= 5) {
        reserved.remove(reservation);
        jobs.settle(reservation, random.nextBoolean());
      } else if (transition == 6 && isHeld && !reservation.job().isCancelled()) {
        reserved.remove(reservation);
        jobs.withdrawProposal(reservation);
      } else if (transition == 8 && isHeld) {
        jobs.requestStop(reservation);
      } else if (transition == 9 && isHeld && reservation.job().gang() == null) {
        jobs.revokeStop(reservation);
      }
    }

    private void freezeEvictOrCommit(JobState job) {
      if (job != null && random.nextInt(10) == 0) {
        jobs.freeze(job.spec().uid());
      } else if (job != null && random.nextInt(10) == 0) {
        jobs.evict(job);
        known.remove(job);
      } else if (job != null) {
        job.tasks().onSettlementsCommitted(List.copyOf(job.tasks().uncommittedSettlements()));
        jobs.refreshIndexes(job);
      }
    }
  }

  private void assertTeamUsageMatchesJobs() {
    Resources used = Resources.NONE;
    Resources stopping = Resources.NONE;
    Resources settled = Resources.NONE;
    for (JobState job : jobs.activeJobs()) {
      Resources demand = job.spec().taskResources();
      boolean frozen = jobs.isFrozen(job.spec().uid());
      long undesired =
          job.reservations().values().stream()
              .filter(reservation -> !reservation.isDesired())
              .count();
      int uncommitted = job.tasks().uncommittedSettlements().size();
      used = used.plus(demand.times(job.quotaTaskCount()));
      stopping = stopping.plus(demand.times(frozen ? job.spec().tasks() : undesired));
      settled = settled.plus(demand.times(frozen ? 0 : uncommitted));
    }
    ResourceUsage usage = jobs.resourceUsage();
    assertAboutEqual(used.cpus(), usage.used("blue").cpus());
    assertAboutEqual(used.gpus(), usage.used("blue").gpus());
    assertAboutEqual(stopping.cpus(), usage.stopping("blue").cpus());
    assertAboutEqual(settled.cpus(), usage.settled("blue").cpus());
  }

  private void assertCpusPerGpuMatchesJobs() {
    double cpus = 0;
    double gpus = 0;
    for (JobState job : jobs.activeJobs()) {
      Resources demand = job.spec().taskResources();
      if (demand.gpus() > 0) {
        cpus += demand.cpus() * job.spec().tasks();
        gpus += demand.gpus() * job.spec().tasks();
      }
    }
    assertAboutEqual(gpus > 0 ? cpus / gpus : 0, jobs.resourceUsage().cpusPerGpu().cpusPerGpu());
  }

  private void assertJobsWithWorkMatchJobs() {
    Set<JobState> withWork = new HashSet<>();
    for (JobState job : jobs.activeJobs()) {
      if (job.hasPendingTasks() || job.writes().isDirty()) {
        withWork.add(job);
      }
    }
    assertEquals(withWork, new HashSet<>(jobs.jobsWithWork()));
  }

  private static void assertAboutEqual(double expected, double actual) {
    assertEquals(expected, actual, Resources.ROUNDING_TOLERANCE);
  }
}
