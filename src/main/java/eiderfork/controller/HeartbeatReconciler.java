package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.model.Attempt;
import eiderfork.model.MachineType;
import eiderfork.model.TaskStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Brings reservations up to what workers report, and settles those that a report proves over. */
final class HeartbeatReconciler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatReconciler.class);

  /** Jobs that must fail on a machine, and on no other, to condemn it. */
  private static final int FAULTY_ERRORS = 2;

  /** The same where other work goes on beside them. */
  private static final int FAULTY_ERRORS_BESIDE_WORK = 4;

  private final ControllerContext context;
  private final LeaderElection term;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final Runnable kick;

  HeartbeatReconciler(
      ControllerContext context,
      LeaderElection term,
      JobRegistry jobs,
      MachineRegistry fleet,
      Runnable kick) {
    this.context = context;
    this.term = term;
    this.jobs = jobs;
    this.fleet = fleet;
    this.kick = kick;
  }

  /** Brings the reservations up to what the newest report shows. */
  void reconcile(MachineState m) {
    if (m.report() == null) {
      return;
    }
    Map<Attempt, TaskStatus> shown = new HashMap<>();
    for (TaskStatus task : m.tasks()) {
      shown.put(task.attempt(), task);
    }
    for (Reservation p : List.copyOf(m.placed)) {
      TaskStatus task = shown.get(p.id());
      if (task == null) {
        absent(m, p);
      } else if (task.ended()) {
        ended(m, p, task);
      } else {
        if (task.state() == TaskStatus.State.RUNNING && p.runningSinceMs == 0) {
          p.runningSinceMs = context.nowMs;
          // A new leader learns from what runs which images a machine has.
          noteImage(m, p);
          m.fetchedAtMs.put(p.job.job.image(), context.nowMs);
        }
        if (task.state() == TaskStatus.State.FETCHING
            && !m.fetchedAtMs.containsKey(p.job.job.image())) {
          m.images.remove(p.job.job.image());
          noteImage(m, p);
        }
        p.seen = task.state();
        if (p.job.gang != null) {
          reconcileGang(m, p);
        } else if (p.seen == TaskStatus.State.SAVING && context.settings.operator().lending()) {
          reconcileSave(p);
        }
      }
    }
  }

  /**
   * A task that saves was told to stop, if not by this leader then by an older one. Without this a
   * new leader would take it for one that goes on, and stop another in its stead.
   */
  private void reconcileSave(Reservation p) {
    p.seenSaving(context.nowMs);
    if (p.wanted()) {
      p.stop();
      jobs.changed(p.job);
    }
  }

  private void reconcileGang(MachineState m, Reservation p) {
    if (p.seen == TaskStatus.State.SAVING && p.wanted()) {
      // An older leader has begun to stop the gang; tasks that are not told in time lose the save.
      p.job.gang.save();
      jobs.changed(p.job);
    } else if (m.report().noticeS() != null && p.seen == TaskStatus.State.RUNNING && p.wanted()) {
      p.job.gang.machineNoticed(m.report().noticeS());
      jobs.changed(p.job);
    }
  }

  private void absent(MachineState m, Reservation p) {
    if (!p.committed) {
      return;
    }
    boolean surely =
        m.report().session() > p.sentSession && p.sentSession > 0
            || m.report().token() > Math.max(p.sentToken, term.firstToken() - 1);
    if (!surely) {
      if ((!p.wanted() || p.seen != null) && p.sentToken >= m.token) {
        // Outdates the unanswered start, so that its absence can be believed.
        raise(m);
      }
      return;
    }
    if (!p.wanted() || p.seen != null) {
      jobs.release(p, false);
      kick.run();
    }
  }

  private void ended(MachineState m, Reservation p, TaskStatus task) {
    JobState job = p.job;
    switch (task.cause()) {
      case DONE -> {
        m.errors.clear();
        m.confirmedErrors.clear();
        confirmBlame(m, job);
        jobs.release(p, true);
      }
      case ERROR -> {
        LOG.info("{} failed on {}", p.id(), m.name);
        job.failures.failed(p, job.nextAttempt() - 1, context.nowMs);
        blame(m, job);
        jobs.release(p, false);
      }
      case NO_ROOM, BUSY, UNKNOWN -> {
        LOG.info("{} refused on {}: {}", p.id(), m.name, task.cause());
        job.failures.refused(context.nowMs);
        jobs.release(p, false);
      }
      case STOPPED, PEERS, INCOMPLETE -> jobs.release(p, false);
    }
    kick.run();
  }

  /** Whether the machine is to blame for the failure, or the job. */
  private void blame(MachineState m, JobState job) {
    if (job.failures.isJobAtFault()) {
      // It fails everywhere: no machine is to blame for it.
      forgive(job);
      return;
    }
    m.errors.add(job.job.uid());
    condemnIfFaulty(m);
  }

  /** A job ends well here: where it failed before, the machine is to blame. */
  private void confirmBlame(MachineState m, JobState job) {
    if (job.failures.isJobAtFault() || job.failures.isSuspected()) {
      return;
    }
    for (String name : job.failures.machines()) {
      MachineState failed = fleet.get(name);
      if (failed != null && failed != m && failed.errors.contains(job.job.uid())) {
        failed.confirmedErrors.add(job.job.uid());
        condemnIfFaulty(failed);
      }
    }
  }

  /**
   * Two jobs with a mistake may come to a good machine first. Where other work goes on, all that
   * runs there is given up only if they ended well elsewhere, or once more jobs have failed.
   */
  private static void condemnIfFaulty(MachineState m) {
    int needed = othersGoOn(m) ? FAULTY_ERRORS_BESIDE_WORK : FAULTY_ERRORS;
    boolean faulty = m.errors.size() >= needed || m.confirmedErrors.size() >= FAULTY_ERRORS;
    if (faulty && !m.faulty) {
      LOG.info("machine {} is faulty", m.name);
      m.faulty = true;
    }
  }

  private static boolean othersGoOn(MachineState m) {
    for (Reservation p : m.placed) {
      if (p.seen == TaskStatus.State.RUNNING && !m.errors.contains(p.job.job.uid())) {
        return true;
      }
    }
    return false;
  }

  private void forgive(JobState job) {
    for (String name : job.failures.machines()) {
      MachineState other = fleet.get(name);
      if (other != null) {
        other.errors.remove(job.job.uid());
        other.confirmedErrors.remove(job.job.uid());
      }
    }
  }

  /** Raises the token, so that no unanswered command is executed any more. */
  void raise(MachineState m) {
    m.token = Math.max(m.token, term.firstToken()) + 1;
    m.setUrgent();
  }

  /** The machine is given this task's image, or shows that it has it. */
  void noteImage(MachineState m, Reservation p) {
    MachineType type = fleet.type(m);
    String image = p.job.job.image();
    if (type == null || image == null) {
      return;
    }
    if (!m.images.containsKey(image)) {
      long fetchMs = (long) (1000 * p.job.job.imageGb() / type.fetchGbPerS());
      m.fetchedAtMs.put(image, context.nowMs + fetchMs);
    }
    m.touchImage(image, p.job.job.imageGb(), type.cacheGb());
  }
}
