package eiderfork.controller.registry;

import eiderfork.controller.ratelimit.Backoff;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import it.unimi.dsi.fastutil.ints.Int2ObjectSortedMap;

/**
 * A job as the leader holds it. {@link JobRegistry} changes it and keeps its indexes up to date;
 * what is committed is in {@link AllocationWriteState}, the tasks are in {@link JobTasks}.
 */
public final class JobState {
  private final Job spec;

  private final PlacementProfile profile;

  private final long specVersion;

  private final long firstSeenMs;

  private final Gang gang;

  private final FailureHistory failureHistory;

  private final JobTasks tasks;
  private final AllocationWriteState writes;
  private final SchedulableTasks schedulableTasks;
  private final ReclaimHistory reclaims;
  private long lastAttempt;
  private boolean cancelled;
  private boolean cancelling;
  private boolean active;
  private boolean frozen;
  private boolean confirmedNotArchived;
  private boolean cachedImageSearched;
  private TaskCounts accountedTasks = TaskCounts.NONE;
  private boolean accountedActive;

  /** Makes the state of a job of which all tasks are pending. */
  public JobState(
      Job spec,
      PlacementProfile profile,
      long specVersion,
      long firstSeenMs,
      Backoff writeBackoff,
      Backoff oversizeBackoff,
      FailureHistory failureHistory) {
    this.spec = spec;
    this.profile = profile;
    this.specVersion = specVersion;
    this.firstSeenMs = firstSeenMs;
    this.failureHistory = failureHistory;
    boolean isGang = spec.kind() == JobKind.GANG;
    gang = isGang ? new Gang(this) : null;
    tasks = new JobTasks(spec.tasks());
    writes = new AllocationWriteState(writeBackoff, oversizeBackoff);
    schedulableTasks = new SchedulableTasks(tasks, failureHistory);
    reclaims = new ReclaimHistory(isGang);
  }

  /** The job as its user submitted it. */
  public Job spec() {
    return spec;
  }

  /** The placement profile; one object for all jobs with an equal one. */
  public PlacementProfile profile() {
    return profile;
  }

  /** The version of the job's key; jobs of equal rank are served in this order. */
  public long specVersion() {
    return specVersion;
  }

  /** Since when this leader knows the job. */
  public long firstSeenMs() {
    return firstSeenMs;
  }

  /** What the tasks of a gang have in common; null for other jobs. */
  public Gang gang() {
    return gang;
  }

  /** How the job's tasks have failed. */
  public FailureHistory failureHistory() {
    return failureHistory;
  }

  /** Which tasks are pending, reserved or finished. */
  public JobTasks tasks() {
    return tasks;
  }

  /** What is committed of the job, and how the write of its newer state stands. */
  public AllocationWriteState writes() {
    return writes;
  }

  /** How often its tasks were reclaimed for other teams. */
  public ReclaimHistory reclaims() {
    return reclaims;
  }

  /** The reservations by task index, in ascending order; a read-only view. */
  public Int2ObjectSortedMap<Reservation> reservations() {
    return tasks.reservations();
  }

  /** How many tasks are neither reserved nor finished. */
  public int pendingTaskCount() {
    return tasks.pendingCount();
  }

  /** Whether any task is neither reserved nor finished. */
  public boolean hasPendingTasks() {
    return tasks.hasPending();
  }

  /** The first task that may be tried now, or -1. */
  public int firstSchedulableTask(long nowMs) {
    return schedulableTasks.first(nowMs);
  }

  /** The task that may be tried after this one, or -1. */
  public int nextSchedulableTask(int after, long nowMs) {
    return schedulableTasks.next(after, nowMs);
  }

  /** Whether something of the job is to be scheduled or written. */
  boolean hasPendingWork() {
    return tasks.hasPending() || writes.isDirty();
  }

  /** The largest attempt number that was ever reserved; 0 for none. */
  public long lastAttempt() {
    return lastAttempt;
  }

  /** The number that the next attempts get, larger than that of any before. */
  public long nextAttemptNumber() {
    return Math.max(lastAttempt, writes.committed().lastAttempt()) + 1;
  }

  /** Whether the job is done or cancelled. */
  public boolean isTerminal() {
    return cancelled || writes.committed().done();
  }

  /** Whether a cancellation of the job is committed. */
  public boolean isCancelled() {
    return cancelled;
  }

  /** Whether a cancellation is being written; nothing new starts meanwhile. */
  public boolean isCancelling() {
    return cancelling;
  }

  /** A cancellation is about to be written. */
  public void onCancellationBegun() {
    cancelling = true;
  }

  /** The cancellation was not written, or that is not known. */
  public void onCancellationFailed() {
    cancelling = false;
  }

  /** A cancellation is committed. */
  void onCancelled() {
    cancelled = true;
    tasks.cancel(writes.isInFlight());
  }

  /** Whether the job still has something to do, or something reserved. */
  boolean isActive() {
    return active;
  }

  /** The job has something to do; called by {@link JobRegistry} alone. */
  void activate() {
    active = true;
  }

  /** The job has nothing to do any more; called by {@link JobRegistry} alone. */
  void deactivate() {
    active = false;
  }

  /** A stored record of the job can't be read: nothing of it starts. */
  public void freeze() {
    frozen = true;
    tasks.clearPending();
  }

  /** A read or a conditional write has shown that the job is not archived. */
  public void confirmNotArchived() {
    confirmedNotArchived = true;
  }

  /**
   * Whether the job surely is not archived. A submission of an older version that is applied after
   * the job was archived brings its record back; such a job has no allocation.
   */
  public boolean isKnownNotArchived() {
    return confirmedNotArchived || writes.version() > 0;
  }

  /** Whether nothing that is still open could change what is known of the job. */
  public boolean isArchivable() {
    return isTerminal()
        && tasks.reservations().isEmpty()
        && tasks.uncommittedSettlements().isEmpty()
        && !writes.isInFlight()
        && !frozen;
  }

  /** Whether a write of its allocation may begin now. */
  public boolean canWrite(long nowMs) {
    return writes.canBegin(nowMs) && !cancelled && !cancelling;
  }

  /** Whether machines that have the job's image were searched before others; once is enough. */
  public boolean isCachedImageSearched() {
    return cachedImageSearched;
  }

  /** Machines that have the job's image were searched. */
  public void onCachedImageSearched() {
    cachedImageSearched = true;
  }

  /**
   * How many tasks count for the team's quota. A settled reservation counts until its settlement is
   * committed, since a new leader would start its task again.
   */
  public int quotaTaskCount() {
    // Any task of a frozen job may be running.
    return frozen
        ? spec.tasks()
        : tasks.reservations().size() + tasks.uncommittedSettlements().size();
  }

  /** How many tasks count for the team's quota, and which of them release their resources soon. */
  TaskCounts taskCounts() {
    if (frozen) {
      return new TaskCounts(spec.tasks(), spec.tasks(), 0);
    }
    int stopping = cancelled ? tasks.reservations().size() : tasks.stoppingCount();
    return new TaskCounts(quotaTaskCount(), stopping, tasks.uncommittedSettlements().size());
  }

  /** What {@link ResourceUsage} has counted of the job's tasks. */
  TaskCounts accountedTasks() {
    return accountedTasks;
  }

  /** {@link ResourceUsage} has counted these tasks. */
  void onTasksAccounted(TaskCounts counts) {
    accountedTasks = counts;
  }

  /** Whether {@link ResourceUsage} has counted the job as active. */
  boolean isAccountedActive() {
    return accountedActive;
  }

  /** {@link ResourceUsage} has counted the job as active, or as inactive, as it is now. */
  void onActivityAccounted() {
    accountedActive = active;
  }

  /** How long a task may take to save when it is stopped. */
  double stopGraceS() {
    if (cancelled) {
      // The checkpoint of a cancelled task is of no use.
      return 0;
    }
    return gang == null ? spec.saveDurationS() : gang.stopGraceS();
  }

  /** The status as users see it. */
  public JobStatus status() {
    StoredRecord.Allocation committed = writes.committed();
    return cancelled
        ? JobStatus.cancelled(spec.uid(), committed.finishedTaskCount())
        : JobStatus.of(spec, committed, countRunningTasks());
  }

  private int countRunningTasks() {
    int running = 0;
    for (Reservation reservation : tasks.reservations().values()) {
      running += reservation.isReportedRunning() ? 1 : 0;
    }
    return running;
  }

  /** Reserves a pending task on a machine. */
  Reservation propose(int taskIndex, long attempt, MachineState machine) {
    Reservation reservation = new Reservation(this, taskIndex, attempt, machine);
    if (gang != null && gang.canStartAttempt()) {
      gang.onAttemptStarted();
    }
    lastAttempt = attempt;
    tasks.reserve(reservation);
    writes.onChanged();
    return reservation;
  }

  /** The task of a reservation has ended, or surely is not on its machine any more. */
  void settle(Reservation reservation, boolean completed) {
    if (cancelled) {
      tasks.release(reservation);
      return;
    }
    tasks.settle(reservation, completed);
    if (completed) {
      failureHistory.recordSuccess();
    }
    writes.onChanged();
    if (gang != null && completed) {
      finishGang();
    } else if (gang != null) {
      gang.onTaskLost();
    }
  }

  /** The tasks of a gang complete together: where one is done, all are. */
  void finishGang() {
    tasks.finishAll();
    writes.onChanged();
  }

  /** A new leader has read the allocation that an earlier one has committed. */
  void onAllocationRestored(StoredRecord.Allocation allocation, long version) {
    writes.onRestored(allocation, version);
    lastAttempt = allocation.lastAttempt();
  }
}
