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
  private final Map<String, JobState> active = new LinkedHashMap<>();

  /** Those of them that may have something to place or to write. */
  private final ReferenceLinkedOpenHashSet<JobState> backlog = new ReferenceLinkedOpenHashSet<>();

  private final ResourceUsage tally = new ResourceUsage();

  private final FinishedJobs ended = new FinishedJobs();

  /** Profiles in use; those of jobs that have left memory go with them. */
  private final Interner<PlacementProfile> profiles = Interners.newWeakInterner();

  /** Jobs of which a stored record can't be read. */
  private final Set<String> frozen = new HashSet<>();

  JobRegistry(
      ControllerContext context, StoreClient gate, LeaderElection term, ClusterVersion version) {
    this.context = context;
    writer = new AllocationWriter(context, gate, term, version, this);
  }

  void clear() {
    jobs.clear();
    active.clear();
    backlog.clear();
    tally.clear();
    ended.clear();
    frozen.clear();
  }

  /**
   * Leaves a job alone of which a stored record can't be read: nothing of it is started, stopped or
   * answered for, since any of that could contradict what the record says.
   */
  void freeze(String uid) {
    frozen.add(uid);
    JobState entry = jobs.get(uid);
    if (entry != null) {
      entry.freeze();
      changed(entry);
    }
  }

  /** Whether a job is frozen; a cancellation that was read still ends it. */
  boolean isFrozen(String uid) {
    JobState entry = jobs.get(uid);
    return frozen.contains(uid) && !(entry != null && entry.aborted);
  }

  JobState get(String uid) {
    return jobs.get(uid);
  }

  Collection<JobState> active() {
    return active.values();
  }

  /** The active jobs that have something to place or to write. */
  List<JobState> withWork() {
    backlog.removeIf(entry -> !entry.hasWork());
    return new ArrayList<>(backlog);
  }

  /** What the tasks of active jobs take. */
  ResourceUsage tally() {
    return tally;
  }

  /** Takes up what has changed of a job's tasks, or of whether it has something to do. */
  void changed(JobState entry) {
    tally.update(entry);
    if (entry.active && entry.hasWork()) {
      backlog.add(entry);
    }
  }

  private void activate(JobState entry) {
    entry.active = true;
    active.put(entry.job.uid(), entry);
    changed(entry);
  }

  private void deactivate(JobState entry) {
    entry.active = false;
    active.remove(entry.job.uid(), entry);
    backlog.remove(entry);
    tally.update(entry);
  }

  /** The jobs that are over and of which nothing is left. */
  FinishedJobs ended() {
    return ended;
  }

  /** Drops a job that memory has no use for any more. */
  void forget(JobState entry) {
    String uid = entry.job.uid();
    if (jobs.remove(uid, entry)) {
      deactivate(entry);
      ended.remove(uid);
      List.copyOf(entry.placed.values()).forEach(JobRegistry::drop);
    }
  }

  /** Removes what a late copy of an archived job's submission has left of it. */
  void removeCopy(JobState entry) {
    writer.removeCopy(entry);
  }

  int size() {
    return jobs.size();
  }

  /** Takes a job that the state service holds; a known one stays as it is. */
  JobState add(Job job, long order) {
    JobState known = jobs.get(job.uid());
    if (known != null) {
      return known;
    }
    Backoff writeBackoff = new Backoff(context.stepMs() / 5, context.stepMs() * 2);
    Backoff sizeBackoff = new Backoff(context.stepMs(), context.leaseMs());
    PlacementProfile profile = profiles.intern(PlacementProfile.of(job));
    FailureHistory failures = new FailureHistory(context.stepMs());
    JobState entry =
        new JobState(job, profile, order, context.nowMs, writeBackoff, sizeBackoff, failures);
    jobs.put(job.uid(), entry);
    activate(entry);
    return entry;
  }

  /** Takes the reservations of a rebuilt job. */
  void restore(JobState entry, StoredRecord.Alloc alloc, long version, MachineRegistry fleet) {
    entry.committed = alloc;
    entry.allocVersion = version;
    entry.lastAttempt = alloc.lastAttempt();
    for (StoredRecord.Range range : alloc.finished()) {
      entry.finished.set(range.from(), range.to() + 1);
      entry.waiting.clear(range.from(), range.to() + 1);
    }
    for (StoredRecord.Span span : alloc.reserved()) {
      MachineState machine = fleet.known(span.machine());
      for (int index = span.from(); index <= span.to(); index++) {
        Reservation p = new Reservation(entry, index, span.attempt(), machine);
        p.committed = true;
        entry.placed.put(index, p);
        entry.waiting.clear(index);
        machine.add(p);
        if (entry.aborted) {
          machine.setUrgent();
        }
      }
    }
    if (entry.job.kind() == JobKind.ARRAY) {
      entry.failures.restored(alloc, entry.job.tasks());
    }
    restoreGang(entry);
    if (alloc.done()) {
      retire(entry);
    } else {
      // A cancellation taken while rebuilding may have retired the job before its reservations
      // were read; they count for the quota until they are settled.
      activate(entry);
      ended.remove(entry.job.uid());
      retireIfOver(entry);
    }
  }

  /** An older leader may have seen a part of a gang end, and ended before it did what follows. */
  private static void restoreGang(JobState entry) {
    if (entry.gang == null || entry.aborted || entry.committed.done()) {
      return;
    }
    if (!entry.finished.isEmpty()) {
      finishGang(entry);
    } else if (!entry.waiting.isEmpty()) {
      entry.gang.taskLost();
    }
  }

  /**
   * Notes which images the machines have been given, in the order in which the jobs were last
   * written. The alloc record of a cancelled service keeps its reservations, so a new leader knows
   * more than what runs now: without this, replicas went to machines that had to fetch first.
   */
  void noteImages(MachineRegistry fleet) {
    List<JobState> byAge = new ArrayList<>(jobs.values());
    byAge.sort(Comparator.comparingLong(entry -> entry.allocVersion));
    for (JobState entry : byAge) {
      for (StoredRecord.Span span : entry.committed.reserved()) {
        MachineState m = fleet.get(span.machine());
        if (m != null && entry.job.image() != null) {
          MachineType type = fleet.type(m);
          double cacheGb = type == null ? Double.MAX_VALUE : type.cacheGb();
          m.touchImage(entry.job.image(), entry.job.imageGb(), cacheGb);
        }
      }
    }
  }

  void markAborted(String uid) {
    JobState entry = jobs.get(uid);
    if (entry == null || entry.aborted) {
      return;
    }
    entry.aborted = true;
    entry.waiting.clear();
    entry.uncommitted.clear();
    for (Reservation p : List.copyOf(entry.placed.values())) {
      if (p.committed) {
        p.machine.setUrgent();
      } else if (!entry.writing) {
        drop(p);
      }
    }
    changed(entry);
    retireIfOver(entry);
  }

  /** Takes a job that is over, and of which nothing is left, out of what rounds look at. */
  void retireIfOver(JobState entry) {
    if (entry.over() && entry.placed.isEmpty() && !entry.writing) {
      retire(entry);
    }
  }

  private void retire(JobState entry) {
    deactivate(entry);
    ended.add(entry, context.nowMs);
  }

  /** A reservation is settled: the task has ended, or surely is not on its machine any more. */
  void release(Reservation p, boolean done) {
    JobState entry = p.job;
    if (entry.placed.get(p.index) != p) {
      return;
    }
    drop(p);
    if (entry.aborted) {
      changed(entry);
      retireIfOver(entry);
      return;
    }
    if (done) {
      entry.finished.set(p.index);
      entry.failures.succeeded();
    } else {
      entry.waiting.set(p.index);
    }
    entry.uncommitted.add(p);
    entry.dirty = true;
    if (entry.gang != null && done) {
      finishGang(entry);
    } else if (entry.gang != null) {
      entry.gang.taskLost();
    }
    changed(entry);
  }

  /** The tasks of a gang complete together: where one is done, all are. */
  private static void finishGang(JobState entry) {
    for (Reservation other : List.copyOf(entry.placed.values())) {
      drop(other);
      entry.uncommitted.add(other);
    }
    entry.finished.set(0, entry.job.tasks());
    entry.waiting.clear();
    entry.dirty = true;
  }

  /** Has a task stopped; a gang is stopped as a whole and saves if it can. */
  void stop(Reservation p) {
    if (p.job.gang == null) {
      p.stop();
    } else {
      p.job.gang.save();
    }
    changed(p.job);
  }

  /** Takes back a decision to stop of which nothing was sent yet. */
  void goOn(Reservation p) {
    if (p.job.gang == null) {
      p.goOn();
    } else {
      p.job.gang.goOn();
    }
    changed(p.job);
  }

  /** Takes back a proposal of this round. */
  void withdraw(Reservation p) {
    drop(p);
    p.job.waiting.set(p.index);
    changed(p.job);
  }

  private static void drop(Reservation p) {
    if (p.job.placed.remove(p.index) == p) {
      p.removed();
    }
    p.machine.remove(p);
  }

  /**
   * Whether a worker must keep this attempt in its reports, because what is committed does not say
   * yet how it ended. A cleared attempt would start anew on a late repeat of its command.
   */
  boolean mustKeep(JobState entry, long attempt, int index) {
    for (Reservation p : entry.uncommitted) {
      if (p.index == index && p.attempt == attempt) {
        return true;
      }
    }
    return false;
  }

  Reservation propose(JobState entry, int index, long attempt, MachineState machine) {
    Reservation p = new Reservation(entry, index, attempt, machine);
    if (entry.gang != null && entry.gang.mayBegin()) {
      entry.gang.begin();
    }
    entry.lastAttempt = attempt;
    entry.placed.put(index, p);
    entry.waiting.clear(index);
    machine.add(p);
    entry.dirty = true;
    changed(entry);
    return p;
  }

  /** Writes what changed of a job, in one conditional write. */
  void write(JobState entry, RequestPriority urgency) {
    writer.write(entry, urgency);
  }

  void tick() {
    writer.tick();
  }

  /** Drops reservations that were never committed, of a job that was cancelled meanwhile. */
  void dropUncommitted(JobState entry) {
    for (Reservation p : List.copyOf(entry.placed.values())) {
      if (!p.committed) {
        drop(p);
      }
    }
    changed(entry);
  }
}
