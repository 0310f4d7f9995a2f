package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.ResourceUsage;
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
 * Sorts the jobs with tasks to place or changes to write: jobs within their team's guarantee first,
 * then by priority, then by {@link QueueOrder}.
 */
final class FairShareOrder {
  /** A job with the attributes that determine its position. */
  private record QueuedJob(JobState job, boolean isWithinGuarantee, long queueTimeMs)
      implements Comparable<QueuedJob> {
    @Override
    public int compareTo(QueuedJob other) {
      if (isWithinGuarantee != other.isWithinGuarantee) {
        return isWithinGuarantee ? -1 : 1;
      }
      int byPriority = job.spec().priority().compareTo(other.job.spec().priority());
      if (byPriority != 0) {
        return byPriority;
      }
      int byQueueTime = Long.compare(queueTimeMs, other.queueTimeMs);
      return byQueueTime != 0
          ? byQueueTime
          : Long.compare(job.specVersion(), other.job.specVersion());
    }
  }

  private final ControllerContext context;
  private final QueueOrder queueOrder;

  FairShareOrder(ControllerContext context, DeadlineEstimator deadlines) {
    this.context = context;
    queueOrder = new QueueOrder(context, deadlines);
  }

  /** Returns the jobs with tasks to place or changes to write, most urgent first. */
  List<JobState> sort(JobRegistry jobs) {
    List<JobState> work = jobs.jobsWithWork();
    Set<JobState> guaranteed = jobsWithinGuarantee(work, jobs.resourceUsage());
    int maxWaitingTasks = maxWaitingArrayTasks(work);
    List<QueuedJob> queue = new ArrayList<>(work.size());
    for (JobState job : work) {
      long queueTimeMs = queueOrder.queueTimeMs(job, maxWaitingTasks);
      queue.add(new QueuedJob(job, guaranteed.contains(job), queueTimeMs));
    }
    queue.sort(null);
    List<JobState> sorted = new ArrayList<>(queue.size());
    queue.forEach(queued -> sorted.add(queued.job));
    return sorted;
  }

  /**
   * Returns the jobs that fit into their team's guarantee after the team's more urgent and earlier
   * jobs.
   */
  private Set<JobState> jobsWithinGuarantee(List<JobState> work, ResourceUsage usage) {
    List<JobState> byUrgency = new ArrayList<>();
    for (JobState job : work) {
      Team team = context.settings.teams().get(job.spec().team());
      if (team != null && team.hasGuarantee()) {
        byUrgency.add(job);
      }
    }
    byUrgency.sort(FairShareOrder::compareUrgency);
    Set<JobState> guaranteed = new ReferenceOpenHashSet<>();
    Map<String, Resources> requestedByTeam = new HashMap<>();
    for (JobState job : byUrgency) {
      Job spec = job.spec();
      Resources pending = spec.taskResources().times(job.pendingTaskCount());
      Resources requested = requestedByTeam.merge(spec.team(), pending, Resources::plus);
      Team team = context.settings.teams().get(spec.team());
      if (team.isWithinGuarantee(usedBy(spec.team(), usage).plus(requested))) {
        guaranteed.add(job);
      }
    }
    return guaranteed;
  }

  /**
   * Returns the usage to which the demand of pending tasks is added. A lost task is pending again
   * before its end is committed; counting it twice would rank its team behind teams that borrow its
   * quota.
   */
  private Resources usedBy(String team, ResourceUsage usage) {
    return context.settings.operator().isLendingEnabled() ? usage.held(team) : usage.used(team);
  }

  private static int compareUrgency(JobState first, JobState second) {
    int byPriority = first.spec().priority().compareTo(second.spec().priority());
    return byPriority != 0 ? byPriority : Long.compare(first.specVersion(), second.specVersion());
  }

  /** Returns the largest number of pending tasks of any array. */
  private static int maxWaitingArrayTasks(List<JobState> work) {
    int maxTasks = 1;
    for (JobState job : work) {
      if (job.spec().kind() == JobKind.ARRAY) {
        maxTasks = Math.max(maxTasks, job.pendingTaskCount());
      }
    }
    return maxTasks;
  }
}
