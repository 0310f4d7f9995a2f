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
  final Job job;

  /** The same object for all jobs of this profile. */
  final PlacementProfile profile;

  /** Jobs of one rank go in the order in which the state service took them. */
  final long order;

  /** Since when this leader knows the job. */
  final long sinceMs;

  /** What the state service holds, and the version it holds it under. */
  StoredRecord.Alloc committed = StoredRecord.Alloc.EMPTY;

  long allocVersion;
  boolean aborted;

  /** A cancellation is on its way; nothing new starts. */
  boolean aborting;

  /** What is in memory differs from what is committed. */
  boolean dirty;

  /** The job still has something to do; changed by {@link JobRegistry} alone. */
  boolean active;

  /** How many of the tasks placed are being stopped; changed by {@link Reservation} alone. */
  int stoppingTasks;

  /** What {@link ResourceUsage} has counted of it: its tasks, and itself. */
  TaskCounts tallied = TaskCounts.NONE;

  boolean talliedActive;

  /** A stored record of the job can't be read. */
  private boolean frozen;

  private boolean provenUnarchived;

  /** A write of the alloc key is under way. */
  boolean writing;

  /**
   * The write under way says that the job is done. It may have been carried out and read by another
   * node already, whatever came back, so until it settles nobody is told the job's state from here.
   */
  boolean ending;

  /** When the last write of the alloc key was handed over. */
  long writtenMs;

  long writeNotBeforeMs;
  final Backoff writeBackoff;

  /** Between writes of a record that is larger than the service takes. */
  final Backoff sizeBackoff;

  /** Until when the job is not written, since its record was too large. */
  private long writesBlockedUntilMs;

  long lastAttempt;
  final Int2ObjectSortedMap<Reservation> placed = new Int2ObjectAVLTreeMap<>();

  /** Settled reservations whose settlement is not committed yet: not to be cleared. */
  final Set<Reservation> uncommitted = new LinkedHashSet<>();

  final BitSet finished = new BitSet();

  /** Room was examined where the image comes in time; once is enough. */
  boolean soughtBetter;

  /** What the tasks of a gang have in common; null for other jobs. */
  final Gang gang;

  /** Tasks neither placed nor finished. */
  final BitSet waiting = new BitSet();

  final FailureHistory failures;

  private final Int2IntOpenHashMap reclaims = new Int2IntOpenHashMap(0);

  private long lastReclaimedMs;

  JobState(
      Job job,
      PlacementProfile profile,
      long order,
      long sinceMs,
      Backoff writeBackoff,
      Backoff sizeBackoff,
      FailureHistory failures) {
    this.job = job;
    this.failures = failures;
    this.profile = profile;
    this.order = order;
    this.sinceMs = sinceMs;
    this.writeBackoff = writeBackoff;
    this.sizeBackoff = sizeBackoff;
    gang = job.kind() == JobKind.GANG ? new Gang(this) : null;
    waiting.set(0, job.tasks());
  }

  /** The first task that may be tried now, or -1; of a suspected job the one that failed least. */
  int firstToTry(long nowMs) {
    int first = nextToTry(-1, nowMs, true);
    if (!failures.isSuspected()) {
      return first;
    }
    int best = first;
    for (int index = first; index >= 0; index = nextToTry(index, nowMs, true)) {
      if (failures.failuresOf(index) < failures.failuresOf(best)) {
        best = index;
      }
    }
    return best;
  }

  /** The task that may be tried after this one, or -1; of a suspected job there is one only. */
  int nextToTry(int after, long nowMs) {
    return nextToTry(after, nowMs, !failures.isSuspected());
  }

  private int nextToTry(int after, long nowMs, boolean more) {
    int index = more ? waiting.nextSetBit(after + 1) : -1;
    while (index >= 0 && !failures.mayRetry(index, nowMs)) {
      index = waiting.nextSetBit(index + 1);
    }
    return index;
  }

  /** Whether something of the job is to be placed or written. */
  boolean hasWork() {
    return !waiting.isEmpty() || dirty;
  }

  boolean over() {
    return aborted || committed.done();
  }

  /**
   * How many tasks the job counts for in its team's quota. A settled reservation counts until its
   * settlement is committed: a leader that takes over before starts it again.
   */
  int counted() {
    // What of a frozen job runs is not known; all of it may.
    return frozen ? job.tasks() : placed.size() + uncommitted.size();
  }

  /** How many of its tasks count for the team, and which of them hold no room for long. */
  TaskCounts counts() {
    if (frozen) {
      // Nothing of it can be relied on.
      return new TaskCounts(job.tasks(), job.tasks(), 0);
    }
    int stopping = aborted ? placed.size() : stoppingTasks;
    return new TaskCounts(counted(), stopping, uncommitted.size());
  }

  /** One of its tasks, or the whole gang, was reclaimed; how often is a hint that may be lost. */
  void noteReclaimed(int index, long nowMs) {
    reclaims.addTo(gang == null ? index : 0, 1);
    lastReclaimedMs = nowMs;
  }

  /** When one of its tasks, or the whole gang, was last reclaimed under this leader. */
  long lastReclaimedMs() {
    return lastReclaimedMs;
  }

  /** How often this task, or the whole gang, was reclaimed under this leader. */
  int timesReclaimed(int index) {
    return reclaims.get(gang == null ? index : 0);
  }

  /** Keeps the job from being written before that time. */
  void blockWrites(long untilMs) {
    writesBlockedUntilMs = untilMs;
  }

  /** Whether a write may begin now. */
  boolean mayWrite(long nowMs) {
    return !writing && !aborted && !aborting && nowMs >= writesBlockedUntilMs;
  }

  /** The state service was asked, or a write has shown, that the job is not archived. */
  void proveUnarchived() {
    provenUnarchived = true;
  }

  /**
   * Whether the job surely is not archived. A submission of an older version that is carried out
   * after the job was archived brings its record back; such a job has no alloc record.
   */
  boolean isKnownUnarchived() {
    return provenUnarchived || allocVersion > 0;
  }

  /** Whether nothing that is still open could change what is known of the job. */
  boolean isArchivable() {
    return over() && placed.isEmpty() && uncommitted.isEmpty() && !writing && !frozen;
  }

  void freeze() {
    frozen = true;
    waiting.clear();
  }

  /** The number that the next attempts get, larger than that of any before. */
  long nextAttempt() {
    return Math.max(lastAttempt, committed.lastAttempt()) + 1;
  }

  /** How long a task that is told to stop may take to save. */
  double stopGraceS() {
    if (aborted) {
      // Nobody wants what a cancelled task saves.
      return 0;
    }
    return gang == null ? job.saveS() : gang.graceS();
  }

  boolean allFinished() {
    return finished.cardinality() == job.tasks();
  }

  JobStatus status() {
    if (aborted) {
      return new JobStatus(job.uid(), JobStatus.Stance.ABORTED, committedDone(committed), 0);
    }
    return status(job, committed, countRunning());
  }

  private int countRunning() {
    int n = 0;
    for (Reservation p : placed.values()) {
      n += isShownRunning(p.seen) ? 1 : 0;
    }
    return n;
  }

  /** A gang does not run before all of its tasks do; a replica that fetches is on its way. */
  private boolean isShownRunning(TaskStatus.State seen) {
    if (seen == null || seen == TaskStatus.State.ENDED) {
      return false;
    }
    return gang == null || seen != TaskStatus.State.FETCHING && seen != TaskStatus.State.GATHERING;
  }

  static JobStatus status(Job job, StoredRecord.Alloc alloc, int running) {
    int done = committedDone(alloc);
    if (alloc.done()) {
      return new JobStatus(job.uid(), JobStatus.Stance.DONE, job.tasks(), 0);
    }
    return new JobStatus(
        job.uid(),
        running > 0 ? JobStatus.Stance.RUNNING : JobStatus.Stance.PENDING,
        done,
        running);
  }

  static int committedDone(StoredRecord.Alloc alloc) {
    int n = 0;
    for (StoredRecord.Range range : alloc.finished()) {
      n += range.to() - range.from() + 1;
    }
    return n;
  }

  /** What the plain form of the alloc record may take, with all that is reserved now. */
  PlainAllocationSize size() {
    PlainAllocationSize size = new PlainAllocationSize(job.tasks(), finishedRanges());
    addPlaced(size);
    return size;
  }

  /** The same for the packed form. */
  PackedAllocationSize packedSize() {
    PackedAllocationSize size = new PackedAllocationSize(job.tasks(), finishedRanges());
    addPlaced(size);
    return size;
  }

  /** The same for the bitmap form. */
  BitmapAllocationSize bitmapSize() {
    BitmapAllocationSize size = new BitmapAllocationSize(job.tasks(), finished);
    for (Reservation p : placed.values()) {
      size.addStanding(p.index, p.attempt, p.machine.name);
    }
    return size;
  }

  private void addPlaced(AllocationSize size) {
    for (Reservation p : placed.values()) {
      size.add(p.index, p.attempt, p.machine.name);
    }
  }

  private int finishedRanges() {
    int ranges = 0;
    for (int from = finished.nextSetBit(0);
        from >= 0;
        from = finished.nextSetBit(finished.nextClearBit(from))) {
      ranges++;
    }
    return ranges;
  }

  /** The alloc record that says what is in memory now. */
  StoredRecord.Alloc toRecord() {
    ImmutableList.Builder<StoredRecord.Span> spans = ImmutableList.builder();
    StoredRecord.Span open = null;
    for (Reservation p : placed.values()) {
      String machine = p.machine.name;
      if (open != null
          && open.to() == p.index - 1
          && open.attempt() == p.attempt
          && open.machine().equals(machine)) {
        open = new StoredRecord.Span(open.from(), p.index, p.attempt, machine);
      } else {
        if (open != null) {
          spans.add(open);
        }
        open = new StoredRecord.Span(p.index, p.index, p.attempt, machine);
      }
    }
    if (open != null) {
      spans.add(open);
    }
    ImmutableList.Builder<StoredRecord.Range> ranges = ImmutableList.builder();
    for (int from = finished.nextSetBit(0); from >= 0; ) {
      int end = finished.nextClearBit(from);
      ranges.add(new StoredRecord.Range(from, end - 1));
      from = finished.nextSetBit(end);
    }
    return new StoredRecord.Alloc(lastAttempt, allFinished(), spans.build(), ranges.build());
  }
}
