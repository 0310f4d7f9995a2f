package eiderfork.controller.registry;

import com.google.common.collect.Interner;
import com.google.common.collect.Interners;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.StoredRecord;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The jobs in a leader's memory, with indexes of the active jobs, those with pending work and the
 * finished ones. Every change of a job's tasks goes through this class, which keeps the indexes up
 * to date.
 */
public final class JobRegistry {
  private static final int FIRST_WRITE_RETRIES_PER_STEP = 5;
  private static final int MAX_WRITE_BACKOFF_STEPS = 2;

  private final ControllerContext context;
  private final AllocationWriter writer;
  private final Map<String, JobState> jobs = new LinkedHashMap<>();

  /** Jobs that are not terminal or still hold reservations. */
  private final Map<String, JobState> activeJobs = new LinkedHashMap<>();

  /** The active jobs that may have tasks to schedule or changes to write. */
  private final ReferenceLinkedOpenHashSet<JobState> backlog = new ReferenceLinkedOpenHashSet<>();

  private final ResourceUsage resourceUsage = new ResourceUsage();

  private final FinishedJobs finishedJobs = new FinishedJobs();

  /** Makes equal profiles one object; weak, so that those of evicted jobs are garbage-collected. */
  private final Interner<PlacementProfile> profileInterner = Interners.newWeakInterner();

  /** The uids of jobs with a stored record that can't be read. */
  private final Set<String> frozen = new HashSet<>();

  /** Creates an empty registry. */
  public JobRegistry(
      ControllerContext context,
      StoreClient store,
      LeaderElection election,
      ClusterVersion version) {
    this.context = context;
    writer = new AllocationWriter(context, store, election, version, this);
  }

  /** Removes all jobs, when a term begins or ends. */
  public void clear() {
    jobs.clear();
    activeJobs.clear();
    backlog.clear();
    resourceUsage.clear();
    finishedJobs.clear();
    frozen.clear();
  }

  /**
   * Freezes a job with an unreadable record: its tasks are neither started nor stopped and its
   * status is not answered, since any of these could contradict the record.
   */
  public void freeze(String uid) {
    frozen.add(uid);
    JobState job = jobs.get(uid);
    if (job != null) {
      job.freeze();
      refreshIndexes(job);
    }
  }

  /** Returns whether a job is frozen; one whose cancellation was read is not. */
  public boolean isFrozen(String uid) {
    JobState job = jobs.get(uid);
    return frozen.contains(uid) && !(job != null && job.isCancelled());
  }

  /** The job with this uid; null if it is not in memory. */
  public JobState get(String uid) {
    return jobs.get(uid);
  }

  /** The jobs that are not terminal or still hold reservations. */
  public Collection<JobState> activeJobs() {
    return activeJobs.values();
  }

  /** The active jobs that have tasks to schedule or changes to write. */
  public List<JobState> jobsWithWork() {
    backlog.removeIf(job -> !job.hasPendingWork());
    return new ArrayList<>(backlog);
  }

  /** The resources that the tasks of active jobs use. */
  public ResourceUsage resourceUsage() {
    return resourceUsage;
  }

  /** Updates the indexes after a change of the job's tasks or of its pending work. */
  public void refreshIndexes(JobState job) {
    resourceUsage.update(job);
    if (job.isActive() && job.hasPendingWork()) {
      backlog.add(job);
    }
  }

  private void activate(JobState job) {
    job.activate();
    activeJobs.put(job.spec().uid(), job);
    refreshIndexes(job);
  }

  private void deactivate(JobState job) {
    job.deactivate();
    activeJobs.remove(job.spec().uid(), job);
    backlog.remove(job);
    resourceUsage.update(job);
  }

  /** The terminal jobs without reservations. */
  public FinishedJobs finishedJobs() {
    return finishedJobs;
  }

  /** Removes a job from memory and releases all of its reservations. */
  public void evict(JobState job) {
    String uid = job.spec().uid();
    if (jobs.remove(uid, job)) {
      deactivate(job);
      finishedJobs.remove(uid);
      job.tasks().releaseAll();
    }
  }

  /**
   * Removes the job record that a delayed duplicate of an archived job's submission has created.
   */
  public void removeStaleSpec(JobState job) {
    writer.removeStaleSpec(job);
  }

  /** All jobs in memory. */
  public Collection<JobState> all() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /** The number of jobs in memory. */
  public int size() {
    return jobs.size();
  }

  /** Adds a job that the store holds, or returns the one that is already in memory. */
  public JobState add(Job job, long specVersion) {
    JobState known = jobs.get(job.uid());
    if (known != null) {
      return known;
    }
    JobState added = newJobState(job, specVersion);
    jobs.put(job.uid(), added);
    activate(added);
    return added;
  }

  private JobState newJobState(Job job, long specVersion) {
    long stepMs = context.stepMs();
    return new JobState(
        job,
        profileInterner.intern(PlacementProfile.of(job)),
        specVersion,
        context.nowMs(),
        new Backoff(stepMs / FIRST_WRITE_RETRIES_PER_STEP, stepMs * MAX_WRITE_BACKOFF_STEPS),
        new Backoff(stepMs, context.workerLeaseMs()),
        new FailureHistory(stepMs));
  }

  /** Restores the allocation that an earlier leader committed for a job. */
  public void restoreAllocation(
      JobState job, StoredRecord.Allocation allocation, long version, MachineRegistry fleet) {
    new AllocationRestorer(fleet).restore(job, allocation, version);
    if (allocation.done()) {
      retire(job);
    } else {
      // A cancellation that was read during recovery may have retired the job before its
      // reservations were read. They count for the quota until they are settled.
      activate(job);
      finishedJobs.remove(job.spec().uid());
      retireIfTerminal(job);
    }
  }

  /** Records that a cancellation of the job is committed. */
  public void markCancelled(String uid) {
    JobState job = jobs.get(uid);
    if (job == null || job.isCancelled()) {
      return;
    }
    job.onCancelled();
    refreshIndexes(job);
    retireIfTerminal(job);
  }

  /** Moves a terminal job without reservations from the active jobs to the finished ones. */
  void retireIfTerminal(JobState job) {
    if (job.isTerminal() && job.reservations().isEmpty() && !job.writes().isInFlight()) {
      retire(job);
    }
  }

  private void retire(JobState job) {
    deactivate(job);
    finishedJobs.add(job, context.nowMs());
  }

  /** Settles a reservation whose task has ended or is certainly no longer on its machine. */
  public void settle(Reservation reservation, boolean completed) {
    JobState job = reservation.job();
    if (!job.tasks().holds(reservation)) {
      return;
    }
    job.settle(reservation, completed);
    refreshIndexes(job);
    if (job.isCancelled()) {
      retireIfTerminal(job);
    }
  }

  /** Requests that a task stops; a gang is stopped as a whole and gets time to save. */
  public void requestStop(Reservation reservation) {
    if (reservation.job().gang() == null) {
      reservation.requestStop();
    } else {
      reservation.job().gang().requestSave();
    }
    refreshIndexes(reservation.job());
  }

  /** Revokes a stop request that was not yet sent to the machine. */
  public void revokeStop(Reservation reservation) {
    if (reservation.job().gang() == null) {
      reservation.revokeStop();
    } else {
      reservation.job().gang().revokeStop();
    }
    refreshIndexes(reservation.job());
  }

  /** Withdraws a reservation that was not committed. */
  public void withdrawProposal(Reservation reservation) {
    reservation.job().tasks().withdraw(reservation);
    refreshIndexes(reservation.job());
  }

  /**
   * Returns whether a worker must keep reporting this attempt because its end is not committed yet.
   * If the worker cleared it, a delayed duplicate of its start command would start it again.
   */
  public boolean mustRetainAttempt(JobState job, long attempt, int taskIndex) {
    return job.tasks().isSettlementUncommitted(taskIndex, attempt);
  }

  /** Reserves a pending task on a machine. */
  public Reservation propose(JobState job, int taskIndex, long attempt, MachineState machine) {
    Reservation reservation = job.propose(taskIndex, attempt, machine);
    refreshIndexes(job);
    return reservation;
  }

  /** Writes all changes of a job's allocation in one transaction. */
  public void write(JobState job, RequestPriority priority) {
    writer.write(job, priority);
  }

  /** Retries the writes whose backoff is over. */
  public void tick() {
    writer.tick();
  }

  /** Releases the uncommitted reservations of a cancelled job. */
  void dropUncommittedReservations(JobState job) {
    job.tasks().releaseUncommitted();
    refreshIndexes(job);
  }
}
