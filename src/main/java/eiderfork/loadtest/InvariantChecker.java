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
 * Checks the protocol's invariants from outside: it observes what a cell's workers do and which
 * responses its users get, but not the controllers. Times are milliseconds of one steady clock.
 */
final class InvariantChecker {
  /** An invariant of the protocol. */
  enum Rule {
    /** A task started on one machine while it was running on another. */
    RAN_TWICE,
    /** A team's tasks used more than its limit. */
    QUOTA,
    /** An accepted job was later reported as unknown or rejected. */
    FORGOTTEN,
    /** A job left its final phase, or was aborted although no user cancelled it. */
    WENT_BACK,
    /** A task of a cancelled job ran or started after the cancellation deadline. */
    RAN_CANCELLED,
    /** A job was reported as done before all of its tasks were. */
    NOT_DONE,
    /** A status was reported for a job that no user submitted. */
    INVENTED
  }

  /** A violated invariant with a description of the violation. */
  record Breach(Rule rule, String what) {}

  private static final class TrackedJob {
    final Job job;
    final BitSet finished = new BitSet();
    final Set<TaskId> running = new HashSet<>();
    boolean accepted;
    boolean cancelRequested;
    JobStatus.Phase finalPhase;
    long finalPhaseMs;

    TrackedJob(Job job) {
      this.job = job;
    }
  }

  private static final int MAX_KEPT_BREACHES = 100;

  private final long cancelMs;
  private final Map<String, Team> teams;
  private final Map<String, TrackedJob> jobs = new HashMap<>();
  private final Map<TaskId, String> machineByTask = new HashMap<>();
  private final Map<String, Resources> usageByTeam = new HashMap<>();
  private final Map<String, TrackedJob> cancelled = new HashMap<>();
  private final List<Breach> breaches = new ArrayList<>();
  private long breachCount;

  InvariantChecker(long cancelMs, Map<String, Team> teams) {
    this.cancelMs = cancelMs;
    this.teams = teams;
  }

  /** The first breaches detected, at most {@value #MAX_KEPT_BREACHES}. */
  List<Breach> breaches() {
    return List.copyOf(breaches);
  }

  long breachCount() {
    return breachCount;
  }

  private void recordBreach(Rule rule, String what) {
    breachCount++;
    if (breaches.size() < MAX_KEPT_BREACHES) {
      breaches.add(new Breach(rule, what));
    }
  }

  // What users send and receive.

  void submitted(Job job) {
    jobs.putIfAbsent(job.uid(), new TrackedJob(job));
  }

  /** Records that a user received the acceptance of a job. */
  void accepted(String uid) {
    jobs.get(uid).accepted = true;
  }

  /** Records that a repeated submission or a query was rejected with a final error. */
  void permanentlyRejected(String uid, boolean acceptedBefore) {
    if (acceptedBefore) {
      recordBreach(Rule.FORGOTTEN, uid + " was denied after it had been accepted");
    }
  }

  boolean isAccepted(String uid) {
    TrackedJob job = jobs.get(uid);
    return job != null && job.accepted;
  }

  void cancelRequested(String uid) {
    jobs.get(uid).cancelRequested = true;
  }

  /** Checks a status received in response to a request sent at {@code requestedMs}. */
  void statusReceived(JobStatus status, long requestedMs, long nowMs) {
    TrackedJob job = jobs.get(status.uid());
    if (job == null) {
      recordBreach(Rule.INVENTED, status.uid() + " is " + status.phase());
      return;
    }
    job.accepted = true;
    if (job.finalPhase != null
        && requestedMs >= job.finalPhaseMs
        && status.phase() != job.finalPhase) {
      recordBreach(
          Rule.WENT_BACK, status.uid() + " was " + job.finalPhase + ", is " + status.phase());
    }
    if (status.phase() == JobStatus.Phase.DONE && job.finished.cardinality() < job.job.tasks()) {
      recordBreach(
          Rule.NOT_DONE, status.uid() + " has " + job.finished.cardinality() + " tasks done");
    }
    if (status.phase() == JobStatus.Phase.ABORTED && !job.cancelRequested) {
      recordBreach(Rule.WENT_BACK, status.uid() + " was cancelled by nobody");
    }
    if (status.phase().isFinal() && job.finalPhase == null) {
      job.finalPhase = status.phase();
      job.finalPhaseMs = nowMs;
      if (status.phase() == JobStatus.Phase.ABORTED) {
        cancelled.put(status.uid(), job);
      }
    }
  }

  // What workers do.

  void started(String machine, Attempt attempt, long nowMs) {
    TaskId task = attempt.task();
    TrackedJob job = jobs.get(task.jobUid());
    String previousMachine = machineByTask.put(task, machine);
    if (previousMachine != null) {
      recordBreach(
          Rule.RAN_TWICE, task + " started on " + machine + " while on " + previousMachine);
      return;
    }
    job.running.add(task);
    if (job.finalPhase == JobStatus.Phase.ABORTED && nowMs - job.finalPhaseMs > cancelMs) {
      recordBreach(Rule.RAN_CANCELLED, task + " started on " + machine);
    }
    Resources used = usageByTeam.merge(job.job.team(), job.job.taskResources(), Resources::plus);
    if (!teams.get(job.job.team()).isWithinLimit(used)) {
      recordBreach(Rule.QUOTA, "team " + job.job.team() + " uses " + used);
    }
  }

  /** Records that an attempt left its machine; {@code done} is true if it completed. */
  void stopped(String machine, Attempt attempt, boolean done) {
    TaskId task = attempt.task();
    TrackedJob job = jobs.get(task.jobUid());
    if (done) {
      job.finished.set(task.index());
    }
    if (machine.equals(machineByTask.get(task))) {
      machineByTask.remove(task);
      job.running.remove(task);
      usageByTeam.merge(job.job.team(), job.job.taskResources(), Resources::minus);
    }
  }

  boolean isFinished(TaskId task) {
    TrackedJob job = jobs.get(task.jobUid());
    return job != null && job.finished.get(task.index());
  }

  /** Checks for tasks of cancelled jobs that still run after the cancellation deadline. */
  void tick(long nowMs) {
    cancelled
        .values()
        .removeIf(
            job -> {
              if (nowMs - job.finalPhaseMs <= cancelMs) {
                return false;
              }
              if (!job.running.isEmpty()) {
                recordBreach(Rule.RAN_CANCELLED, job.running + " still run");
              }
              return true;
            });
  }
}
