package eiderfork.loadtest;

import eiderfork.model.Attempt;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;
import eiderfork.model.Resources;
import eiderfork.model.TaskId;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds a cell's workers and users against the protocol's rules. It sees what workers did and what
 * users were told, and nothing of the controllers. Times are in milliseconds of one steady clock.
 */
final class InvariantChecker {
  /** A rule that can be broken. */
  enum Rule {
    /** A task started on one machine while it was on another. */
    RAN_TWICE,
    /** A team's tasks used more than its limit. */
    QUOTA,
    /** An accepted job was not known later. */
    FORGOTTEN,
    /** A job that was over was called something else later, or cancelled by nobody. */
    WENT_BACK,
    /** A task of a cancelled job was on a machine after the time that it had to end. */
    RAN_CANCELLED,
    /** A job was called done before all of its tasks were. */
    NOT_DONE,
    /** A job that nobody submitted was known. */
    INVENTED
  }

  /** A rule that was broken, and by what. */
  record Breach(Rule rule, String what) {}

  private static final class Known {
    final Job job;
    final BitSet finished = new BitSet();
    final Set<TaskId> running = new HashSet<>();
    boolean accepted;
    boolean cancelAsked;
    JobStatus.Phase over;
    long overMs;

    Known(Job job) {
      this.job = job;
    }
  }

  private static final int MOST_KEPT = 100;

  private final long cancelMs;
  private final Map<String, Team> teams;
  private final Map<String, Known> jobs = new HashMap<>();
  private final Map<TaskId, String> machineOf = new HashMap<>();
  private final Map<String, Resources> usedBy = new HashMap<>();
  private final Map<String, Known> cancelled = new HashMap<>();
  private final List<Breach> breaches = new ArrayList<>();
  private long breachCount;

  InvariantChecker(long cancelMs, Map<String, Team> teams) {
    this.cancelMs = cancelMs;
    this.teams = teams;
  }

  /** The first breaches that were noticed. */
  List<Breach> breaches() {
    return List.copyOf(breaches);
  }

  long breachCount() {
    return breachCount;
  }

  private void note(Rule rule, String what) {
    breachCount++;
    if (breaches.size() < MOST_KEPT) {
      breaches.add(new Breach(rule, what));
    }
  }

  // What users do and are told.

  void submitting(Job job) {
    jobs.putIfAbsent(job.uid(), new Known(job));
  }

  /** A user was told that the job is accepted. */
  void accepted(String uid) {
    jobs.get(uid).accepted = true;
  }

  /** A repeated submission or a question that was asked at {@code askedMs} was refused for good. */
  void denied(String uid, boolean acceptedBefore) {
    if (acceptedBefore) {
      note(Rule.FORGOTTEN, uid + " was denied after it had been accepted");
    }
  }

  boolean isAccepted(String uid) {
    Known known = jobs.get(uid);
    return known != null && known.accepted;
  }

  void cancelling(String uid) {
    jobs.get(uid).cancelAsked = true;
  }

  /** A user who asked at {@code requestedMs} was told this. */
  void told(JobStatus status, long requestedMs, long nowMs) {
    Known known = jobs.get(status.uid());
    if (known == null) {
      note(Rule.INVENTED, status.uid() + " is " + status.phase());
      return;
    }
    known.accepted = true;
    if (known.over != null && requestedMs >= known.overMs && status.phase() != known.over) {
      note(Rule.WENT_BACK, status.uid() + " was " + known.over + ", is " + status.phase());
    }
    if (status.phase() == JobStatus.Phase.DONE
        && known.finished.cardinality() < known.job.tasks()) {
      note(Rule.NOT_DONE, status.uid() + " has " + known.finished.cardinality() + " tasks done");
    }
    if (status.phase() == JobStatus.Phase.ABORTED && !known.cancelAsked) {
      note(Rule.WENT_BACK, status.uid() + " was cancelled by nobody");
    }
    if (status.phase().isFinal() && known.over == null) {
      known.over = status.phase();
      known.overMs = nowMs;
      if (status.phase() == JobStatus.Phase.ABORTED) {
        cancelled.put(status.uid(), known);
      }
    }
  }

  // What workers do.

  void started(String machine, Attempt attempt, long nowMs) {
    TaskId task = attempt.task();
    Known known = jobs.get(task.jobUid());
    String other = machineOf.put(task, machine);
    if (other != null) {
      note(Rule.RAN_TWICE, task + " started on " + machine + " while on " + other);
      return;
    }
    known.running.add(task);
    if (known.over == JobStatus.Phase.ABORTED && nowMs - known.overMs > cancelMs) {
      note(Rule.RAN_CANCELLED, task + " started on " + machine);
    }
    Resources used = usedBy.merge(known.job.team(), known.job.taskResources(), Resources::plus);
    if (!teams.get(known.job.team()).isWithinLimit(used)) {
      note(Rule.QUOTA, "team " + known.job.team() + " uses " + used);
    }
  }

  /** An attempt is not on its machine any more; {@code done} where it completed. */
  void gone(String machine, Attempt attempt, boolean done) {
    TaskId task = attempt.task();
    Known known = jobs.get(task.jobUid());
    if (done) {
      known.finished.set(task.index());
    }
    if (machine.equals(machineOf.get(task))) {
      machineOf.remove(task);
      known.running.remove(task);
      usedBy.merge(known.job.team(), known.job.taskResources(), Resources::minus);
    }
  }

  boolean isFinished(TaskId task) {
    Known known = jobs.get(task.jobUid());
    return known != null && known.finished.get(task.index());
  }

  /** Looks for tasks that should have ended by now. */
  void tick(long nowMs) {
    cancelled
        .values()
        .removeIf(
            known -> {
              if (nowMs - known.overMs <= cancelMs) {
                return false;
              }
              if (!known.running.isEmpty()) {
                note(Rule.RAN_CANCELLED, known.running + " still run");
              }
              return true;
            });
  }
}
