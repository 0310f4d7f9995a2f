package eiderfork.controller;

import eiderfork.model.Attempt;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.TaskId;
import eiderfork.model.TaskStatus.State;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The progress of arrays' tasks, written from the protocol: those with checkpoints save by
 * themselves now and then, and when they are stopped with enough time.
 */
final class FakeProgress {
  private final SimulatedCluster cluster;
  private final Map<TaskId, Long> safeMs = new HashMap<>();

  /** Attempts that were told to stop, and machines on which saves never end. */
  private final Set<Attempt> stopped = new HashSet<>();

  final Set<String> machinesWithHangingSaves = new HashSet<>();

  /** Told of each attempt that is told to stop for the first time. */
  BiConsumer<FakeWorker, Attempt> onStop = (worker, attempt) -> {};

  /** How often a task that was saving was ended before it was through. */
  int interruptedSaves;

  /** Run time that has to be done again. */
  long lostWorkMs;

  FakeProgress(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** How long a task still has to run. */
  long remainingMs(Job job, TaskId id) {
    return Math.max(0, (long) (job.estimatedRunS() * 1000) - safeMs.getOrDefault(id, 0L));
  }

  /** An attempt is told to stop, for the first time or again. */
  void recordStop(FakeWorker worker, Attempt attempt) {
    if (stopped.add(attempt)) {
      onStop.accept(worker, attempt);
    }
  }

  /** How many attempts of jobs that were not cancelled were told to stop. */
  long stopCount() {
    return stopped.stream()
        .filter(a -> !cluster.checker.wasCancellationRequested(a.task().jobUid()))
        .count();
  }

  /** The most attempts of any task that were told to stop, of jobs that were not cancelled. */
  long maxStopsPerTask() {
    Map<TaskId, Long> byTask = new HashMap<>();
    for (Attempt attempt : stopped) {
      if (!cluster.checker.wasCancellationRequested(attempt.task().jobUid())) {
        byTask.merge(attempt.task(), 1L, Long::sum);
      }
    }
    return byTask.values().stream().mapToLong(n -> n).max().orElse(0);
  }

  /** A task is told to stop; whether it saves first, or goes on saving. */
  boolean startSaving(FakeWorker worker, FakeWorker.Task task, double graceS) {
    Job job = cluster.job(task.attempt.task().jobUid());
    boolean able = job.kind() == JobKind.ARRAY && job.checkpointIntervalS() > 0 && graceS > 0;
    if (!able || graceS < job.saveDurationS()) {
      interruptedSaves += task.state == State.CHECKPOINTING ? 1 : 0;
      return false;
    }
    if (task.state == State.RUNNING) {
      task.state = State.CHECKPOINTING;
      task.savingSinceMs = cluster.nowMs;
      boolean hangs = machinesWithHangingSaves.contains(worker.machine.name());
      task.nextMs = hangs ? Long.MAX_VALUE : cluster.nowMs + (long) (job.saveDurationS() * 1000);
      worker.hasUnsentChanges = true;
    }
    return task.state == State.CHECKPOINTING;
  }

  /** A task has saved all that it did. */
  void finishSaving(FakeWorker.Task task) {
    task.isProgressSaved = true;
    safeMs.merge(task.attempt.task(), task.savingSinceMs - task.runningSinceMs, Long::sum);
  }

  /** A task ends, whatever for: what it did since its last checkpoint is lost. */
  void recordEnd(FakeWorker.Task task) {
    Job job = cluster.job(task.attempt.task().jobUid());
    boolean ran = task.runningSinceMs > 0 && task.state != State.ENDED;
    if (job == null || !ran || job.kind() != JobKind.ARRAY || task.isProgressSaved) {
      return;
    }
    long untilMs = task.state == State.CHECKPOINTING ? task.savingSinceMs : cluster.nowMs;
    long ranMs = untilMs - task.runningSinceMs;
    long stepMs = (long) (job.checkpointIntervalS() * 1000);
    long keptMs = stepMs > 0 ? ranMs / stepMs * stepMs : 0;
    safeMs.merge(task.attempt.task(), keptMs, Long::sum);
    if (!cluster.isTaskFinished(task.attempt.task())) {
      lostWorkMs += ranMs - keptMs;
    }
  }
}
