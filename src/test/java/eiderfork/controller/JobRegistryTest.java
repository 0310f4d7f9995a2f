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
  private final StoreClient gate = new StoreClient(context);
  private final JobRegistry jobs = new JobRegistry(context, gate, null, null);
  private final MachineRegistry fleet = new MachineRegistry(context, jobs);

  /** A gang of four of which an older leader has written this. */
  private JobState restoredGang(ImmutableList<StoredRecord.Range> finished) {
    JobState entry = jobs.add(TestFixtures.gang(9, 4, 1, 4, true), 1);
    ImmutableList<StoredRecord.Span> reserved =
        ImmutableList.of(
            new StoredRecord.Span(1, 1, 3, "n-1"), new StoredRecord.Span(3, 3, 3, "n-2"));
    jobs.restore(entry, new StoredRecord.Alloc(3, false, reserved, finished), 7, fleet);
    return entry;
  }

  /** They would wait for `peers` or for each other until their own time-outs. */
  @Test
  void aNewLeaderStopsWhatIsLeftOfABrokenGang() {
    JobState entry = restoredGang(ImmutableList.of());
    assertEquals(2, entry.placed.size());
    assertTrue(entry.placed.values().stream().noneMatch(Reservation::wanted));
    assertEquals(0, entry.stopGraceS());
    assertFalse(entry.gang.mayBegin());
  }

  @Test
  void aNewLeaderKnowsThatAllTasksOfAGangAreDoneWhereOneIs() {
    JobState entry = restoredGang(ImmutableList.of(new StoredRecord.Range(0, 0)));
    assertTrue(entry.allFinished());
    assertTrue(entry.dirty, "it is written");
    assertEquals(2, entry.counted(), "until then the others count");
    assertTrue(jobs.mustKeep(entry, 3, 1), "and are not cleared");
  }

  /** A task's end ends the others' reservations at once, not when their machines say so. */
  @Test
  void whereOneTaskOfAGangIsDoneAllAre() {
    MachineState machine = fleet.known("n-1");
    JobState entry = jobs.add(TestFixtures.gang(9, 4, 1, 4, true), 1);
    Reservation first = jobs.propose(entry, 0, 1, machine);
    for (int i = 1; i < 4; i++) {
      jobs.propose(entry, i, 1, machine);
    }
    jobs.release(first, true);
    assertTrue(entry.allFinished());
    assertTrue(entry.placed.isEmpty() && entry.waiting.isEmpty());
  }

  /**
   * A new leader once knew only the images of what runs, and sent replicas to machines that had to
   * fetch first.
   */
  @Test
  void aNewLeaderKnowsWhichImagesMachinesWereGiven() {
    fleet.types(
        ImmutableList.of(
            new MachineType("g4", new Resources(16, 4, 64), 2, 2, 8, 3, 4, ImmutableList.of("a"))));
    MachineState m = fleet.known(new Machine("n-1", "n-1:1", "g4", "a", false));
    for (int i = 1; i <= 3; i++) {
      Job job = TestFixtures.job(i, JobKind.SERVICE, 1, 1, "img-" + i);
      JobState entry = jobs.add(job, i);
      StoredRecord.Alloc alloc =
          new StoredRecord.Alloc(
              1,
              false,
              ImmutableList.of(new StoredRecord.Span(0, 0, 1, "n-1")),
              ImmutableList.of());
      jobs.restore(entry, alloc, 100 - i, fleet);
      jobs.markAborted(job.uid());
    }
    jobs.noteImages(fleet);
    // The cache of this type holds two, and the record of the third job is the oldest.
    assertEquals(List.of("img-2", "img-1"), List.copyOf(m.images.keySet()));
  }

  /** What is counted as jobs change is what a look at every job would count. */
  @Test
  void talliesAgreeWithTheJobsWhateverHappens() {
    Random random = new Random(3);
    List<JobState> entries = new ArrayList<>();
    List<Reservation> placed = new ArrayList<>();
    MachineState machine = fleet.known("n-1");
    for (int step = 0; step < 3000; step++) {
      JobState entry = entries.isEmpty() ? null : entries.get(random.nextInt(entries.size()));
      Reservation p = placed.isEmpty() ? null : placed.get(random.nextInt(placed.size()));
      switch (random.nextInt(11)) {
        case 0 -> {
          JobKind kind = random.nextBoolean() ? JobKind.SERVICE : JobKind.GANG;
          double gpus = random.nextInt(3) * 0.7;
          entries.add(jobs.add(TestFixtures.job(step, kind, 4, gpus), step));
        }
        case 1, 2, 3 -> {
          int index = entry == null ? -1 : entry.waiting.nextSetBit(0);
          if (index >= 0 && (entry.gang == null || entry.gang.mayBegin())) {
            placed.add(jobs.propose(entry, index, step, machine));
          }
        }
        case 4, 5 -> {
          if (p != null) {
            placed.remove(p);
            jobs.release(p, random.nextBoolean());
          }
        }
        case 6 -> {
          if (p != null && p.job.placed.get(p.index) == p && !p.job.aborted) {
            placed.remove(p);
            jobs.withdraw(p);
          }
        }
        case 8 -> {
          if (p != null && p.job.placed.get(p.index) == p) {
            jobs.stop(p);
          }
        }
        case 9 -> {
          if (p != null && p.job.placed.get(p.index) == p && p.job.gang == null) {
            jobs.goOn(p);
          }
        }
        case 7 -> {
          if (entry != null && random.nextInt(4) == 0) {
            jobs.markAborted(entry.job.uid());
          }
        }
        default -> {
          if (entry != null && random.nextInt(10) == 0) {
            jobs.freeze(entry.job.uid());
          } else if (entry != null && random.nextInt(10) == 0) {
            jobs.forget(entry);
            entries.remove(entry);
          } else if (entry != null) {
            entry.uncommitted.clear();
            jobs.changed(entry);
          }
        }
      }
      assertTalliesAgree();
    }
  }

  private void assertTalliesAgree() {
    Resources used = Resources.NONE;
    Resources stopping = Resources.NONE;
    Resources settled = Resources.NONE;
    double cpusOnGpus = 0;
    double gpus = 0;
    List<JobState> withWork = new ArrayList<>();
    for (JobState entry : jobs.active()) {
      Resources need = entry.job.need();
      used = used.plus(need.times(entry.counted()));
      boolean frozen = jobs.isFrozen(entry.job.uid());
      long ending = entry.placed.values().stream().filter(p -> !p.wanted()).count();
      stopping = stopping.plus(need.times(frozen ? entry.job.tasks() : ending));
      settled = settled.plus(need.times(frozen ? 0 : entry.uncommitted.size()));
      if (need.gpus() > 0) {
        cpusOnGpus += need.cpus() * entry.job.tasks();
        gpus += need.gpus() * entry.job.tasks();
      }
      if (!entry.waiting.isEmpty() || entry.dirty) {
        withWork.add(entry);
      }
    }
    Resources tallied = jobs.tally().used("blue");
    assertEquals(used.cpus(), tallied.cpus(), Resources.DUST);
    assertEquals(used.gpus(), tallied.gpus(), Resources.DUST);
    assertEquals(stopping.cpus(), jobs.tally().stopping("blue").cpus(), Resources.DUST);
    assertEquals(settled.cpus(), jobs.tally().settled("blue").cpus(), Resources.DUST);
    double perGpu = gpus > 0 ? cpusOnGpus / gpus : 0;
    assertEquals(perGpu, jobs.tally().balance().cpusPerGpu(), Resources.DUST);
    assertEquals(new HashSet<>(withWork), new HashSet<>(jobs.withWork()));
  }
}
