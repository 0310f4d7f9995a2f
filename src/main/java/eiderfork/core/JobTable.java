package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.Record;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The jobs of a leader, and the writing of their alloc records. */
final class JobTable {
  private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);

  private final Context context;
  private final StateGate gate;
  private final Term term;
  private final Map<String, JobEntry> jobs = new LinkedHashMap<>();

  /** Jobs that still have something to do, so that rounds skip the long past. */
  private final Map<String, JobEntry> active = new LinkedHashMap<>();

  private final Map<TaskProfile, TaskProfile> profiles = new HashMap<>();

  /** Jobs of which a stored record can't be read. */
  private final Set<String> frozen = new HashSet<>();

  JobTable(Context context, StateGate gate, Term term) {
    this.context = context;
    this.gate = gate;
    this.term = term;
  }

  void clear() {
    jobs.clear();
    active.clear();
    profiles.clear();
    frozen.clear();
  }

  /**
   * Leaves a job alone of which a stored record can't be read: nothing of it is started, stopped or
   * answered for, since any of that could contradict what the record says.
   */
  void freeze(String uid) {
    frozen.add(uid);
    JobEntry entry = jobs.get(uid);
    if (entry != null) {
      entry.freeze();
    }
  }

  /** Whether a job is frozen; a cancellation that was read still ends it. */
  boolean isFrozen(String uid) {
    JobEntry entry = jobs.get(uid);
    return frozen.contains(uid) && !(entry != null && entry.aborted);
  }

  JobEntry get(String uid) {
    return jobs.get(uid);
  }

  Collection<JobEntry> active() {
    return active.values();
  }

  int size() {
    return jobs.size();
  }

  /** Takes a job that the state service holds; a known one stays as it is. */
  JobEntry add(Job job, long order) {
    JobEntry known = jobs.get(job.uid());
    if (known != null) {
      return known;
    }
    Backoff backoff = new Backoff(context.stepMs() / 5, context.stepMs() * 2);
    TaskProfile profile = profiles.computeIfAbsent(TaskProfile.of(job), s -> s);
    JobEntry entry = new JobEntry(job, profile, order, context.nowMs, backoff);
    jobs.put(job.uid(), entry);
    active.put(job.uid(), entry);
    return entry;
  }

  /** Takes the reservations of a rebuilt job. */
  void restore(JobEntry entry, Record.Alloc alloc, long version, Fleet fleet) {
    entry.committed = alloc;
    entry.allocVersion = version;
    entry.lastAttempt = alloc.lastAttempt();
    for (Record.Range range : alloc.finished()) {
      entry.finished.set(range.from(), range.to() + 1);
      entry.waiting.clear(range.from(), range.to() + 1);
    }
    for (Record.Span span : alloc.reserved()) {
      MachineEntry machine = fleet.known(span.machine());
      for (int index = span.from(); index <= span.to(); index++) {
        Reservation p = new Reservation(entry, index, span.attempt(), machine);
        p.committed = true;
        entry.placed.put(index, p);
        entry.waiting.clear(index);
        machine.add(p);
        machine.urgent |= entry.aborted;
      }
    }
    if (alloc.done()) {
      active.remove(entry.job.uid());
    } else {
      // A cancellation taken while rebuilding may have retired the job before its reservations
      // were read; they count for the quota until they are settled.
      active.put(entry.job.uid(), entry);
      retireIfOver(entry);
    }
  }

  /**
   * Notes which images the machines have been given, in the order in which the jobs were last
   * written. The alloc record of a cancelled service keeps its reservations, so a new leader knows
   * more than what runs now: without this, replicas went to machines that had to fetch first.
   */
  void noteImages(Fleet fleet) {
    List<JobEntry> byAge = new ArrayList<>(jobs.values());
    byAge.sort(Comparator.comparingLong(entry -> entry.allocVersion));
    for (JobEntry entry : byAge) {
      for (Record.Span span : entry.committed.reserved()) {
        MachineEntry m = fleet.get(span.machine());
        if (m != null && entry.job.image() != null) {
          MachineType type = fleet.type(m);
          double cacheGb = type == null ? Double.MAX_VALUE : type.cacheGb();
          m.touchImage(entry.job.image(), entry.job.imageGb(), cacheGb);
        }
      }
    }
  }

  void markAborted(String uid) {
    JobEntry entry = jobs.get(uid);
    if (entry == null || entry.aborted) {
      return;
    }
    entry.aborted = true;
    entry.waiting.clear();
    entry.uncommitted.clear();
    for (Reservation p : List.copyOf(entry.placed.values())) {
      if (p.committed) {
        p.machine.urgent = true;
      } else if (!entry.writing) {
        drop(p);
      }
    }
    retireIfOver(entry);
  }

  private void retireIfOver(JobEntry entry) {
    if (entry.over() && entry.placed.isEmpty() && !entry.writing) {
      active.remove(entry.job.uid());
    }
  }

  /** A reservation is settled: the task has ended, or surely is not on its machine any more. */
  void release(Reservation p, boolean done) {
    JobEntry entry = p.job;
    if (entry.placed.get(p.index) != p) {
      return;
    }
    drop(p);
    if (entry.aborted) {
      retireIfOver(entry);
      return;
    }
    if (done) {
      entry.finished.set(p.index);
      entry.failures = 0;
    } else {
      entry.waiting.set(p.index);
      if (entry.job.kind() == JobKind.GANG) {
        // The others can't go on without it; they start again together.
        for (Reservation other : entry.placed.values()) {
          other.stopping = true;
          other.machine.urgent = true;
        }
      }
    }
    entry.uncommitted.add(p);
    entry.dirty = true;
  }

  /** Takes back a proposal of this round. */
  void withdraw(Reservation p) {
    drop(p);
    p.job.waiting.set(p.index);
  }

  private static void drop(Reservation p) {
    p.job.placed.remove(p.index);
    p.machine.remove(p);
  }

  /**
   * Whether a worker must keep this attempt in its reports, because what is committed does not say
   * yet how it ended. A cleared attempt would start anew on a late repeat of its command.
   */
  boolean mustKeep(JobEntry entry, long attempt, int index) {
    for (Reservation p : entry.uncommitted) {
      if (p.index == index && p.attempt == attempt) {
        return true;
      }
    }
    return false;
  }

  Reservation propose(JobEntry entry, int index, long attempt, MachineEntry machine) {
    Reservation p = new Reservation(entry, index, attempt, machine);
    entry.lastAttempt = attempt;
    entry.placed.put(index, p);
    entry.waiting.clear(index);
    machine.add(p);
    entry.dirty = true;
    return p;
  }

  /** Writes what changed of a job, in one conditional write. */
  void write(JobEntry entry, Urgency urgency) {
    Record.Alloc record = entry.toRecord();
    List<Reservation> proposed = new ArrayList<>();
    for (Reservation p : entry.placed.values()) {
      if (!p.committed) {
        proposed.add(p);
      }
    }
    List<Reservation> settled = List.copyOf(entry.uncommitted);
    entry.dirty = false;
    entry.writing = true;
    entry.ending = record.done();
    entry.writtenMs = context.nowMs;
    send(entry, record, proposed, settled, urgency);
  }

  private void send(
      JobEntry entry,
      Record.Alloc record,
      List<Reservation> proposed,
      List<Reservation> settled,
      Urgency urgency) {
    String uid = entry.job.uid();
    if (jobs.get(uid) != entry || !term.leading()) {
      return;
    }
    gate.send(
        new StateOp.Transact(
            ImmutableList.of(
                term.condition(),
                new StateOp.Condition(Keys.alloc(uid), entry.allocVersion),
                new StateOp.Condition(Keys.abort(uid), 0)),
            ImmutableList.of(StateOp.Change.put(Keys.alloc(uid), record))),
        urgency,
        reply -> {
          if (jobs.get(uid) != entry) {
            return;
          }
          if (reply instanceof Reply.Committed committed) {
            applied(entry, record, committed.revision(), proposed, settled);
          } else if (reply instanceof Reply.Conflict conflict) {
            conflict(entry, conflict, record, proposed, settled, urgency);
          } else {
            // It may still apply: the same write under the same conditions is safe to repeat.
            repeat(entry, () -> send(entry, record, proposed, settled, urgency));
          }
        });
  }

  private final List<Runnable> repeats = new ArrayList<>();

  private void repeat(JobEntry entry, Runnable again) {
    entry.writeNotBeforeMs = context.nowMs + entry.writeBackoff.next(context.random);
    repeats.add(
        new Runnable() {
          @Override
          public void run() {
            if (context.nowMs < entry.writeNotBeforeMs) {
              repeats.add(this);
            } else {
              again.run();
            }
          }
        });
  }

  void tick() {
    if (!repeats.isEmpty()) {
      List<Runnable> due = new ArrayList<>(repeats);
      repeats.clear();
      due.forEach(Runnable::run);
    }
  }

  private void applied(
      JobEntry entry,
      Record.Alloc record,
      long version,
      List<Reservation> proposed,
      List<Reservation> settled) {
    entry.writing = false;
    entry.ending = false;
    entry.writeBackoff.reset();
    entry.committed = record;
    entry.allocVersion = version;
    for (Reservation p : proposed) {
      p.committed = true;
      if (entry.placed.get(p.index) == p) {
        p.machine.urgent = true;
      }
    }
    entry.uncommitted.removeAll(settled);
    if (record.done()) {
      LOG.debug("job {} is done", entry.job.uid());
    }
    if (entry.aborted) {
      dropUnsent(entry);
    }
    retireIfOver(entry);
  }

  private void conflict(
      JobEntry entry,
      Reply.Conflict conflict,
      Record.Alloc record,
      List<Reservation> proposed,
      List<Reservation> settled,
      Urgency urgency) {
    String uid = entry.job.uid();
    if (conflict.failed().contains(Keys.LEADER)) {
      term.conditionFailed();
      return;
    }
    if (conflict.failed().contains(Keys.alloc(uid))) {
      // Only the leader writes this key, so an earlier copy of this write has been applied.
      gate.send(
          new StateOp.Get(Keys.alloc(uid)),
          Urgency.START,
          reply -> {
            if (jobs.get(uid) != entry) {
              return;
            }
            if (!(reply instanceof Reply.Value value)) {
              repeat(entry, () -> conflict(entry, conflict, record, proposed, settled, urgency));
            } else if (record.equals(value.record())) {
              applied(entry, record, value.version(), proposed, settled);
              if (conflict.failed().contains(Keys.abort(uid))) {
                markAborted(uid);
              }
            } else {
              LOG.error("alloc of {} is not what this leader wrote", uid);
              term.resign(0);
            }
          });
      return;
    }
    entry.writing = false;
    entry.ending = false;
    markAborted(uid);
    dropUnsent(entry);
    retireIfOver(entry);
  }

  /** Reservations that were never committed, of a job that was cancelled meanwhile. */
  private void dropUnsent(JobEntry entry) {
    for (Reservation p : List.copyOf(entry.placed.values())) {
      if (!p.committed) {
        drop(p);
      }
    }
  }
}
