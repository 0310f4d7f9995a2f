package eiderfork.core;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Resources;
import eiderfork.model.Team;
import it.unimi.dsi.fastutil.objects.Object2LongMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Puts the jobs that have something to do in the order in which they are served: work within its
 * team's guarantee first, then by priority, then by {@link TurnOrder}.
 */
final class JobRanking {
  /**
   * The jobs in their order, and what was counted on the way.
   *
   * @param usedByTeam what the tasks of each team's jobs use now
   * @param balance what GPU work takes beside its GPUs
   */
  record Ranked(List<JobEntry> jobs, Map<String, Resources> usedByTeam, GpuBalance balance) {}

  private final Context context;
  private final TurnOrder turnOrder;

  JobRanking(Context context, Deadlines deadlines) {
    this.context = context;
    turnOrder = new TurnOrder(context, deadlines);
  }

  Ranked rank(Collection<JobEntry> active) {
    Map<String, Resources> usedByTeam = new HashMap<>();
    double cpusOnGpus = 0;
    double gpus = 0;
    List<JobEntry> jobs = new ArrayList<>();
    for (JobEntry entry : active) {
      Job job = entry.job;
      usedByTeam.merge(job.team(), job.need().times(entry.counted()), Resources::plus);
      if (job.need().gpus() > 0) {
        cpusOnGpus += job.need().cpus() * job.tasks();
        gpus += job.need().gpus() * job.tasks();
      }
      if (!entry.waiting.isEmpty() || entry.dirty) {
        jobs.add(entry);
      }
    }
    Set<JobEntry> guaranteed = guaranteed(jobs, usedByTeam);
    Object2LongMap<JobEntry> turns = turns(jobs);
    jobs.sort(
        Comparator.comparing((JobEntry entry) -> !guaranteed.contains(entry))
            .thenComparing(entry -> entry.job.priority())
            .thenComparingLong(turns::getLong)
            .thenComparingLong(entry -> entry.order));
    return new Ranked(jobs, usedByTeam, new GpuBalance(gpus > 0 ? cpusOnGpus / gpus : 0));
  }

  /** The jobs that fit into their team's guarantee beside its more urgent and earlier ones. */
  private Set<JobEntry> guaranteed(List<JobEntry> jobs, Map<String, Resources> usedByTeam) {
    List<JobEntry> byUrgency = new ArrayList<>(jobs);
    byUrgency.sort(
        Comparator.comparing((JobEntry entry) -> entry.job.priority())
            .thenComparingLong(entry -> entry.order));
    Set<JobEntry> guaranteed = new HashSet<>();
    Map<String, Resources> wantedByTeam = new HashMap<>();
    for (JobEntry entry : byUrgency) {
      Job job = entry.job;
      Resources waiting = job.need().times(entry.waiting.cardinality());
      Resources wanted = wantedByTeam.merge(job.team(), waiting, Resources::plus);
      Resources all = usedByTeam.getOrDefault(job.team(), Resources.NONE).plus(wanted);
      Team team = context.settings.teams().get(job.team());
      if (team != null && team.withinGuarantee(all)) {
        guaranteed.add(entry);
      }
    }
    return guaranteed;
  }

  private Object2LongMap<JobEntry> turns(List<JobEntry> jobs) {
    int mostTasks = 1;
    for (JobEntry entry : jobs) {
      if (entry.job.kind() == JobKind.ARRAY) {
        mostTasks = Math.max(mostTasks, entry.waiting.cardinality());
      }
    }
    Object2LongMap<JobEntry> turns = new Object2LongOpenHashMap<>();
    for (JobEntry entry : jobs) {
      turns.put(entry, turnOrder.turnMs(entry, mostTasks));
    }
    return turns;
  }
}
