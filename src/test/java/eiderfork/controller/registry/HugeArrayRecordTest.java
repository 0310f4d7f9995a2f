package eiderfork.controller.registry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.TestFixtures;
import eiderfork.controller.message.StoreRequest;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.StoredRecord;
import eiderfork.wire.StoreCodec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the record size of an array of 20,000 short tasks on a few machines: it fits the value
 * limit at all times, in whatever order the tasks end, while hundreds of tasks run at once.
 */
class HugeArrayRecordTest {
  private static final int MACHINES = 4;
  private static final int SLOTS_PER_MACHINE = 256;

  /** The number of tasks per thousand that outlive all others, as on a machine that hangs. */
  private static final int STRAGGLERS_PER_THOUSAND = 3;

  @ParameterizedTest
  @CsvSource({"1,4,700", "2,4,700", "3,2,250", "4,8,1000"})
  void fitsInWhateverOrderItsTasksEnd(long seed, double valueKb, int minConcurrentTasks) {
    Random random = new Random(seed);
    Job job = TestFixtures.job(1, JobKind.ARRAY, 20_000, 1);
    JobState state = TestFixtures.jobState(job);
    List<MachineState> machines = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      machines.add(new MachineState("n-%06d".formatted(700 + i), i, new MachineIndexes(), 0));
    }
    int maxConcurrentTasks = 0;
    int waves = 0;
    while (!state.tasks().isAllFinished()) {
      waves++;
      reserve(state, machines, valueKb);
      assertFits(state, valueKb);
      maxConcurrentTasks = Math.max(maxConcurrentTasks, state.reservations().size());
      List<Reservation> ending = new ArrayList<>(state.reservations().values());
      assertTrue(!ending.isEmpty(), "at least one task can always be reserved");
      Collections.shuffle(ending, random);
      int ends = Math.max(1, ending.size() / 4);
      if (!state.hasPendingTasks()) {
        ends = ending.size();
      }
      for (Reservation reservation : ending.subList(0, ends)) {
        boolean isStraggler =
            reservation.taskIndex() % 1000 < STRAGGLERS_PER_THOUSAND && state.hasPendingTasks();
        if (!isStraggler) {
          state.settle(reservation, random.nextInt(50) > 0);
        }
      }
      assertFits(state, valueKb);
    }
    assertTrue(maxConcurrentTasks >= minConcurrentTasks, maxConcurrentTasks + " concurrent tasks");
    assertTrue(waves < 400, waves + " waves");
  }

  private static void reserve(JobState job, List<MachineState> machines, double valueKb) {
    long attempt = job.nextAttemptNumber();
    AllocationSizeLimit limit = sizeLimit(job, valueKb, true);
    for (MachineState machine : machines) {
      int freeSlots = SLOTS_PER_MACHINE - machine.reservations().size();
      for (int i = 0; i < freeSlots && job.hasPendingTasks(); i++) {
        int index = job.tasks().nextPending(0);
        if (!limit.fits(index, attempt, machine.name())) {
          return;
        }
        limit.add(index, attempt, machine.name());
        job.propose(index, attempt, machine);
      }
    }
  }

  private static void assertFits(JobState job, double valueKb) {
    StoredRecord.Allocation record = AllocationRecordBuilder.build(job);
    StoreRequest.Change change =
        StoreRequest.Change.put("k", new StoredRecord.BitmapAllocation(record));
    int bytes = encodedBytes(change) - encodedBytes(StoreRequest.Change.remove("k"));
    assertTrue(bytes <= valueKb * 1024, () -> bytes + " bytes");
  }

  private static int encodedBytes(StoreRequest.Change change) {
    StoreRequest request =
        new StoreRequest.Transaction(ImmutableList.of(), ImmutableList.of(change));
    return StoreCodec.encodeRequest(request).body().length;
  }

  /**
   * An attempt number is stored as its distance to the newest one. The packed form's size bound
   * once counted an old attempt as if it were close to the newest and so was too small. No run of a
   * whole day is known to have triggered this.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void attemptsOfStragglersAreCountedByTheirDistance(boolean withBitmaps) {
    Job job = TestFixtures.job(1, JobKind.ARRAY, 400, 1);
    JobState state = TestFixtures.jobState(job);
    double valueKb = 2;
    long newest = 1L << 40;
    int index = 0;
    while (sizeLimit(state, valueKb, withBitmaps).fits(index, 1, machineName(index))) {
      reserve(state, index, 1);
      index += 2;
      if (sizeLimit(state, valueKb, withBitmaps).fits(index, newest, machineName(index))) {
        JobState withNewest = copyOf(state);
        reserve(withNewest, index, newest);
        assertFits(withNewest, valueKb);
      }
    }
    assertTrue(state.reservations().size() > 50, state.reservations().size() + " reserved tasks");
  }

  private static JobState copyOf(JobState job) {
    JobState copy = TestFixtures.jobState(job.spec());
    for (Reservation reservation : job.reservations().values()) {
      reserve(copy, reservation.taskIndex(), reservation.attempt());
    }
    return copy;
  }

  private static AllocationSizeLimit sizeLimit(JobState job, double valueKb, boolean withBitmaps) {
    return new AllocationSizeLimit(job, Double.POSITIVE_INFINITY, valueKb, withBitmaps);
  }

  private static void reserve(JobState job, int index, long attempt) {
    MachineState machine = new MachineState(machineName(index), index, new MachineIndexes(), 0);
    job.propose(index, attempt, machine);
  }

  private static String machineName(int index) {
    return "n-%06d".formatted((index * 7919) % 1_000_000);
  }
}
