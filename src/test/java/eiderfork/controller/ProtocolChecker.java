package eiderfork.controller;

import eiderfork.controller.message.UserResponse;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import eiderfork.model.Machine;
import eiderfork.model.Resources;
import eiderfork.model.TaskId;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks a simulated cluster against the protocol's rules from outside. It shares no code with the
 * controller: it sees only which tasks machines run and which responses users get.
 */
final class ProtocolChecker {
  private final Map<String, Team> teams;
  private final long cancelDeadlineMs;
  private final Map<String, Job> submitted = new HashMap<>();
  private final Set<String> refusedJobs = new HashSet<>();
  private final Set<String> acceptedJobs = new HashSet<>();
  private final Map<String, Phase> finalPhases = new HashMap<>();
  private final Set<String> cancellationRequests = new HashSet<>();
  private final Map<String, Long> cancellationConfirmedMs = new HashMap<>();
  private final Map<TaskId, Map<String, Machine>> machinesByTask = new HashMap<>();

  /** Tasks that ran past the deadline of their cancellation; each is reported once. */
  private final Set<TaskId> overdueTasks = new HashSet<>();

  private final Map<String, Set<Integer>> completedIndices = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  int startCount;

  /** The number of responses with status 200 or 404. */
  int answeredRequests;

  /** The number of task starts after their job's cancellation was confirmed to a user. */
  int startsAfterCancellation;

  ProtocolChecker(Map<String, Team> teams, long cancelDeadlineMs) {
    this.teams = teams;
    this.cancelDeadlineMs = cancelDeadlineMs;
  }

  private void addViolation(String rule, Object detail) {
    violations.add(rule + ": " + detail);
  }

  void recordSubmission(Job job) {
    submitted.put(job.uid(), job);
  }

  void recordCancellation(String uid) {
    cancellationRequests.add(uid);
  }

  /**
   * The state of a job already reported to users when one of them sends a request; its response
   * must not report an older one.
   */
  record KnownState(boolean isAccepted, Phase finalPhase) {}

  KnownState knownState(String uid) {
    return new KnownState(acceptedJobs.contains(uid), finalPhases.get(uid));
  }

  /**
   * Checks a response to a user; returns whether it is the first to report the job as accepted or
   * in a final phase.
   */
  boolean checkResponse(
      long nowMs, String uid, UserResponse response, boolean isSubmission, KnownState known) {
    int status = response.status();
    answeredRequests += status == 200 || status == 404 ? 1 : 0;
    if (status == 404 && known.isAccepted) {
      addViolation("forgotten", uid);
    }
    if (isSubmission && (status == 400 || status == 422) && known.isAccepted) {
      addViolation("forgotten", uid + " resubmission got " + status);
    }
    if (isSubmission && status == 422) {
      refusedJobs.add(uid);
    }
    if (status != 200 && status != 201) {
      return false;
    }
    if (!submitted.containsKey(uid)) {
      addViolation("invented", uid);
      return false;
    }
    boolean isNews = acceptedJobs.add(uid);
    Phase phase = response.job().phase();
    isNews |= (phase == Phase.DONE || phase == Phase.ABORTED) && !finalPhases.containsKey(uid);
    if (known.finalPhase != null && known.finalPhase != phase) {
      addViolation("went_back", uid + " from " + known.finalPhase + " to " + phase);
    }
    if (phase == Phase.ABORTED) {
      if (!cancellationRequests.contains(uid)) {
        addViolation("went_back", uid + " cancelled without a request");
      }
      cancellationConfirmedMs.putIfAbsent(uid, nowMs);
    }
    if (phase == Phase.DONE
        && completedIndices.getOrDefault(uid, Set.of()).size() < submitted.get(uid).tasks()) {
      addViolation("not_done", uid);
    }
    if (phase == Phase.DONE || phase == Phase.ABORTED) {
      finalPhases.put(uid, phase);
    }
    return isNews;
  }

  /** Records that a task has its image on a machine and starts. */
  void recordStart(long nowMs, TaskId task, Machine machine) {
    startCount++;
    Job job = submitted.get(task.jobUid());
    if (job == null) {
      addViolation("wrong_place", task + " of an unknown job");
      return;
    }
    Map<String, Machine> machines = machinesByTask.computeIfAbsent(task, key -> new HashMap<>());
    if (!machines.isEmpty()) {
      addViolation("ran_twice", task + " on " + machines.keySet() + " and " + machine.name());
    }
    if (!job.allowsType(machine.type())
        || !job.allowsZone(machine.zone())
        || (machine.spot() && !job.spotAllowed())) {
      addViolation("wrong_place", task + " on " + machine);
    }
    machines.put(machine.name(), machine);
    checkZones(task, job, machine);
    checkTeamLimit(job);
    checkCancellationDeadline(nowMs, task);
    if (cancellationConfirmedMs.containsKey(task.jobUid())) {
      startsAfterCancellation++;
    }
  }

  private void checkZones(TaskId task, Job job, Machine machine) {
    Map<String, Integer> tasksByZone = new HashMap<>();
    machinesByTask.forEach(
        (other, machines) -> {
          if (other.jobUid().equals(job.uid())) {
            machines
                .values()
                .forEach(usedMachine -> tasksByZone.merge(usedMachine.zone(), 1, Integer::sum));
          }
        });
    if (job.singleZone() && tasksByZone.size() > 1) {
      addViolation("wrong_place", task + " outside the zone of its job");
    }
    if (job.spreadZones() && tasksByZone.get(machine.zone()) > (job.tasks() + 1) / 2) {
      addViolation("wrong_place", task + " exceeds half of its job in one zone");
    }
  }

  private void checkTeamLimit(Job job) {
    Resources used = Resources.NONE;
    for (Map.Entry<TaskId, Map<String, Machine>> entry : machinesByTask.entrySet()) {
      Job spec = submitted.get(entry.getKey().jobUid());
      if (spec.team().equals(job.team())) {
        used = used.plus(spec.taskResources().times(entry.getValue().size()));
      }
    }
    Team team = teams.get(job.team());
    if ((team.maxCpus() > 0 && used.cpus() > team.maxCpus() + 1e-6)
        || (team.maxGpus() > 0 && used.gpus() > team.maxGpus() + 1e-6)) {
      addViolation("quota", job.team() + " uses " + used);
    }
  }

  /** Records that the task no longer runs on the machine. */
  void recordEnd(TaskId task, Machine machine) {
    Map<String, Machine> machines = machinesByTask.get(task);
    if (machines != null) {
      machines.remove(machine.name());
      if (machines.isEmpty()) {
        machinesByTask.remove(task);
      }
    }
  }

  void recordCompletion(TaskId task) {
    completedIndices.computeIfAbsent(task.jobUid(), key -> new HashSet<>()).add(task.index());
  }

  /** Checks that tasks of cancelled jobs end within the deadline; called at each tick. */
  void checkCancelledTasks(long nowMs) {
    machinesByTask.keySet().forEach(task -> checkCancellationDeadline(nowMs, task));
  }

  private void checkCancellationDeadline(long nowMs, TaskId task) {
    Long confirmedMs = cancellationConfirmedMs.get(task.jobUid());
    if (confirmedMs != null && nowMs - confirmedMs > cancelDeadlineMs && overdueTasks.add(task)) {
      addViolation("ran_cancelled", task + " " + (nowMs - confirmedMs) + " ms after");
    }
  }

  /** Returns the resources of a team's tasks that run now. */
  Resources usedResources(String team) {
    Resources used = Resources.NONE;
    for (Map.Entry<TaskId, Map<String, Machine>> entry : machinesByTask.entrySet()) {
      Job spec = submitted.get(entry.getKey().jobUid());
      if (spec != null && spec.team().equals(team)) {
        used = used.plus(spec.taskResources().times(entry.getValue().size()));
      }
    }
    return used;
  }

  /** Returns whether a team has running tasks of arrays or gangs. */
  boolean runsBatchWork(String team) {
    return machinesByTask.keySet().stream()
        .map(task -> submitted.get(task.jobUid()))
        .anyMatch(
            spec -> spec != null && spec.team().equals(team) && spec.kind() != JobKind.SERVICE);
  }

  /**
   * Returns the resources of a team's accepted tasks that are neither completed nor cancelled. A
   * waiting gang that does not fit into the unused guarantee is left out, because it can't run in
   * part.
   */
  Resources requestedResources(String team) {
    double unusedGuaranteedGpus = teams.get(team).guaranteedGpus() - usedResources(team).gpus();
    Resources requested = Resources.NONE;
    for (String uid : acceptedJobs) {
      Job spec = submitted.get(uid);
      boolean isTooLarge =
          spec.kind() == JobKind.GANG
              && runningTasks(uid) == 0
              && spec.taskResources().gpus() * spec.tasks() > unusedGuaranteedGpus;
      if (spec.team().equals(team)
          && !isTooLarge
          && !cancellationRequests.contains(uid)
          && !finalPhases.containsKey(uid)) {
        requested = requested.plus(spec.taskResources().times(spec.tasks() - completedTasks(uid)));
      }
    }
    return requested;
  }

  /** Returns the fewest GPUs that another task, or whole gang, of a team needs to start. */
  double smallestWaitingGpus(String team) {
    double smallest = Double.MAX_VALUE;
    for (String uid : acceptedJobs) {
      Job spec = submitted.get(uid);
      boolean isOver = cancellationRequests.contains(uid) || finalPhases.containsKey(uid);
      long waiting = spec.tasks() - completedTasks(uid) - runningTasks(uid);
      if (spec.team().equals(team) && !isOver && waiting > 0) {
        int tasksTogether = spec.kind() == JobKind.GANG ? spec.tasks() : 1;
        smallest = Math.min(smallest, spec.taskResources().gpus() * tasksTogether);
      }
    }
    return smallest;
  }

  /** Returns whether a user has requested the cancellation of the job. */
  boolean wasCancellationRequested(String uid) {
    return cancellationRequests.contains(uid);
  }

  boolean allTasksCompleted(String uid) {
    Job job = submitted.get(uid);
    return job.kind() != JobKind.SERVICE
        && completedIndices.getOrDefault(uid, Set.of()).size() == job.tasks();
  }

  /** Returns the number of a job's tasks that have completed. */
  int completedTasks(String uid) {
    return completedIndices.getOrDefault(uid, Set.of()).size();
  }

  long runningTasks(String uid) {
    return machinesByTask.keySet().stream().filter(task -> task.jobUid().equals(uid)).count();
  }

  /** Returns the number of running tasks of all jobs. */
  long totalRunningTasks() {
    return machinesByTask.size();
  }

  /** Returns whether a submission of the job was rejected as one that can never run. */
  boolean wasRefused(String uid) {
    return refusedJobs.contains(uid);
  }

  boolean wasAccepted(String uid) {
    return acceptedJobs.contains(uid);
  }

  Phase finalPhase(String uid) {
    return finalPhases.get(uid);
  }
}
