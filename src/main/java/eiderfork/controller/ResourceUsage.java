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
  private long changes;

  /** Null while it has to be made anew. */
  private CpusPerGpu balance;

  void clear() {
    used.clear();
    stopping.clear();
    settled.clear();
    gpuTasks.clear();
    balance = null;
    changes++;
  }

  /** Takes up what has changed of a job. */
  void update(JobState entry) {
    Job job = entry.job;
    TaskCounts counts = entry.active ? entry.counts() : TaskCounts.NONE;
    TaskCounts before = entry.tallied;
    if (!counts.equals(before)) {
      entry.tallied = counts;
      changes++;
      used.add(job.team(), job.need(), counts.used() - before.used());
      stopping.add(job.team(), job.need(), counts.stopping() - before.stopping());
      settled.add(job.team(), job.need(), counts.settled() - before.settled());
    }
    if (entry.active != entry.talliedActive) {
      entry.talliedActive = entry.active;
      if (job.need().gpus() > 0) {
        TaskSizeCounter.add(gpuTasks, job.need(), entry.active ? job.tasks() : -job.tasks());
        balance = null;
      }
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
  long changes() {
    return changes;
  }

  /** How many processors the GPU work of now takes beside each GPU. */
  CpusPerGpu balance() {
    if (balance == null) {
      Resources sum = TaskSizeCounter.sum(gpuTasks);
      balance = new CpusPerGpu(sum.gpus() > 0 ? sum.cpus() / sum.gpus() : 0);
    }
    return balance;
  }
}
