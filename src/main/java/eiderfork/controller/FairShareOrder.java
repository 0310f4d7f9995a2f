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
  private record QueuedJob(JobState job, boolean isWithinGuarantee, long queueTimeMs)
      implements Comparable<QueuedJob> {
    @Override
    public int compareTo(QueuedJob other) {
      if (isWithinGuarantee != other.isWithinGuarantee) {
        return isWithinGuarantee ? -1 : 1;
      }
      int byPriority = job.spec.priority().compareTo(other.job.spec.priority());
      if (byPriority != 0) {
        return byPriority;
      }
      int byTurn = Long.compare(queueTimeMs, other.queueTimeMs);
      return byTurn != 0 ? byTurn : Long.compare(job.specVersion, other.job.specVersion);
    }
  }

  private final ControllerContext context;
  private final QueueOrder queueOrder;

  FairShareOrder(ControllerContext context, DeadlineEstimator deadlines) {
    this.context = context;
    queueOrder = new QueueOrder(context, deadlines);
  }

  /** The jobs that have something to place or to write, the most urgent first. */
  List<JobState> sort(JobRegistry jobs) {
    List<JobState> work = jobs.jobsWithWork();
    Set<JobState> guaranteed = jobsWithinGuarantee(work, jobs.resourceUsage());
    int mostTasks = maxWaitingArrayTasks(work);
    List<QueuedJob> turns = new ArrayList<>(work.size());
    for (JobState job : work) {
      long turnMs = queueOrder.queueTimeMs(job, mostTasks);
      turns.add(new QueuedJob(job, guaranteed.contains(job), turnMs));
    }
    turns.sort(null);
    List<JobState> ranked = new ArrayList<>(turns.size());
    turns.forEach(turn -> ranked.add(turn.job));
    return ranked;
  }

  /** The jobs that fit into their team's guarantee beside its more urgent and earlier ones. */
  private Set<JobState> jobsWithinGuarantee(List<JobState> work, ResourceUsage tally) {
    List<JobState> byUrgency = new ArrayList<>();
    for (JobState entry : work) {
      Team team = context.settings.teams().get(entry.spec.team());
      if (team != null && team.hasGuarantee()) {
        byUrgency.add(entry);
      }
    }
    byUrgency.sort(FairShareOrder::compareUrgency);
    Set<JobState> guaranteed = new ReferenceOpenHashSet<>();
    Map<String, Resources> wantedByTeam = new HashMap<>();
    for (JobState entry : byUrgency) {
      Job job = entry.spec;
      Resources waiting = job.taskResources().times(entry.pendingTasks.cardinality());
      Resources wanted = wantedByTeam.merge(job.team(), waiting, Resources::plus);
      Team team = context.settings.teams().get(job.team());
      if (team.isWithinGuarantee(usageOf(tally, job.team()).plus(wanted))) {
        guaranteed.add(entry);
      }
    }
    return guaranteed;
  }

  /**
   * What counts as used beside what waits. A task that was lost waits again before its end is
   * committed; counted twice, a team that lost tasks once came behind those that borrowed its room.
   */
  private Resources usageOf(ResourceUsage tally, String team) {
    return context.settings.operator().isLendingEnabled() ? tally.held(team) : tally.used(team);
  }

  private static int compareUrgency(JobState first, JobState second) {
    int byPriority = first.spec.priority().compareTo(second.spec.priority());
    return byPriority != 0 ? byPriority : Long.compare(first.specVersion, second.specVersion);
  }

  /** The most tasks that any array has waiting. */
  private static int maxWaitingArrayTasks(List<JobState> work) {
    int most = 1;
    for (JobState job : work) {
      if (job.spec.kind() == JobKind.ARRAY) {
        most = Math.max(most, job.pendingTasks.cardinality());
      }
    }
    return most;
  }
}
