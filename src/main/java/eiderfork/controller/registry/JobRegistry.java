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
 * The jobs in a leader's memory, with indexes of those that are active, have work or have finished.
 * Every change of a job's tasks goes through here, so that the indexes are kept up to date.
 */
public final class JobRegistry {
  private static final int FIRST_WRITE_RETRIES_PER_STEP = 5;
  private static final int MAX_WRITE_BACKOFF_STEPS = 2;

  private final ControllerContext context;
  private final AllocationWriter writer;
  private final Map<String, JobState> jobs = new LinkedHashMap<>();

  /** Jobs that are not terminal, or of which something is still reserved. */
  private final Map<String, JobState> activeJobs = new LinkedHashMap<>();

  /** The active jobs that may have something to schedule or to write. */
  private final ReferenceLinkedOpenHashSet<JobState> backlog = new ReferenceLinkedOpenHashSet<>();

  private final ResourceUsage resourceUsage = new ResourceUsage();

  private final FinishedJobs finishedJobs = new FinishedJobs();

  /** Equal profiles are one object; those of evicted jobs are collected with them. */
  private final Interner<PlacementProfile> profileInterner = Interners.newWeakInterner();

  /** Jobs with a stored record that can't be read. */
  private final Set<String> frozen = new HashSet<>();

  /** Makes an empty registry. */
  public JobRegistry(
      ControllerContext context,
      StoreClient store,
      LeaderElection election,
      ClusterVersion version) {
    this.context = context;
    writer = new AllocationWriter(context, store, election, version, this);
  }

  /** Forgets all jobs, when a term begins or ends. */
  public void clear() {
    jobs.clear();
    activeJobs.clear();
    backlog.clear();
    resourceUsage.clear();
    finishedJobs.clear();
    frozen.clear();
  }

  /**
   * Freezes a job with an unreadable record: nothing of it is started, stopped or answered for,
   * since any of that could contradict the record.
   */
  public void freeze(String uid) {
    frozen.add(uid);
    JobState job = jobs.get(uid);
    if (job != null) {
      job.freeze();
      refreshIndexes(job);
    }
  }

  /** Whether a job is frozen; a cancellation that was read still ends it. */
  public boolean isFrozen(String uid) {
    JobState job = jobs.get(uid);
    return frozen.contains(uid) && !(job != null && job.isCancelled());
  }

  /** The job of this uid; null where memory does not hold it. */
  public JobState get(String uid) {
    return jobs.get(uid);
  }

  /** The jobs that are not terminal, or of which something is still reserved. */
  public Collection<JobState> activeJobs() {
    return activeJobs.values();
  }

  /** The active jobs that have something to schedule or to write. */
  public List<JobState> jobsWithWork() {
    backlog.removeIf(job -> !job.hasPendingWork());
    return new ArrayList<>(backlog);
  }

  /** The resources that the tasks of active jobs use. */
  public ResourceUsage resourceUsage() {
    return resourceUsage;
  }

  /** Brings the indexes up to date after a change of the job's tasks or of its work. */
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

  /** The terminal jobs of which nothing is reserved. */
  public FinishedJobs finishedJobs() {
    return finishedJobs;
  }

  /** Removes a job from memory, with all of its reservations. */
  public void evict(JobState job) {
    String uid = job.spec().uid();
    if (jobs.remove(uid, job)) {
      deactivate(job);
      finishedJobs.remove(uid);
      job.tasks().releaseAll();
    }
  }

  /** Removes the record that a late copy of an archived job's submission has left. */
  public void removeStaleSpec(JobState job) {
    writer.removeStaleSpec(job);
  }

  /** All jobs in memory. */
  public Collection<JobState> all() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /** How many jobs are in memory. */
  public int size() {
    return jobs.size();
  }

  /** Adds a job that the store holds; one that is in memory stays as it is. */
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

  /** Restores the allocation of a job that an earlier leader has committed. */
  public void restoreAllocation(
      JobState job, StoredRecord.Allocation allocation, long version, MachineRegistry fleet) {
    new AllocationRestorer(fleet).restore(job, allocation, version);
    if (allocation.done()) {
      retire(job);
    } else {
      // A cancellation read during the recovery may have retired the job before its reservations
      // were read; they count for the quota until they are settled.
      activate(job);
      finishedJobs.remove(job.spec().uid());
      retireIfTerminal(job);
    }
  }

  /** A cancellation of the job is committed. */
  public void markCancelled(String uid) {
    JobState job = jobs.get(uid);
    if (job == null || job.isCancelled()) {
      return;
    }
    job.onCancelled();
    refreshIndexes(job);
    retireIfTerminal(job);
  }

  /** Removes a terminal job of which nothing is reserved from the active ones. */
  void retireIfTerminal(JobState job) {
    if (job.isTerminal() && job.reservations().isEmpty() && !job.writes().isInFlight()) {
      retire(job);
    }
  }

  private void retire(JobState job) {
    deactivate(job);
    finishedJobs.add(job, context.nowMs());
  }

  /** Settles a reservation: its task has ended, or surely is not on its machine any more. */
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

  /** Stops a task; a gang is stopped as a whole and saves if it can. */
  public void requestStop(Reservation reservation) {
    if (reservation.job().gang() == null) {
      reservation.requestStop();
    } else {
      reservation.job().gang().requestSave();
    }
    refreshIndexes(reservation.job());
  }

  /** Takes back a decision to stop of which nothing was sent yet. */
  public void revokeStop(Reservation reservation) {
    if (reservation.job().gang() == null) {
      reservation.revokeStop();
    } else {
      reservation.job().gang().revokeStop();
    }
    refreshIndexes(reservation.job());
  }

  /** Takes back a reservation that was not committed. */
  public void withdrawProposal(Reservation reservation) {
    reservation.job().tasks().withdraw(reservation);
    refreshIndexes(reservation.job());
  }

  /**
   * Whether a worker must keep this attempt in its heartbeats, because the store does not show yet
   * how it ended. A cleared attempt would start anew on a late copy of its command.
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

  /** Writes all that has changed of a job, in one transaction. */
  public void write(JobState job, RequestPriority priority) {
    writer.write(job, priority);
  }

  /** Sends the writes whose retry is due. */
  public void tick() {
    writer.tick();
  }

  /** Releases the uncommitted reservations of a cancelled job. */
  void dropUncommittedReservations(JobState job) {
    job.tasks().releaseUncommitted();
    refreshIndexes(job);
  }
}
