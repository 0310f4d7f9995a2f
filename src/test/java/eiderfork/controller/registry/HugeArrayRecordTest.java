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
 * An array of 20,000 short tasks on a few machines: its record fits at each moment, in whatever
 * order the tasks end, and lets hundreds of them run at once.
 */
class HugeArrayRecordTest {
  private static final int MACHINES = 4;
  private static final int SLOTS = 256;

  /** Some tasks outlive all others, as on a machine that hangs. */
  private static final int STRAGGLERS = 3;

  @ParameterizedTest
  @CsvSource({"1,4,700", "2,4,700", "3,2,250", "4,8,1000"})
  void fitsInWhateverOrderItsTasksEnd(long seed, double valueKb, int atLeastAtOnce) {
    Random random = new Random(seed);
    Job job = TestFixtures.job(1, JobKind.ARRAY, 20_000, 1);
    JobState state = TestFixtures.jobState(job);
    List<MachineState> machines = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      machines.add(new MachineState("n-%06d".formatted(700 + i), i, new MachineIndexes(), 0));
    }
    int most = 0;
    int waves = 0;
    while (!state.tasks().isAllFinished()) {
      waves++;
      reserve(state, machines, valueKb);
      assertFits(state, valueKb);
      most = Math.max(most, state.reservations().size());
      List<Reservation> ending = new ArrayList<>(state.reservations().values());
      assertTrue(!ending.isEmpty(), "something always goes on");
      Collections.shuffle(ending, random);
      int ends = Math.max(1, ending.size() / 4);
      if (!state.hasPendingTasks()) {
        ends = ending.size();
      }
      for (Reservation reservation : ending.subList(0, ends)) {
        boolean straggles = reservation.taskIndex() % 1000 < STRAGGLERS && state.hasPendingTasks();
        if (!straggles) {
          state.settle(reservation, random.nextInt(50) > 0);
        }
      }
      assertFits(state, valueKb);
    }
    assertTrue(most >= atLeastAtOnce, most + " at once");
    assertTrue(waves < 400, waves + " waves");
  }

  private static void reserve(JobState job, List<MachineState> machines, double valueKb) {
    long attempt = job.nextAttemptNumber();
    AllocationSizeLimit room = sizeLimit(job, valueKb, true);
    for (MachineState machine : machines) {
      int free = SLOTS - machine.reservations().size();
      for (int i = 0; i < free && job.hasPendingTasks(); i++) {
        int index = job.tasks().nextPending(0);
        if (!room.fits(index, attempt, machine.name())) {
          return;
        }
        room.add(index, attempt, machine.name());
        job.propose(index, attempt, machine);
      }
    }
  }

  private static void assertFits(JobState job, double valueKb) {
    StoredRecord.Allocation record = AllocationRecordBuilder.build(job);
    StoreRequest.Change change =
        StoreRequest.Change.put("k", new StoredRecord.BitmapAllocation(record));
    int bytes = bytes(change) - bytes(StoreRequest.Change.remove("k"));
    assertTrue(bytes <= valueKb * 1024, () -> bytes + " bytes");
  }

  private static int bytes(StoreRequest.Change change) {
    StoreRequest request =
        new StoreRequest.Transaction(ImmutableList.of(), ImmutableList.of(change));
    return StoreCodec.encodeRequest(request).body().length;
  }

  /**
   * An attempt is stored as how far it lies behind the newest one. The packed form's bound counted
   * an old one as if it were near the newest, which no day has been seen to bring about.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void attemptsOfStragglersAreCountedByTheirDistance(boolean withBitmaps) {
    Job job = TestFixtures.job(1, JobKind.ARRAY, 400, 1);
    JobState state = TestFixtures.jobState(job);
    double valueKb = 2;
    long newest = 1L << 40;
    int index = 0;
    while (sizeLimit(state, valueKb, withBitmaps).fits(index, 1, name(index))) {
      reserve(state, index, 1);
      index += 2;
      if (sizeLimit(state, valueKb, withBitmaps).fits(index, newest, name(index))) {
        JobState withNewest = copyOf(state);
        reserve(withNewest, index, newest);
        assertFits(withNewest, valueKb);
      }
    }
    assertTrue(state.reservations().size() > 50, state.reservations().size() + " at once");
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
    MachineState machine = new MachineState(name(index), index, new MachineIndexes(), 0);
    job.propose(index, attempt, machine);
  }

  private static String name(int index) {
    return "n-%06d".formatted((index * 7919) % 1_000_000);
  }
}
