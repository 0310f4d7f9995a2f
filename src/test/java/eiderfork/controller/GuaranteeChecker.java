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
 * Watches from outside whether teams have the GPUs that they are guaranteed: it reads only what
 * workers run and what users requested. A team that lacks some of its guarantee while another uses
 * more than its own has to get it back; how long that takes, and why, is recorded for each minute.
 */
final class GuaranteeChecker {
  /** Why a team has less than it is guaranteed and requests. */
  enum Cause {
    /** It has it all, or requests no more. */
    NONE,
    /** No other team uses more than its own guarantee. */
    NOBODY_BORROWS,
    /** What others borrow, and what is free, holds not even one of its gangs or tasks. */
    TOO_LITTLE_IS_BORROWED,
    /** Its own tasks fetch their images. */
    STARTING,
    /** A borrower saves its progress. */
    SAVING,
    /** Only replicas borrow, which are not preempted for as long as a machine takes to boot. */
    REPLICAS_BORROW,
    /** There was a failure, and a lease and a boot have not passed since. */
    TROUBLE,
    /** It was requested, or preempted, a moment ago. */
    REACTING,
    /** None of these. */
    UNEXPLAINED
  }

  /** A team's minute: the least that it held and the most that it requested at one time. */
  static final class Minute {
    final long minute;
    final String team;
    final double guaranteed;
    double maxRequested;
    double minHeld = Double.MAX_VALUE;
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
              minHeld,
              secondsBelow,
              text.toString().trim());
    }
  }

  static final String CSV_HEADER =
      "minute,team,guaranteed_gpus,asked_gpus_most,held_gpus_least,seconds_below,causes";

  private static final long CHECK_INTERVAL_MS = 1000;
  private static final long MINUTE_MS = 60_000;

  /** A heartbeat, a round, a write and a command, each with its slack. */
  private static final int REACTION_S = 4;

  private final SimulatedCluster cluster;
  private final long beganMs;
  private final Map<String, Integer> shortfallS = new LinkedHashMap<>();
  private final Map<String, Minute> currentMinutes = new LinkedHashMap<>();
  final List<Minute> minutes = new ArrayList<>();

  private final Map<String, Double> gpusPerType = new HashMap<>();

  /** Until when a failure explains that a guarantee is not held. */
  private long disruptedUntilMs;

  /** The longest that each team lacked its guarantee while another borrowed, in seconds. */
  final Map<String, Integer> longestShortfallS = new LinkedHashMap<>();

  /** Seconds in which a guarantee was not held without a known cause. */
  final List<String> unexplained = new ArrayList<>();

  GuaranteeChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
    beganMs = cluster.nowMs;
    check();
  }

  /** Takes note of a failure that lasts this long. */
  void expectDisruption(long forMs) {
    long leaseAndBootMs = (long) (cluster.settings.workerTimings().leaseS() * 1000) + 15_000;
    disruptedUntilMs = Math.max(disruptedUntilMs, cluster.nowMs + forMs + leaseAndBootMs);
  }

  private void check() {
    for (Team team : cluster.settings.teams().values()) {
      check(team);
    }
    cluster.schedule(CHECK_INTERVAL_MS, this::check);
  }

  private void check(Team team) {
    double held = cluster.checker.usedResources(team.name()).gpus();
    double requested = cluster.checker.requestedResources(team.name()).gpus();
    Cause cause = cause(team, held, requested);
    boolean counts =
        cause != Cause.NONE
            && cause != Cause.NOBODY_BORROWS
            && cause != Cause.TOO_LITTLE_IS_BORROWED;
    int lacking = counts ? shortfallS.merge(team.name(), 1, Integer::sum) : 0;
    shortfallS.put(team.name(), lacking);
    longestShortfallS.merge(team.name(), lacking, Math::max);
    if (cause == Cause.UNEXPLAINED) {
      unexplained.add(
          "%d s: %s holds %.0f of %.0f, asks for %.0f, for %d s"
              .formatted(
                  (cluster.nowMs - beganMs) / 1000,
                  team.name(),
                  held,
                  team.guaranteedGpus(),
                  requested,
                  lacking));
    }
    record(team, held, requested, cause);
  }

  private void record(Team team, double held, double requested, Cause cause) {
    long minute = (cluster.nowMs - beganMs) / MINUTE_MS;
    Minute row = currentMinutes.get(team.name());
    if (row == null || row.minute != minute) {
      row = new Minute(minute, team.name(), team.guaranteedGpus());
      currentMinutes.put(team.name(), row);
      minutes.add(row);
    }
    row.maxRequested = Math.max(row.maxRequested, requested);
    row.minHeld = Math.min(row.minHeld, held);
    if (cause != Cause.NONE) {
      row.secondsBelow++;
      row.causes.merge(cause, 1, Integer::sum);
    }
  }

  private Cause cause(Team team, double held, double requested) {
    double lacked = Math.min(requested, team.guaranteedGpus()) - held;
    if (lacked < 1) {
      return Cause.NONE;
    }
    double borrowed = borrowedByOthers(team);
    if (borrowed <= 0) {
      return Cause.NOBODY_BORROWS;
    }
    if (borrowed + freeGpus() < cluster.checker.smallestWaitingGpus(team.name())) {
      return Cause.TOO_LITTLE_IS_BORROWED;
    }
    if (gpusInState(team.name(), TaskStatus.State.FETCHING) >= lacked) {
      return Cause.STARTING;
    }
    if (gpusInState(null, TaskStatus.State.CHECKPOINTING) > 0) {
      return Cause.SAVING;
    }
    if (cluster.nowMs < disruptedUntilMs) {
      return Cause.TROUBLE;
    }
    int lackingForS = shortfallS.getOrDefault(team.name(), 0);
    if (lackingForS < bootS() + REACTION_S && !hasBatchBorrower(team)) {
      return Cause.REPLICAS_BORROW;
    }
    return lackingForS < REACTION_S ? Cause.REACTING : Cause.UNEXPLAINED;
  }

  private double bootS() {
    return cluster.cloud.types.stream().mapToDouble(MachineType::bootS).max().orElse(0);
  }

  /** Whether another team with batch work on machines exceeds its guarantee. */
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

  /** The GPUs that other teams hold beyond their guarantees. */
  private double borrowedByOthers(Team team) {
    double borrowed = 0;
    for (Team other : cluster.settings.teams().values()) {
      double held = cluster.checker.usedResources(other.name()).gpus();
      borrowed += other == team ? 0 : Math.max(0, held - other.guaranteedGpus());
    }
    return borrowed;
  }

  /** The GPUs of machines that are up on which nothing runs. */
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

  /** The GPUs of a team's tasks, or of everybody's, in this state. */
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
