package eiderfork.controller;

import com.google.common.collect.Interner;
import com.google.common.collect.Interners;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.StoredRecord;
import it.unimi.dsi.fastutil.objects.ReferenceLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
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
    return frozen.contains(uid) && !(job != null && job.cancelled);
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
    if (job.active && job.hasPendingWork()) {
      backlog.add(job);
    }
  }

  private void activate(JobState job) {
    job.active = true;
    activeJobs.put(job.spec.uid(), job);
    refreshIndexes(job);
  }

  private void deactivate(JobState job) {
    job.active = false;
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
      List.copyOf(job.reservations.values()).forEach(JobRegistry::detach);
    }
  }

  /** Removes what a late copy of an archived job's submission has left of it. */
  void removeStaleSpec(JobState job) {
    writer.removeStaleSpec(job);
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

  /** Takes the reservations of a rebuilt job. */
  void restoreAllocation(
      JobState job, StoredRecord.Allocation allocation, long version, MachineRegistry fleet) {
    job.committedAllocation = allocation;
    job.allocationVersion = version;
    job.lastAttempt = allocation.lastAttempt();
    for (StoredRecord.TaskRange range : allocation.finished()) {
      job.finishedTasks.set(range.from(), range.to() + 1);
      job.pendingTasks.clear(range.from(), range.to() + 1);
    }
    for (StoredRecord.ReservedRange span : allocation.reserved()) {
      MachineState machine = fleet.getOrRegister(span.machine());
      for (int index = span.from(); index <= span.to(); index++) {
        Reservation reservation = new Reservation(job, index, span.attempt(), machine);
        reservation.committed = true;
        job.reservations.put(index, reservation);
        job.pendingTasks.clear(index);
        machine.addReservation(reservation);
        if (job.cancelled) {
          machine.requestCommand();
        }
      }
    }
    if (job.spec.kind() == JobKind.ARRAY) {
      job.failureHistory.restore(allocation, job.spec.tasks());
    }
    restoreGang(job);
    if (allocation.done()) {
      retire(job);
    } else {
      // A cancellation taken while rebuilding may have retired the job before its reservations
      // were read; they count for the quota until they are settled.
      activate(job);
      finishedJobs.remove(job.spec.uid());
      retireIfTerminal(job);
    }
  }

  /** An older leader may have seen a part of a gang end, and ended before it did what follows. */
  private static void restoreGang(JobState job) {
    if (job.gang == null || job.cancelled || job.committedAllocation.done()) {
      return;
    }
    if (!job.finishedTasks.isEmpty()) {
      finishGang(job);
    } else if (!job.pendingTasks.isEmpty()) {
      job.gang.onTaskLost();
    }
  }

  /**
   * Notes which images the machines have been given, in the order in which the jobs were last
   * written. The alloc record of a cancelled service keeps its reservations, so a new leader knows
   * more than what runs now: without this, replicas went to machines that had to fetch first.
   */
  void restoreCachedImages(MachineRegistry fleet) {
    List<JobState> byAge = new ArrayList<>(jobs.values());
    byAge.sort(Comparator.comparingLong(job -> job.allocationVersion));
    for (JobState job : byAge) {
      for (StoredRecord.ReservedRange span : job.committedAllocation.reserved()) {
        MachineState machine = fleet.get(span.machine());
        if (machine != null && job.spec.image() != null) {
          MachineType type = fleet.typeOf(machine);
          double cacheGb = type == null ? Double.MAX_VALUE : type.imageCacheGb();
          machine.images().recordUse(job.spec.image(), job.spec.imageGb(), cacheGb);
        }
      }
    }
  }

  void markCancelled(String uid) {
    JobState job = jobs.get(uid);
    if (job == null || job.cancelled) {
      return;
    }
    job.cancelled = true;
    job.pendingTasks.clear();
    job.uncommittedSettlements.clear();
    for (Reservation reservation : List.copyOf(job.reservations.values())) {
      if (reservation.committed) {
        reservation.machine.requestCommand();
      } else if (!job.writeInFlight) {
        detach(reservation);
      }
    }
    refreshIndexes(job);
    retireIfTerminal(job);
  }

  /** Takes a job that is over, and of which nothing is left, out of what rounds look at. */
  void retireIfTerminal(JobState job) {
    if (job.isTerminal() && job.reservations.isEmpty() && !job.writeInFlight) {
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
    if (job.reservations.get(reservation.taskIndex) != reservation) {
      return;
    }
    detach(reservation);
    if (job.cancelled) {
      refreshIndexes(job);
      retireIfTerminal(job);
      return;
    }
    if (completed) {
      job.finishedTasks.set(reservation.taskIndex);
      job.failureHistory.recordSuccess();
    } else {
      job.pendingTasks.set(reservation.taskIndex);
    }
    job.uncommittedSettlements.add(reservation);
    job.dirty = true;
    if (job.gang != null && completed) {
      finishGang(job);
    } else if (job.gang != null) {
      job.gang.onTaskLost();
    }
    refreshIndexes(job);
  }

  /** The tasks of a gang complete together: where one is done, all are. */
  private static void finishGang(JobState job) {
    for (Reservation other : List.copyOf(job.reservations.values())) {
      detach(other);
      job.uncommittedSettlements.add(other);
    }
    job.finishedTasks.set(0, job.spec.tasks());
    job.pendingTasks.clear();
    job.dirty = true;
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
    detach(reservation);
    reservation.job.pendingTasks.set(reservation.taskIndex);
    refreshIndexes(reservation.job);
  }

  private static void detach(Reservation reservation) {
    if (reservation.job.reservations.remove(reservation.taskIndex) == reservation) {
      reservation.onRemoved();
    }
    reservation.machine.removeReservation(reservation);
  }

  /**
   * Whether a worker must keep this attempt in its reports, because what is committed does not say
   * yet how it ended. A cleared attempt would start anew on a late repeat of its command.
   */
  boolean mustRetainAttempt(JobState job, long attempt, int index) {
    for (Reservation reservation : job.uncommittedSettlements) {
      if (reservation.taskIndex == index && reservation.attempt == attempt) {
        return true;
      }
    }
    return false;
  }

  Reservation propose(JobState job, int index, long attempt, MachineState machine) {
    Reservation reservation = new Reservation(job, index, attempt, machine);
    if (job.gang != null && job.gang.canStartAttempt()) {
      job.gang.onAttemptStarted();
    }
    job.lastAttempt = attempt;
    job.reservations.put(index, reservation);
    job.pendingTasks.clear(index);
    machine.addReservation(reservation);
    job.dirty = true;
    refreshIndexes(job);
    return reservation;
  }

  /** Writes what changed of a job, in one conditional write. */
  void write(JobState job, RequestPriority urgency) {
    writer.write(job, urgency);
  }

  void tick() {
    writer.tick();
  }

  /** Drops reservations that were never committed, of a job that was cancelled meanwhile. */
  void dropUncommittedReservations(JobState job) {
    for (Reservation reservation : List.copyOf(job.reservations.values())) {
      if (!reservation.committed) {
        detach(reservation);
      }
    }
    refreshIndexes(job);
  }
}
