package eiderfork.controller.registry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.TestFixtures;
import eiderfork.controller.message.StoreRequest;
import eiderfork.model.AllocationSize;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.StoredRecord;
import eiderfork.wire.StoreCodec;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that a record accepted by its size bound never exceeds the store's value limit, in whatever
 * order its tasks end.
 */
class AllocationSizeTest {
  private static final double VALUE_KB = 4;
  private static final double SMALL_VALUE_KB = 2;

  @ParameterizedTest
  @CsvSource({"1,180,180", "2,180,180", "3,180,180", "4,25,25", "5,2000,150", "6,40000,100"})
  void everyRecordFitsIntoAValue(long seed, int tasks, int minConcurrentTasks) {
    everyRecordFits(
        seed,
        tasks,
        minConcurrentTasks,
        VALUE_KB,
        AllocationRecordBuilder::plainSize,
        allocation -> allocation);
  }

  /** With half of the value limit, the packed form still lets most of the tasks run at once. */
  @ParameterizedTest
  @CsvSource({
    "1,180,140",
    "2,180,140",
    "3,180,140",
    "4,25,25",
    "5,2000,120",
    "6,40000,80",
    "7,100000,80"
  })
  void everyPackedRecordFitsIntoASmallValue(long seed, int tasks, int minConcurrentTasks) {
    everyRecordFits(
        seed,
        tasks,
        minConcurrentTasks,
        SMALL_VALUE_KB,
        AllocationRecordBuilder::packedSize,
        StoredRecord.PackedAllocation::new);
  }

  /**
   * The bitmap form is designed for runs of tasks on one machine; it must also hold many tasks on
   * separate machines.
   */
  @ParameterizedTest
  @CsvSource({"1,180,90", "2,2000,120", "3,20000,120", "4,100000,120"})
  void everyBitmapRecordFitsIntoASmallValue(long seed, int tasks, int minConcurrentTasks) {
    everyRecordFits(
        seed,
        tasks,
        minConcurrentTasks,
        SMALL_VALUE_KB,
        AllocationRecordBuilder::bitmapSize,
        StoredRecord.BitmapAllocation::new);
  }

  private static void everyRecordFits(
      long seed,
      int tasks,
      int minConcurrentTasks,
      double valueKb,
      Function<JobState, AllocationSize> sizeOf,
      Function<StoredRecord.Allocation, StoredRecord> form) {
    Random random = new Random(seed);
    Job job = TestFixtures.job(1, JobKind.ARRAY, tasks, 1);
    JobState state = TestFixtures.jobState(job);
    int maxConcurrentTasks = 0;
    long attempt = 0;
    while (!state.tasks().isAllFinished()) {
      attempt++;
      reserveUntilFull(state, attempt, sizeOf.apply(state), valueKb, random);
      assertFits(state, valueKb, form);
      maxConcurrentTasks = Math.max(maxConcurrentTasks, state.reservations().size());
      List<Reservation> ending = new ArrayList<>(state.reservations().values());
      assertTrue(!ending.isEmpty(), "at least one task can always be reserved");
      Collections.shuffle(ending, random);
      int ends = 1 + random.nextInt(ending.size());
      for (Reservation reservation : ending.subList(0, ends)) {
        state.settle(reservation, random.nextInt(8) != 0);
        if (random.nextInt(1 + ends / 4) == 0) {
          assertFits(state, valueKb, form);
        }
      }
    }
    // When each reservation was counted twice, an array of 180 tasks ran in two waves.
    assertTrue(maxConcurrentTasks >= minConcurrentTasks, maxConcurrentTasks + " concurrent tasks");
  }

  /** Reserves pending tasks in order until one does not fit. */
  private static void reserveUntilFull(
      JobState state, long attempt, AllocationSize size, double valueKb, Random random) {
    for (int index = state.tasks().nextPending(0);
        index >= 0;
        index = state.tasks().nextPending(index + 1)) {
      MachineState machine =
          new MachineState("n-%06d".formatted(random.nextInt(250)), 0, new MachineIndexes(), 0);
      if (!size.fits(index, attempt, machine.name(), valueKb)) {
        return;
      }
      size.add(index, attempt, machine.name());
      state.propose(index, attempt, machine);
    }
  }

  private static void assertFits(
      JobState job, double valueKb, Function<StoredRecord.Allocation, StoredRecord> form) {
    int bytes =
        encodedBytes(StoreRequest.Change.put("k", form.apply(AllocationRecordBuilder.build(job))));
    int overheadBytes = encodedBytes(StoreRequest.Change.remove("k"));
    assertTrue(bytes - overheadBytes <= valueKb * 1024, () -> bytes - overheadBytes + " bytes");
  }

  private static int encodedBytes(StoreRequest.Change change) {
    StoreRequest request =
        new StoreRequest.Transaction(ImmutableList.of(), ImmutableList.of(change));
    return StoreCodec.encodeRequest(request).body().length;
  }
}
