package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.model.AllocationSize;
import eiderfork.model.BitmapAllocationSize;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.PackedAllocationSize;
import eiderfork.model.PlainAllocationSize;
import eiderfork.model.StoredRecord;
import eiderfork.model.TaskStatus;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectAVLTreeMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectSortedMap;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.Set;

/** A job as the leader holds it. */
final class JobState {
  final Job spec;

  /** The same object for all jobs of this profile. */
  final PlacementProfile profile;

  /** Jobs of one rank go in the order in which the state service took them. */
  final long specVersion;

  /** Since when this leader knows the job. */
  final long firstSeenMs;

  /** What the state service holds, and the version it holds it under. */
  StoredRecord.Allocation committedAllocation = StoredRecord.Allocation.EMPTY;

  long allocationVersion;
  boolean cancelled;

  /** A cancellation is on its way; nothing new starts. */
  boolean cancelling;

  /** What is in memory differs from what is committed. */
  boolean dirty;

  /** The job still has something to do; changed by {@link JobRegistry} alone. */
  boolean active;

  /** How many of the tasks placed are being stopped; changed by {@link Reservation} alone. */
  int stoppingTasks;

  /** What {@link ResourceUsage} has counted of it: its tasks, and itself. */
  TaskCounts accountedTasks = TaskCounts.NONE;

  boolean accountedActive;

  /** A stored record of the job can't be read. */
  private boolean frozen;

  private boolean confirmedNotArchived;

  /** A write of the alloc key is under way. */
  boolean writeInFlight;

  /**
   * The write under way says that the job is done. It may have been carried out and read by another
   * node already, whatever came back, so until it settles nobody is told the job's state from here.
   */
  boolean completionWriteInFlight;

  /** When the last write of the alloc key was handed over. */
  long lastWriteMs;

  long writeRetryAtMs;
  final Backoff writeBackoff;

  /** Between writes of a record that is larger than the service takes. */
  final Backoff oversizeBackoff;

  /** Until when the job is not written, since its record was too large. */
  private long writesBlockedUntilMs;

  long lastAttempt;
  final Int2ObjectSortedMap<Reservation> reservations = new Int2ObjectAVLTreeMap<>();

  /** Settled reservations whose settlement is not committed yet: not to be cleared. */
  final Set<Reservation> uncommittedSettlements = new LinkedHashSet<>();

  final BitSet finishedTasks = new BitSet();

  /** Room was examined where the image comes in time; once is enough. */
  boolean cachedImageSearched;

  /** What the tasks of a gang have in common; null for other jobs. */
  final Gang gang;

  /** Tasks neither placed nor finished. */
  final BitSet pendingTasks = new BitSet();

  final FailureHistory failureHistory;

  private final Int2IntOpenHashMap reclaimCounts = new Int2IntOpenHashMap(0);

  private long lastReclaimedMs;

  JobState(
      Job spec,
      PlacementProfile profile,
      long specVersion,
      long firstSeenMs,
      Backoff writeBackoff,
      Backoff oversizeBackoff,
      FailureHistory failureHistory) {
    this.spec = spec;
    this.failureHistory = failureHistory;
    this.profile = profile;
    this.specVersion = specVersion;
    this.firstSeenMs = firstSeenMs;
    this.writeBackoff = writeBackoff;
    this.oversizeBackoff = oversizeBackoff;
    gang = spec.kind() == JobKind.GANG ? new Gang(this) : null;
    pendingTasks.set(0, spec.tasks());
  }

  /** The first task that may be tried now, or -1; of a suspected job the one that failed least. */
  int firstSchedulableTask(long nowMs) {
    int first = nextSchedulableTask(-1, nowMs, true);
    if (!failureHistory.isSuspected()) {
      return first;
    }
    int best = first;
    for (int index = first; index >= 0; index = nextSchedulableTask(index, nowMs, true)) {
      if (failureHistory.failureCount(index) < failureHistory.failureCount(best)) {
        best = index;
      }
    }
    return best;
  }

  /** The task that may be tried after this one, or -1; of a suspected job there is one only. */
  int nextSchedulableTask(int after, long nowMs) {
    return nextSchedulableTask(after, nowMs, !failureHistory.isSuspected());
  }

  private int nextSchedulableTask(int after, long nowMs, boolean moreAllowed) {
    int index = moreAllowed ? pendingTasks.nextSetBit(after + 1) : -1;
    while (index >= 0 && !failureHistory.canRetry(index, nowMs)) {
      index = pendingTasks.nextSetBit(index + 1);
    }
    return index;
  }

  /** Whether something of the job is to be placed or written. */
  boolean hasPendingWork() {
    return !pendingTasks.isEmpty() || dirty;
  }

  boolean isTerminal() {
    return cancelled || committedAllocation.done();
  }

  /**
   * How many tasks the job counts for in its team's quota. A settled reservation counts until its
   * settlement is committed: a leader that takes over before starts it again.
   */
  int quotaTaskCount() {
    // What of a frozen job runs is not known; all of it may.
    return frozen ? spec.tasks() : reservations.size() + uncommittedSettlements.size();
  }

  /** How many of its tasks count for the team, and which of them hold no room for long. */
  TaskCounts taskCounts() {
    if (frozen) {
      // Nothing of it can be relied on.
      return new TaskCounts(spec.tasks(), spec.tasks(), 0);
    }
    int stopping = cancelled ? reservations.size() : stoppingTasks;
    return new TaskCounts(quotaTaskCount(), stopping, uncommittedSettlements.size());
  }

  /** One of its tasks, or the whole gang, was reclaimed; how often is a hint that may be lost. */
  void recordReclaim(int index, long nowMs) {
    reclaimCounts.addTo(gang == null ? index : 0, 1);
    lastReclaimedMs = nowMs;
  }

  /** When one of its tasks, or the whole gang, was last reclaimed under this leader. */
  long lastReclaimedMs() {
    return lastReclaimedMs;
  }

  /** How often this task, or the whole gang, was reclaimed under this leader. */
  int reclaimCount(int index) {
    return reclaimCounts.get(gang == null ? index : 0);
  }

  /** Keeps the job from being written before that time. */
  void blockWritesUntil(long untilMs) {
    writesBlockedUntilMs = untilMs;
  }

  /** Whether a write may begin now. */
  boolean canWrite(long nowMs) {
    return !writeInFlight && !cancelled && !cancelling && nowMs >= writesBlockedUntilMs;
  }

  /** The state service was asked, or a write has shown, that the job is not archived. */
  void confirmNotArchived() {
    confirmedNotArchived = true;
  }

  /**
   * Whether the job surely is not archived. A submission of an older version that is carried out
   * after the job was archived brings its record back; such a job has no alloc record.
   */
  boolean isKnownNotArchived() {
    return confirmedNotArchived || allocationVersion > 0;
  }

  /** Whether nothing that is still open could change what is known of the job. */
  boolean isArchivable() {
    return isTerminal()
        && reservations.isEmpty()
        && uncommittedSettlements.isEmpty()
        && !writeInFlight
        && !frozen;
  }

  void freeze() {
    frozen = true;
    pendingTasks.clear();
  }

  /** The number that the next attempts get, larger than that of any before. */
  long nextAttemptNumber() {
    return Math.max(lastAttempt, committedAllocation.lastAttempt()) + 1;
  }

  /** How long a task that is told to stop may take to save. */
  double stopGraceS() {
    if (cancelled) {
      // Nobody wants what a cancelled task saves.
      return 0;
    }
    return gang == null ? spec.saveDurationS() : gang.stopGraceS();
  }

  boolean hasAllTasksFinished() {
    return finishedTasks.cardinality() == spec.tasks();
  }

  JobStatus status() {
    if (cancelled) {
      return JobStatus.cancelled(spec.uid(), committedAllocation.finishedTaskCount());
    }
    return JobStatus.of(spec, committedAllocation, countRunningTasks());
  }

  private int countRunningTasks() {
    int n = 0;
    for (Reservation reservation : reservations.values()) {
      n += isReportedRunning(reservation.reportedState) ? 1 : 0;
    }
    return n;
  }

  /** A gang does not run before all of its tasks do; a replica that fetches is on its way. */
  private boolean isReportedRunning(TaskStatus.State seen) {
    if (seen == null || seen == TaskStatus.State.ENDED) {
      return false;
    }
    return gang == null
        || seen != TaskStatus.State.FETCHING && seen != TaskStatus.State.WAITING_FOR_GANG;
  }

  /** What the plain form of the alloc record may take, with all that is reserved now. */
  PlainAllocationSize plainSize() {
    PlainAllocationSize size = new PlainAllocationSize(spec.tasks(), countFinishedRanges());
    addReservations(size);
    return size;
  }

  /** The same for the packed form. */
  PackedAllocationSize packedSize() {
    PackedAllocationSize size = new PackedAllocationSize(spec.tasks(), countFinishedRanges());
    addReservations(size);
    return size;
  }

  /** The same for the bitmap form. */
  BitmapAllocationSize bitmapSize() {
    BitmapAllocationSize size = new BitmapAllocationSize(spec.tasks(), finishedTasks);
    for (Reservation reservation : reservations.values()) {
      size.addExisting(reservation.taskIndex, reservation.attempt, reservation.machine.name);
    }
    return size;
  }

  private void addReservations(AllocationSize size) {
    for (Reservation reservation : reservations.values()) {
      size.add(reservation.taskIndex, reservation.attempt, reservation.machine.name);
    }
  }

  private int countFinishedRanges() {
    int ranges = 0;
    for (int from = finishedTasks.nextSetBit(0);
        from >= 0;
        from = finishedTasks.nextSetBit(finishedTasks.nextClearBit(from))) {
      ranges++;
    }
    return ranges;
  }

  /** The alloc record that says what is in memory now. */
  StoredRecord.Allocation toAllocation() {
    ImmutableList.Builder<StoredRecord.ReservedRange> spans = ImmutableList.builder();
    StoredRecord.ReservedRange open = null;
    for (Reservation reservation : reservations.values()) {
      String machine = reservation.machine.name;
      if (open != null
          && open.to() == reservation.taskIndex - 1
          && open.attempt() == reservation.attempt
          && open.machine().equals(machine)) {
        open =
            new StoredRecord.ReservedRange(
                open.from(), reservation.taskIndex, reservation.attempt, machine);
      } else {
        if (open != null) {
          spans.add(open);
        }
        open =
            new StoredRecord.ReservedRange(
                reservation.taskIndex, reservation.taskIndex, reservation.attempt, machine);
      }
    }
    if (open != null) {
      spans.add(open);
    }
    ImmutableList.Builder<StoredRecord.TaskRange> ranges = ImmutableList.builder();
    for (int from = finishedTasks.nextSetBit(0); from >= 0; ) {
      int end = finishedTasks.nextClearBit(from);
      ranges.add(new StoredRecord.TaskRange(from, end - 1));
      from = finishedTasks.nextSetBit(end);
    }
    return new StoredRecord.Allocation(
        lastAttempt, hasAllTasksFinished(), spans.build(), ranges.build());
  }
}
