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
 * Implements the protocol for the progress of array tasks: those with checkpoints save at regular
 * intervals, and when they are stopped with a sufficient grace period.
 */
final class FakeProgress {
  private final SimulatedCluster cluster;
  private final Map<TaskId, Long> savedMs = new HashMap<>();

  /** Attempts that received a stop command. */
  private final Set<Attempt> stoppedAttempts = new HashSet<>();

  /** Machines on which saving never completes. */
  final Set<String> machinesWithHangingSaves = new HashSet<>();

  /** Called at the first stop command for each attempt. */
  BiConsumer<FakeWorker, Attempt> onStop = (worker, attempt) -> {};

  /** The number of tasks that were ended before their save was complete. */
  int interruptedSaves;

  /** Total run time lost, which tasks have to repeat. */
  long lostWorkMs;

  FakeProgress(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Returns the run time that a task has left. */
  long remainingMs(Job job, TaskId id) {
    return Math.max(0, (long) (job.estimatedRunS() * 1000) - savedMs.getOrDefault(id, 0L));
  }

  /** Records a stop command for an attempt, the first or a repeated one. */
  void recordStop(FakeWorker worker, Attempt attempt) {
    if (stoppedAttempts.add(attempt)) {
      onStop.accept(worker, attempt);
    }
  }

  /** Returns the number of attempts that received a stop command, without cancelled jobs. */
  long stopCount() {
    return stoppedAttempts.stream()
        .filter(attempt -> !cluster.checker.wasCancellationRequested(attempt.task().jobUid()))
        .count();
  }

  /**
   * Returns the highest number of attempts of one task that received a stop command, without
   * cancelled jobs.
   */
  long maxStopsPerTask() {
    Map<TaskId, Long> byTask = new HashMap<>();
    for (Attempt attempt : stoppedAttempts) {
      if (!cluster.checker.wasCancellationRequested(attempt.task().jobUid())) {
        byTask.merge(attempt.task(), 1L, Long::sum);
      }
    }
    return byTask.values().stream().mapToLong(stops -> stops).max().orElse(0);
  }

  /** Handles a stop command for a task; returns whether it saves first or is still saving. */
  boolean startSaving(FakeWorker worker, FakeWorker.Task task, double graceS) {
    Job job = cluster.job(task.attempt.task().jobUid());
    boolean canSave = job.kind() == JobKind.ARRAY && job.checkpointIntervalS() > 0 && graceS > 0;
    if (!canSave || graceS < job.saveDurationS()) {
      interruptedSaves += task.state == State.CHECKPOINTING ? 1 : 0;
      return false;
    }
    if (task.state == State.RUNNING) {
      task.state = State.CHECKPOINTING;
      task.savingSinceMs = cluster.nowMs;
      boolean isHanging = machinesWithHangingSaves.contains(worker.machine.name());
      task.nextMs =
          isHanging ? Long.MAX_VALUE : cluster.nowMs + (long) (job.saveDurationS() * 1000);
      worker.hasUnsentChanges = true;
    }
    return task.state == State.CHECKPOINTING;
  }

  /** Records that a task has saved all its progress. */
  void finishSaving(FakeWorker.Task task) {
    task.isProgressSaved = true;
    savedMs.merge(task.attempt.task(), task.savingSinceMs - task.runningSinceMs, Long::sum);
  }

  /** Records the end of a task for any cause; progress since its last checkpoint is lost. */
  void recordEnd(FakeWorker.Task task) {
    Job job = cluster.job(task.attempt.task().jobUid());
    boolean ran = task.runningSinceMs > 0 && task.state != State.ENDED;
    if (job == null || !ran || job.kind() != JobKind.ARRAY || task.isProgressSaved) {
      return;
    }
    long untilMs = task.state == State.CHECKPOINTING ? task.savingSinceMs : cluster.nowMs;
    long ranMs = untilMs - task.runningSinceMs;
    long stepMs = (long) (job.checkpointIntervalS() * 1000);
    long savedRunMs = stepMs > 0 ? ranMs / stepMs * stepMs : 0;
    savedMs.merge(task.attempt.task(), savedRunMs, Long::sum);
    if (!cluster.isTaskFinished(task.attempt.task())) {
      lostWorkMs += ranMs - savedRunMs;
    }
  }
}
