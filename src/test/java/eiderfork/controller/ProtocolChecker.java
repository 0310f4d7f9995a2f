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
 * Watches a world from outside and holds it to the protocol's rules. It shares no code with the
 * controller: it sees only what machines do and what users are told.
 */
final class ProtocolChecker {
  private final Map<String, Team> teams;
  private final long cancelMs;
  private final Map<String, Job> submitted = new HashMap<>();
  private final Set<String> refused = new HashSet<>();
  private final Set<String> accepted = new HashSet<>();
  private final Map<String, Phase> finals = new HashMap<>();
  private final Set<String> abortAsked = new HashSet<>();
  private final Map<String, Long> abortToldMs = new HashMap<>();
  private final Map<TaskId, Map<String, Machine>> on = new HashMap<>();

  /** Tasks that ran too long after their cancellation; each is told once. */
  private final Set<TaskId> late = new HashSet<>();

  private final Map<String, Set<Integer>> completed = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  int startCount;

  /** Questions and requests that were answered with what is so. */
  int answeredRequests;

  /** Starts of jobs whose user had been told that they are cancelled, in time or not. */
  int startsAfterCancellation;

  ProtocolChecker(Map<String, Team> teams, long cancelMs) {
    this.teams = teams;
    this.cancelMs = cancelMs;
  }

  private void breach(String rule, Object what) {
    violations.add(rule + ": " + what);
  }

  void recordSubmission(Job job) {
    submitted.put(job.uid(), job);
  }

  void recordCancellation(String uid) {
    abortAsked.add(uid);
  }

  /** What users had been told of a job when one of them asked; no later answer may be older. */
  record KnownState(boolean isAccepted, Phase finalPhase) {}

  KnownState knownState(String uid) {
    return new KnownState(accepted.contains(uid), finals.get(uid));
  }

  /** An answer arrives at a user; whether it says what no user was told before. */
  boolean checkResponse(
      long nowMs, String uid, UserResponse response, boolean submission, KnownState job) {
    int status = response.status();
    answeredRequests += status == 200 || status == 404 ? 1 : 0;
    if (status == 404 && job.isAccepted) {
      breach("forgotten", uid);
    }
    if (submission && (status == 400 || status == 422) && job.isAccepted) {
      breach("forgotten", uid + " repeated got " + status);
    }
    if (submission && status == 422) {
      refused.add(uid);
    }
    if (status != 200 && status != 201) {
      return false;
    }
    if (!submitted.containsKey(uid)) {
      breach("invented", uid);
      return false;
    }
    boolean news = accepted.add(uid);
    Phase stance = response.job().phase();
    news |= (stance == Phase.DONE || stance == Phase.ABORTED) && !finals.containsKey(uid);
    if (job.finalPhase != null && job.finalPhase != stance) {
      breach("went_back", uid + " from " + job.finalPhase + " to " + stance);
    }
    if (stance == Phase.ABORTED) {
      if (!abortAsked.contains(uid)) {
        breach("went_back", uid + " cancelled unasked");
      }
      abortToldMs.putIfAbsent(uid, nowMs);
    }
    if (stance == Phase.DONE
        && completed.getOrDefault(uid, Set.of()).size() < submitted.get(uid).tasks()) {
      breach("not_done", uid);
    }
    if (stance == Phase.DONE || stance == Phase.ABORTED) {
      finals.put(uid, stance);
    }
    return news;
  }

  /** A task has its image on a machine and starts. */
  void recordStart(long nowMs, TaskId task, Machine machine) {
    startCount++;
    Job job = submitted.get(task.jobUid());
    if (job == null) {
      breach("wrong_place", task + " of no job");
      return;
    }
    Map<String, Machine> places = on.computeIfAbsent(task, t -> new HashMap<>());
    if (!places.isEmpty()) {
      breach("ran_twice", task + " on " + places.keySet() + " and " + machine.name());
    }
    if (!job.allowsType(machine.type())
        || !job.allowsZone(machine.zone())
        || (machine.spot() && !job.spotAllowed())) {
      breach("wrong_place", task + " on " + machine);
    }
    places.put(machine.name(), machine);
    zones(task, job, machine);
    quota(job);
    late(nowMs, task);
    if (abortToldMs.containsKey(task.jobUid())) {
      startsAfterCancellation++;
    }
  }

  private void zones(TaskId task, Job job, Machine machine) {
    Map<String, Integer> tasksByZone = new HashMap<>();
    on.forEach(
        (other, places) -> {
          if (other.jobUid().equals(job.uid())) {
            places.values().forEach(m -> tasksByZone.merge(m.zone(), 1, Integer::sum));
          }
        });
    if (job.singleZone() && tasksByZone.size() > 1) {
      breach("wrong_place", task + " apart from its job");
    }
    if (job.spreadZones() && tasksByZone.get(machine.zone()) > (job.tasks() + 1) / 2) {
      breach("wrong_place", task + " makes too many in one zone");
    }
  }

  private void quota(Job job) {
    Resources used = Resources.NONE;
    for (Map.Entry<TaskId, Map<String, Machine>> e : on.entrySet()) {
      Job spec = submitted.get(e.getKey().jobUid());
      if (spec.team().equals(job.team())) {
        used = used.plus(spec.taskResources().times(e.getValue().size()));
      }
    }
    Team team = teams.get(job.team());
    if ((team.maxCpus() > 0 && used.cpus() > team.maxCpus() + 1e-6)
        || (team.maxGpus() > 0 && used.gpus() > team.maxGpus() + 1e-6)) {
      breach("quota", job.team() + " uses " + used);
    }
  }

  /** The task is off the machine. */
  void recordEnd(TaskId task, Machine machine) {
    Map<String, Machine> places = on.get(task);
    if (places != null) {
      places.remove(machine.name());
      if (places.isEmpty()) {
        on.remove(task);
      }
    }
  }

  void recordCompletion(TaskId task) {
    completed.computeIfAbsent(task.jobUid(), j -> new HashSet<>()).add(task.index());
  }

  /** To be called now and then: tasks of cancelled jobs have to be gone in time. */
  void checkCancelledTasks(long nowMs) {
    on.keySet().forEach(task -> late(nowMs, task));
  }

  private void late(long nowMs, TaskId task) {
    Long told = abortToldMs.get(task.jobUid());
    if (told != null && nowMs - told > cancelMs && late.add(task)) {
      breach("ran_cancelled", task + " " + (nowMs - told) + " ms after");
    }
  }

  /** What the tasks of a team take that are on machines now. */
  Resources usedResources(String team) {
    Resources held = Resources.NONE;
    for (Map.Entry<TaskId, Map<String, Machine>> e : on.entrySet()) {
      Job spec = submitted.get(e.getKey().jobUid());
      if (spec != null && spec.team().equals(team)) {
        held = held.plus(spec.taskResources().times(e.getValue().size()));
      }
    }
    return held;
  }

  /** Whether a team has arrays or gangs on machines. */
  boolean runsBatchWork(String team) {
    return on.keySet().stream()
        .map(task -> submitted.get(task.jobUid()))
        .anyMatch(
            spec -> spec != null && spec.team().equals(team) && spec.kind() != JobKind.SERVICE);
  }

  /**
   * What a team's users have asked for that is neither done nor cancelled. A gang that waits, and
   * would not fit into the guarantee beside what the team holds, is no part of it: a part of it
   * can't run.
   */
  Resources requestedResources(String team) {
    double left = teams.get(team).guaranteedGpus() - usedResources(team).gpus();
    Resources asked = Resources.NONE;
    for (String uid : accepted) {
      Job spec = submitted.get(uid);
      boolean tooLarge =
          spec.kind() == JobKind.GANG
              && runningTasks(uid) == 0
              && spec.taskResources().gpus() * spec.tasks() > left;
      if (spec.team().equals(team)
          && !tooLarge
          && !abortAsked.contains(uid)
          && !finals.containsKey(uid)) {
        asked = asked.plus(spec.taskResources().times(spec.tasks() - completedTasks(uid)));
      }
    }
    return asked;
  }

  /**
   * The fewest GPUs with which something more of a team could run: a task, or a gang as a whole.
   */
  double smallestWaitingGpus(String team) {
    double smallest = Double.MAX_VALUE;
    for (String uid : accepted) {
      Job spec = submitted.get(uid);
      boolean over = abortAsked.contains(uid) || finals.containsKey(uid);
      long left = spec.tasks() - completedTasks(uid) - runningTasks(uid);
      if (spec.team().equals(team) && !over && left > 0) {
        int together = spec.kind() == JobKind.GANG ? spec.tasks() : 1;
        smallest = Math.min(smallest, spec.taskResources().gpus() * together);
      }
    }
    return smallest;
  }

  /** Whether a user has asked to cancel the job. */
  boolean wasCancellationRequested(String uid) {
    return abortAsked.contains(uid);
  }

  boolean allTasksCompleted(String uid) {
    Job job = submitted.get(uid);
    return job.kind() != JobKind.SERVICE
        && completed.getOrDefault(uid, Set.of()).size() == job.tasks();
  }

  /** How many of a job's tasks have ended well. */
  int completedTasks(String uid) {
    return completed.getOrDefault(uid, Set.of()).size();
  }

  long runningTasks(String uid) {
    return on.keySet().stream().filter(task -> task.jobUid().equals(uid)).count();
  }

  /** How many tasks run, of whatever job. */
  long totalRunningTasks() {
    return on.size();
  }

  /** Whether a submission of it was refused as one that can never run. */
  boolean wasRefused(String uid) {
    return refused.contains(uid);
  }

  boolean wasAccepted(String uid) {
    return accepted.contains(uid);
  }

  Phase finalPhase(String uid) {
    return finals.get(uid);
  }
}
