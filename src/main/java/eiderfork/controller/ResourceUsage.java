package eiderfork.controller;

import eiderfork.model.Job;
import eiderfork.model.Resources;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;

/**
 * What the tasks of active jobs take, by team, and what GPU work takes beside its GPUs; kept as
 * jobs change.
 */
final class ResourceUsage {
  private final TaskSizeCounter used = new TaskSizeCounter();
  private final TaskSizeCounter stopping = new TaskSizeCounter();
  private final TaskSizeCounter settled = new TaskSizeCounter();
  private final Object2IntMap<Resources> gpuTasks = new Object2IntOpenHashMap<>();

  /** Counts the changes, so that what was made of the tally can be kept until the next one. */
  private long changeCount;

  /** Null while it has to be made anew. */
  private CpusPerGpu cpusPerGpu;

  void clear() {
    used.clear();
    stopping.clear();
    settled.clear();
    gpuTasks.clear();
    cpusPerGpu = null;
    changeCount++;
  }

  /** Takes up what has changed of a job. */
  void update(JobState job) {
    TaskCounts before = job.accountedTasks();
    TaskCounts now = job.isActive() ? job.taskCounts() : TaskCounts.NONE;
    if (!now.equals(before)) {
      job.onTasksAccounted(now);
      addTasks(job.spec, before, now);
    }
    if (job.isActive() != job.isAccountedActive()) {
      job.onActivityAccounted();
      addGpuTasks(job.spec, job.isActive() ? job.spec.tasks() : -job.spec.tasks());
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

  /** What the tasks of a team's jobs use now. */
  Resources used(String team) {
    return used.sum(team);
  }

  /** What of it belongs to tasks that are stopping or cancelled. */
  Resources stopping(String team) {
    return stopping.sum(team);
  }

  /** What of it belongs to tasks that have ended, of which only the end is not committed yet. */
  Resources settled(String team) {
    return settled.sum(team);
  }

  /** What the team's tasks hold on machines, as far as is known: all but what is settled. */
  Resources held(String team) {
    return used(team).minus(settled(team));
  }

  /** Stays as it is while nothing has changed that is counted here. */
  long changeCount() {
    return changeCount;
  }

  /** How many processors the GPU work of now takes beside each GPU. */
  CpusPerGpu cpusPerGpu() {
    if (cpusPerGpu == null) {
      Resources sum = TaskSizeCounter.sum(gpuTasks);
      cpusPerGpu = new CpusPerGpu(sum.gpus() > 0 ? sum.cpus() / sum.gpus() : 0);
    }
    return cpusPerGpu;
  }
}
