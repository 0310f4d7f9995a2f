package eiderfork.controller;

import com.google.common.collect.Interner;
import com.google.common.collect.Interners;
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

/** The jobs of a leader: what is reserved for them, what has ended and what waits. */
final class JobRegistry {
  private final ControllerContext context;
  private final AllocationWriter writer;
  private final Map<String, JobState> jobs = new LinkedHashMap<>();

  /** Jobs that still have something to do, so that rounds skip the long past. */
  private final Map<String, JobState> activeJobs = new LinkedHashMap<>();

  /** Those of them that may have something to place or to write. */
  private final ReferenceLinkedOpenHashSet<JobState> backlog = new ReferenceLinkedOpenHashSet<>();

  private final ResourceUsage resourceUsage = new ResourceUsage();

  private final FinishedJobs finishedJobs = new FinishedJobs();

  /** Profiles in use; those of jobs that have left memory go with them. */
  private final Interner<PlacementProfile> profileInterner = Interners.newWeakInterner();

  /** Jobs of which a stored record can't be read. */
  private final Set<String> frozen = new HashSet<>();

  JobRegistry(
      ControllerContext context,
      StoreClient store,
      LeaderElection election,
      ClusterVersion version) {
    this.context = context;
    writer = new AllocationWriter(context, store, election, version, this);
  }

  void clear() {
    jobs.clear();
    activeJobs.clear();
    backlog.clear();
    resourceUsage.clear();
    finishedJobs.clear();
    frozen.clear();
  }

  /**
   * Leaves a job alone of which a stored record can't be read: nothing of it is started, stopped or
   * answered for, since any of that could contradict what the record says.
   */
  void freeze(String uid) {
    frozen.add(uid);
    JobState job = jobs.get(uid);
    if (job != null) {
      job.freeze();
      refreshIndexes(job);
    }
  }

  /** Whether a job is frozen; a cancellation that was read still ends it. */
  boolean isFrozen(String uid) {
    JobState job = jobs.get(uid);
    return frozen.contains(uid) && !(job != null && job.isCancelled());
  }

  JobState get(String uid) {
    return jobs.get(uid);
  }

  Collection<JobState> activeJobs() {
    return activeJobs.values();
  }

  /** The active jobs that have something to place or to write. */
  List<JobState> jobsWithWork() {
    backlog.removeIf(job -> !job.hasPendingWork());
    return new ArrayList<>(backlog);
  }

  /** What the tasks of active jobs take. */
  ResourceUsage resourceUsage() {
    return resourceUsage;
  }

  /** Takes up what has changed of a job's tasks, or of whether it has something to do. */
  void refreshIndexes(JobState job) {
    resourceUsage.update(job);
    if (job.isActive() && job.hasPendingWork()) {
      backlog.add(job);
    }
  }

  private void activate(JobState job) {
    job.activate();
    activeJobs.put(job.spec.uid(), job);
    refreshIndexes(job);
  }

  private void deactivate(JobState job) {
    job.deactivate();
    activeJobs.remove(job.spec.uid(), job);
    backlog.remove(job);
    resourceUsage.update(job);
  }

  /** The jobs that are over and of which nothing is left. */
  FinishedJobs finishedJobs() {
    return finishedJobs;
  }

  /** Drops a job that memory has no use for any more. */
  void evict(JobState job) {
    String uid = job.spec.uid();
    if (jobs.remove(uid, job)) {
      deactivate(job);
      finishedJobs.remove(uid);
      job.tasks().releaseAll();
    }
  }

  /** Removes what a late copy of an archived job's submission has left of it. */
  void removeStaleSpec(JobState job) {
    writer.removeStaleSpec(job);
  }

  /** All jobs in memory. */
  Collection<JobState> all() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  int size() {
    return jobs.size();
  }

  /** Takes a job that the state service holds; a known one stays as it is. */
  JobState add(Job job, long specVersion) {
    JobState known = jobs.get(job.uid());
    if (known != null) {
      return known;
    }
    Backoff writeBackoff = new Backoff(context.stepMs() / 5, context.stepMs() * 2);
    Backoff sizeBackoff = new Backoff(context.stepMs(), context.workerLeaseMs());
    PlacementProfile profile = profileInterner.intern(PlacementProfile.of(job));
    FailureHistory failures = new FailureHistory(context.stepMs());
    JobState entry =
        new JobState(job, profile, specVersion, context.nowMs, writeBackoff, sizeBackoff, failures);
    jobs.put(job.uid(), entry);
    activate(entry);
    return entry;
  }

  /** Restores the allocation of a job that an earlier leader has committed. */
  void restoreAllocation(
      JobState job, StoredRecord.Allocation allocation, long version, MachineRegistry fleet) {
    job.restore(allocation, version, fleet::getOrRegister);
    if (allocation.done()) {
      retire(job);
    } else {
      // A cancellation read during the recovery may have retired the job before its reservations
      // were read; they count for the quota until they are settled.
      activate(job);
      finishedJobs.remove(job.spec.uid());
      retireIfTerminal(job);
    }
  }

  /** A cancellation of the job is committed. */
  void markCancelled(String uid) {
    JobState job = jobs.get(uid);
    if (job == null || job.isCancelled()) {
      return;
    }
    job.onCancelled();
    refreshIndexes(job);
    retireIfTerminal(job);
  }

  /** Takes a job that is over, and of which nothing is left, out of what rounds look at. */
  void retireIfTerminal(JobState job) {
    if (job.isTerminal() && job.reservations().isEmpty() && !job.writes().isInFlight()) {
      retire(job);
    }
  }

  private void retire(JobState job) {
    deactivate(job);
    finishedJobs.add(job, context.nowMs);
  }

  /** A reservation is settled: the task has ended, or surely is not on its machine any more. */
  void settle(Reservation reservation, boolean completed) {
    JobState job = reservation.job;
    if (!job.tasks().holds(reservation)) {
      return;
    }
    job.settle(reservation, completed);
    refreshIndexes(job);
    if (job.isCancelled()) {
      retireIfTerminal(job);
    }
  }

  /** Has a task stopped; a gang is stopped as a whole and saves if it can. */
  void requestStop(Reservation reservation) {
    if (reservation.job.gang == null) {
      reservation.requestStop();
    } else {
      reservation.job.gang.requestSave();
    }
    refreshIndexes(reservation.job);
  }

  /** Takes back a decision to stop of which nothing was sent yet. */
  void revokeStop(Reservation reservation) {
    if (reservation.job.gang == null) {
      reservation.revokeStop();
    } else {
      reservation.job.gang.revokeStop();
    }
    refreshIndexes(reservation.job);
  }

  /** Takes back a proposal of this round. */
  void withdrawProposal(Reservation reservation) {
    reservation.job.tasks().withdraw(reservation);
    refreshIndexes(reservation.job);
  }

  /**
   * Whether a worker must keep this attempt in its heartbeats, because the store does not show yet
   * how it ended. A cleared attempt would start anew on a late copy of its command.
   */
  boolean mustRetainAttempt(JobState job, long attempt, int taskIndex) {
    return job.tasks().isSettlementUncommitted(taskIndex, attempt);
  }

  /** Reserves a pending task on a machine. */
  Reservation propose(JobState job, int taskIndex, long attempt, MachineState machine) {
    Reservation reservation = job.propose(taskIndex, attempt, machine);
    refreshIndexes(job);
    return reservation;
  }

  /** Writes what changed of a job, in one conditional write. */
  void write(JobState job, RequestPriority priority) {
    writer.write(job, priority);
  }

  void tick() {
    writer.tick();
  }

  /** Drops reservations that were never committed, of a job that was cancelled meanwhile. */
  void dropUncommittedReservations(JobState job) {
    job.tasks().releaseUncommitted();
    refreshIndexes(job);
  }
}
