package eiderfork.controller.registry;

import eiderfork.model.Job;
import eiderfork.model.Resources;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;

/**
 * The resources that the tasks of active jobs use, by team, and the average number of CPUs that GPU
 * jobs request per GPU. Both are updated incrementally as jobs change.
 */
public final class ResourceUsage {
  private final TaskSizeCounter used = new TaskSizeCounter();
  private final TaskSizeCounter stopping = new TaskSizeCounter();
  private final TaskSizeCounter settled = new TaskSizeCounter();
  private final Object2IntMap<Resources> gpuTasks = new Object2IntOpenHashMap<>();

  /** The number of changes, so that values derived from the usage can be cached between changes. */
  private long changeCount;

  /** The cached ratio; null if it has to be recomputed. */
  private CpusPerGpu cpusPerGpu;

  /** Removes all usage. */
  void clear() {
    used.clear();
    stopping.clear();
    settled.clear();
    gpuTasks.clear();
    cpusPerGpu = null;
    changeCount++;
  }

  /** Accounts for the changes of a job since its last update. */
  void update(JobState job) {
    TaskCounts before = job.accountedTasks();
    TaskCounts now = job.isActive() ? job.taskCounts() : TaskCounts.NONE;
    if (!now.equals(before)) {
      job.onTasksAccounted(now);
      addTasks(job.spec(), before, now);
    }
    if (job.isActive() != job.isAccountedActive()) {
      job.onActivityAccounted();
      addGpuTasks(job.spec(), job.isActive() ? job.spec().tasks() : -job.spec().tasks());
    }
  }

  private void addTasks(Job job, TaskCounts before, TaskCounts now) {
    changeCount++;
    used.add(job.team(), job.taskResources(), now.used() - before.used());
    stopping.add(job.team(), job.taskResources(), now.stopping() - before.stopping());
    settled.add(job.team(), job.taskResources(), now.settled() - before.settled());
  }

  private void addGpuTasks(Job job, int change) {
    if (job.taskResources().gpus() > 0) {
      TaskSizeCounter.add(gpuTasks, job.taskResources(), change);
      cpusPerGpu = null;
    }
  }

  /** The resources that count for a team's quota. */
  public Resources used(String team) {
    return used.sum(team);
  }

  /** The part of the used resources that belongs to tasks that are stopping or cancelled. */
  public Resources stopping(String team) {
    return stopping.sum(team);
  }

  /** The part of the used resources that belongs to ended tasks with an uncommitted settlement. */
  Resources settled(String team) {
    return settled.sum(team);
  }

  /**
   * The resources that the team's tasks hold on machines: the used ones without the settled ones.
   */
  public Resources held(String team) {
    return used(team).minus(settled(team));
  }

  /** A counter that increases with each change of the usage. */
  public long changeCount() {
    return changeCount;
  }

  /** The average number of CPUs that current GPU jobs request per GPU. */
  public CpusPerGpu cpusPerGpu() {
    if (cpusPerGpu == null) {
      Resources sum = TaskSizeCounter.sum(gpuTasks);
      cpusPerGpu = new CpusPerGpu(sum.gpus() > 0 ? sum.cpus() / sum.gpus() : 0);
    }
    return cpusPerGpu;
  }
}
