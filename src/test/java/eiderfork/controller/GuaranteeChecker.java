package eiderfork.controller;

import eiderfork.model.MachineType;
import eiderfork.model.TaskStatus;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks from outside that teams get the GPUs that they are guaranteed; it reads only the tasks
 * that workers run and the requests of users. A team below its guarantee has to get it back while
 * another team exceeds its own; the time that this takes, and the causes, are recorded for each
 * minute.
 */
final class GuaranteeChecker {
  /** The cause for which a team holds less than it requests within its guarantee. */
  enum Cause {
    /** It holds its guarantee or all that it requests. */
    NONE,
    /** No other team exceeds its guarantee. */
    NOBODY_BORROWS,
    /** Borrowed and free GPUs together are too few for any of its waiting gangs or tasks. */
    TOO_LITTLE_IS_BORROWED,
    /** Its own tasks are fetching their images. */
    STARTING,
    /** A task of any team is saving its progress. */
    SAVING,
    /** Only replicas borrow; they are not preempted within the boot time of a machine. */
    REPLICAS_BORROW,
    /** A failure is in progress or less than a lease and a boot ago. */
    TROUBLE,
    /** The shortfall began less than {@link GuaranteeChecker#REACTION_S} ago. */
    REACTING,
    /** None of these. */
    UNEXPLAINED
  }

  /** A team's record of one minute: its lowest usage, its highest request and the causes. */
  static final class Minute {
    final long minute;
    final String team;
    final double guaranteed;
    double maxRequested;
    double minUsed = Double.MAX_VALUE;
    int secondsBelow;
    final Map<Cause, Integer> causes = new LinkedHashMap<>();

    Minute(long minute, String team, double guaranteed) {
      this.minute = minute;
      this.team = team;
      this.guaranteed = guaranteed;
    }

    String csv() {
      StringBuilder text = new StringBuilder();
      causes.forEach(
          (cause, seconds) -> text.append(cause).append(':').append(seconds).append(' '));
      return "%d,%s,%.0f,%.0f,%.0f,%d,%s"
          .formatted(
              minute,
              team,
              guaranteed,
              maxRequested,
              minUsed,
              secondsBelow,
              text.toString().trim());
    }
  }

  static final String CSV_HEADER =
      "minute,team,guaranteed_gpus,asked_gpus_most,held_gpus_least,seconds_below,causes";

  private static final long CHECK_INTERVAL_MS = 1000;
  private static final long MINUTE_MS = 60_000;

  /** The time of a heartbeat, a scheduling round, a write and a command, each with some slack. */
  private static final int REACTION_S = 4;

  private final SimulatedCluster cluster;
  private final long startedMs;
  private final Map<String, Integer> currentShortfallS = new LinkedHashMap<>();
  private final Map<String, Minute> currentMinutes = new LinkedHashMap<>();
  final List<Minute> minutes = new ArrayList<>();

  private final Map<String, Double> gpusPerType = new HashMap<>();

  /** The time until which a failure explains a shortfall. */
  private long disruptedUntilMs;

  /** The longest time that each team was below its guarantee while another borrowed. */
  final Map<String, Integer> longestShortfallS = new LinkedHashMap<>();

  /** Descriptions of the seconds in which a team was below its guarantee without a known cause. */
  final List<String> unexplained = new ArrayList<>();

  GuaranteeChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
    startedMs = cluster.nowMs;
    check();
  }

  /** Excuses shortfalls during a failure of this duration, and a lease and a boot after it. */
  void expectDisruption(long durationMs) {
    long leaseAndBootMs = (long) (cluster.settings.workerTimings().leaseS() * 1000) + 15_000;
    disruptedUntilMs = Math.max(disruptedUntilMs, cluster.nowMs + durationMs + leaseAndBootMs);
  }

  private void check() {
    for (Team team : cluster.settings.teams().values()) {
      check(team);
    }
    cluster.schedule(CHECK_INTERVAL_MS, this::check);
  }

  private void check(Team team) {
    double used = cluster.checker.usedResources(team.name()).gpus();
    double requested = cluster.checker.requestedResources(team.name()).gpus();
    Cause cause = cause(team, used, requested);
    boolean isShortfall =
        cause != Cause.NONE
            && cause != Cause.NOBODY_BORROWS
            && cause != Cause.TOO_LITTLE_IS_BORROWED;
    int shortfallS = isShortfall ? currentShortfallS.merge(team.name(), 1, Integer::sum) : 0;
    currentShortfallS.put(team.name(), shortfallS);
    longestShortfallS.merge(team.name(), shortfallS, Math::max);
    if (cause == Cause.UNEXPLAINED) {
      unexplained.add(
          "%d s: %s uses %.0f of %.0f guaranteed GPUs, requests %.0f, for %d s"
              .formatted(
                  (cluster.nowMs - startedMs) / 1000,
                  team.name(),
                  used,
                  team.guaranteedGpus(),
                  requested,
                  shortfallS));
    }
    record(team, used, requested, cause);
  }

  private void record(Team team, double used, double requested, Cause cause) {
    long minute = (cluster.nowMs - startedMs) / MINUTE_MS;
    Minute record = currentMinutes.get(team.name());
    if (record == null || record.minute != minute) {
      record = new Minute(minute, team.name(), team.guaranteedGpus());
      currentMinutes.put(team.name(), record);
      minutes.add(record);
    }
    record.maxRequested = Math.max(record.maxRequested, requested);
    record.minUsed = Math.min(record.minUsed, used);
    if (cause != Cause.NONE) {
      record.secondsBelow++;
      record.causes.merge(cause, 1, Integer::sum);
    }
  }

  private Cause cause(Team team, double used, double requested) {
    double missingGpus = Math.min(requested, team.guaranteedGpus()) - used;
    if (missingGpus < 1) {
      return Cause.NONE;
    }
    double borrowed = borrowedByOthers(team);
    if (borrowed <= 0) {
      return Cause.NOBODY_BORROWS;
    }
    if (borrowed + freeGpus() < cluster.checker.smallestWaitingGpus(team.name())) {
      return Cause.TOO_LITTLE_IS_BORROWED;
    }
    if (gpusInState(team.name(), TaskStatus.State.FETCHING) >= missingGpus) {
      return Cause.STARTING;
    }
    if (gpusInState(null, TaskStatus.State.CHECKPOINTING) > 0) {
      return Cause.SAVING;
    }
    if (cluster.nowMs < disruptedUntilMs) {
      return Cause.TROUBLE;
    }
    int shortfallS = currentShortfallS.getOrDefault(team.name(), 0);
    if (shortfallS < bootS() + REACTION_S && !hasBatchBorrower(team)) {
      return Cause.REPLICAS_BORROW;
    }
    return shortfallS < REACTION_S ? Cause.REACTING : Cause.UNEXPLAINED;
  }

  private double bootS() {
    return cluster.cloud.types.stream().mapToDouble(MachineType::bootS).max().orElse(0);
  }

  /** Returns whether another team that runs batch work exceeds its guarantee. */
  private boolean hasBatchBorrower(Team team) {
    for (Team other : cluster.settings.teams().values()) {
      boolean isBorrowing =
          cluster.checker.usedResources(other.name()).gpus() > other.guaranteedGpus();
      if (other != team && isBorrowing && cluster.checker.runsBatchWork(other.name())) {
        return true;
      }
    }
    return false;
  }

  /** Returns the GPUs that other teams use beyond their guarantees. */
  private double borrowedByOthers(Team team) {
    double borrowed = 0;
    for (Team other : cluster.settings.teams().values()) {
      double used = cluster.checker.usedResources(other.name()).gpus();
      borrowed += other == team ? 0 : Math.max(0, used - other.guaranteedGpus());
    }
    return borrowed;
  }

  /** Returns the GPUs of running machines that no task uses. */
  private double freeGpus() {
    double gpus = 0;
    for (FakeWorker worker : cluster.workers()) {
      gpus += gpusPerType.computeIfAbsent(worker.machine.type(), this::gpusPerType);
    }
    for (Team team : cluster.settings.teams().values()) {
      gpus -= cluster.checker.usedResources(team.name()).gpus();
    }
    return gpus;
  }

  private double gpusPerType(String type) {
    return cluster.cloud.types.stream()
        .filter(machineType -> machineType.name().equals(type))
        .mapToDouble(machineType -> machineType.capacity().gpus())
        .findFirst()
        .orElse(0);
  }

  /** Returns the GPUs of tasks in this state, of one team or of all if the team is null. */
  private double gpusInState(String team, TaskStatus.State state) {
    double gpus = 0;
    for (FakeWorker worker : cluster.workers()) {
      for (FakeWorker.Task task : worker.tasks()) {
        var job = cluster.job(task.attempt.task().jobUid());
        if (task.state == state && (team == null || job.team().equals(team))) {
          gpus += job.taskResources().gpus();
        }
      }
    }
    return gpus;
  }
}
