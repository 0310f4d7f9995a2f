package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Resources;
import eiderfork.model.Team;
import it.unimi.dsi.fastutil.objects.ReferenceOpenHashSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Puts the jobs that have something to do in the order in which they are served: work within its
 * team's guarantee first, then by priority, then by {@link QueueOrder}.
 */
final class FairShareOrder {
  /** A job with what decides its place. */
  private record Turn(JobState entry, boolean guaranteed, long turnMs) implements Comparable<Turn> {
    @Override
    public int compareTo(Turn other) {
      if (guaranteed != other.guaranteed) {
        return guaranteed ? -1 : 1;
      }
      int byPriority = entry.job.priority().compareTo(other.entry.job.priority());
      if (byPriority != 0) {
        return byPriority;
      }
      int byTurn = Long.compare(turnMs, other.turnMs);
      return byTurn != 0 ? byTurn : Long.compare(entry.order, other.entry.order);
    }
  }

  private final ControllerContext context;
  private final QueueOrder turnOrder;

  FairShareOrder(ControllerContext context, DeadlineEstimator deadlines) {
    this.context = context;
    turnOrder = new QueueOrder(context, deadlines);
  }

  /** The jobs that have something to place or to write, the most urgent first. */
  List<JobState> rank(JobRegistry jobs) {
    List<JobState> work = jobs.withWork();
    Set<JobState> guaranteed = guaranteed(work, jobs.tally());
    int mostTasks = mostArrayTasks(work);
    List<Turn> turns = new ArrayList<>(work.size());
    for (JobState entry : work) {
      long turnMs = turnOrder.turnMs(entry, mostTasks);
      turns.add(new Turn(entry, guaranteed.contains(entry), turnMs));
    }
    turns.sort(null);
    List<JobState> ranked = new ArrayList<>(turns.size());
    turns.forEach(turn -> ranked.add(turn.entry));
    return ranked;
  }

  /** The jobs that fit into their team's guarantee beside its more urgent and earlier ones. */
  private Set<JobState> guaranteed(List<JobState> work, ResourceUsage tally) {
    List<JobState> byUrgency = new ArrayList<>();
    for (JobState entry : work) {
      Team team = context.settings.teams().get(entry.job.team());
      if (team != null && team.hasGuarantee()) {
        byUrgency.add(entry);
      }
    }
    byUrgency.sort(FairShareOrder::byUrgency);
    Set<JobState> guaranteed = new ReferenceOpenHashSet<>();
    Map<String, Resources> wantedByTeam = new HashMap<>();
    for (JobState entry : byUrgency) {
      Job job = entry.job;
      Resources waiting = job.need().times(entry.waiting.cardinality());
      Resources wanted = wantedByTeam.merge(job.team(), waiting, Resources::plus);
      Team team = context.settings.teams().get(job.team());
      if (team.withinGuarantee(used(tally, job.team()).plus(wanted))) {
        guaranteed.add(entry);
      }
    }
    return guaranteed;
  }

  /**
   * What counts as used beside what waits. A task that was lost waits again before its end is
   * committed; counted twice, a team that lost tasks once came behind those that borrowed its room.
   */
  private Resources used(ResourceUsage tally, String team) {
    return context.settings.operator().lending() ? tally.held(team) : tally.used(team);
  }

  private static int byUrgency(JobState a, JobState b) {
    int byPriority = a.job.priority().compareTo(b.job.priority());
    return byPriority != 0 ? byPriority : Long.compare(a.order, b.order);
  }

  /** The most tasks that any array has waiting. */
  private static int mostArrayTasks(List<JobState> work) {
    int most = 1;
    for (JobState entry : work) {
      if (entry.job.kind() == JobKind.ARRAY) {
        most = Math.max(most, entry.waiting.cardinality());
      }
    }
    return most;
  }
}
