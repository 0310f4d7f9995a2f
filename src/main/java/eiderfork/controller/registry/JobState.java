package eiderfork.controller.registry;

import eiderfork.controller.ratelimit.Backoff;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import it.unimi.dsi.fastutil.ints.Int2ObjectSortedMap;

/**
 * The leader's in-memory state of a job. {@link JobRegistry} changes it and keeps its indexes up to
 * date. {@link AllocationWriteState} holds the committed state, {@link JobTasks} the tasks.
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

  /** Creates the state of a job of which all tasks are pending. */
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

  /** The job's specification as submitted by its user. */
  public Job spec() {
    return spec;
  }

  /** The placement profile, interned: jobs with equal profiles share one object. */
  public PlacementProfile profile() {
    return profile;
  }

  /** The version of the job's key in the store; jobs of equal rank are scheduled in this order. */
  public long specVersion() {
    return specVersion;
  }

  /** The time when this leader first read the job. */
  public long firstSeenMs() {
    return firstSeenMs;
  }

  /** The state that the tasks of a gang share; null for other jobs. */
  public Gang gang() {
    return gang;
  }

  /** The failures and retry delays of the job's tasks. */
  public FailureHistory failureHistory() {
    return failureHistory;
  }

  /** The job's tasks: pending, reserved and finished. */
  public JobTasks tasks() {
    return tasks;
  }

  /** The committed allocation of the job and the state of the write that replaces it. */
  public AllocationWriteState writes() {
    return writes;
  }

  /** The number and the time of reclaims of the job's tasks for other teams. */
  public ReclaimHistory reclaims() {
    return reclaims;
  }

  /** The reservations by task index, in ascending order; a read-only view. */
  public Int2ObjectSortedMap<Reservation> reservations() {
    return tasks.reservations();
  }

  /** The number of tasks that are neither reserved nor finished. */
  public int pendingTaskCount() {
    return tasks.pendingCount();
  }

  /** Returns whether any task is neither reserved nor finished. */
  public boolean hasPendingTasks() {
    return tasks.hasPending();
  }

  /** The index of the first task that may be scheduled now, or -1. */
  public int firstSchedulableTask(long nowMs) {
    return schedulableTasks.first(nowMs);
  }

  /** The index of the next task after {@code index} that may be scheduled now, or -1. */
  public int nextSchedulableTask(int index, long nowMs) {
    return schedulableTasks.next(index, nowMs);
  }

  /** Returns whether the job has tasks to schedule or changes to write. */
  boolean hasPendingWork() {
    return tasks.hasPending() || writes.isDirty();
  }

  /** The largest attempt number reserved so far; 0 for none. */
  public long lastAttempt() {
    return lastAttempt;
  }

  /** The number for the next attempts, larger than all previous ones. */
  public long nextAttemptNumber() {
    return Math.max(lastAttempt, writes.committed().lastAttempt()) + 1;
  }

  /** Returns whether the job is done or cancelled. */
  public boolean isTerminal() {
    return cancelled || writes.committed().done();
  }

  /** Returns whether a cancellation of the job is committed. */
  public boolean isCancelled() {
    return cancelled;
  }

  /**
   * Returns whether a cancellation is being written; meanwhile no allocation is written, so that no
   * further task starts.
   */
  public boolean isCancelling() {
    return cancelling;
  }

  /** Records that the write of a cancellation begins. */
  public void onCancellationBegun() {
    cancelling = true;
  }

  /** Records that the cancellation was not written, or that its result is unknown. */
  public void onCancellationFailed() {
    cancelling = false;
  }

  /** Records that a cancellation is committed. */
  void onCancelled() {
    cancelled = true;
    tasks.cancel(writes.isInFlight());
  }

  /** Returns whether the job is not terminal, or still holds reservations. */
  boolean isActive() {
    return active;
  }

  /** Marks the job as active; called by {@link JobRegistry} only. */
  void activate() {
    active = true;
  }

  /** Marks the job as inactive; called by {@link JobRegistry} only. */
  void deactivate() {
    active = false;
  }

  /** Prevents all tasks from starting, because a stored record of the job can't be read. */
  public void freeze() {
    frozen = true;
    tasks.clearPending();
  }

  /** Records that a read or a conditional write has shown that the job is not archived. */
  public void confirmNotArchived() {
    confirmedNotArchived = true;
  }

  /**
   * Returns whether the job is known not to be archived. A submission of an older version that is
   * applied after the job was archived recreates its record; such a job has no allocation.
   */
  public boolean isKnownNotArchived() {
    return confirmedNotArchived || writes.version() > 0;
  }

  /**
   * Returns whether the job is terminal and nothing outstanding can change its state: it has no
   * reservations, no uncommitted settlements and no write in flight, and is not frozen.
   */
  public boolean isArchivable() {
    return isTerminal()
        && tasks.reservations().isEmpty()
        && tasks.uncommittedSettlements().isEmpty()
        && !writes.isInFlight()
        && !frozen;
  }

  /** Returns whether a write of the job's allocation may begin now. */
  public boolean canWrite(long nowMs) {
    return writes.canBegin(nowMs) && !cancelled && !cancelling;
  }

  /**
   * Returns whether machines that have the job's image were already searched ahead of the others,
   * which is done once per job.
   */
  public boolean isCachedImageSearched() {
    return cachedImageSearched;
  }

  /** Records that machines that have the job's image were searched. */
  public void onCachedImageSearched() {
    cachedImageSearched = true;
  }

  /**
   * The number of tasks that count for the team's quota. A settled reservation counts until its
   * settlement is committed, since a new leader would start its task again.
   */
  public int quotaTaskCount() {
    // Any task of a frozen job may be running.
    return frozen
        ? spec.tasks()
        : tasks.reservations().size() + tasks.uncommittedSettlements().size();
  }

  /** The tasks that count for the team's quota, and those of them that are stopping or settled. */
  TaskCounts taskCounts() {
    if (frozen) {
      return new TaskCounts(spec.tasks(), spec.tasks(), 0);
    }
    int stopping = cancelled ? tasks.reservations().size() : tasks.stoppingCount();
    return new TaskCounts(quotaTaskCount(), stopping, tasks.uncommittedSettlements().size());
  }

  /** The task counts that {@link ResourceUsage} last accounted for. */
  TaskCounts accountedTasks() {
    return accountedTasks;
  }

  /** Records the task counts that {@link ResourceUsage} has accounted for. */
  void onTasksAccounted(TaskCounts counts) {
    accountedTasks = counts;
  }

  /** Returns whether {@link ResourceUsage} has accounted for the job as active. */
  boolean isAccountedActive() {
    return accountedActive;
  }

  /** Records that {@link ResourceUsage} has accounted for the current activity of the job. */
  void onActivityAccounted() {
    accountedActive = active;
  }

  /** The time that a task gets to save when it is stopped, in seconds. */
  double stopGraceS() {
    if (cancelled) {
      // A cancelled task never resumes, so its checkpoint would not be read.
      return 0;
    }
    return gang == null ? spec.saveDurationS() : gang.stopGraceS();
  }

  /** The status that is reported to users. */
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

  /** Settles a reservation whose task has ended or is certainly no longer on its machine. */
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

  /** Marks all tasks of a gang as finished: they complete together, so one finished implies all. */
  void finishGang() {
    tasks.finishAll();
    writes.onChanged();
  }

  /** Records the committed allocation of an earlier leader, read by this new one. */
  void onAllocationRestored(StoredRecord.Allocation allocation, long version) {
    writes.onRestored(allocation, version);
    lastAttempt = allocation.lastAttempt();
  }
}
