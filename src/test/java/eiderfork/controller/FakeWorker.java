package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Attempt;
import eiderfork.model.Heartbeat;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.TaskId;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A worker that implements the worker protocol; {@link FakeGangs} coordinates gang tasks. */
final class FakeWorker {
  /** An attempt of a task on this machine. */
  static final class Task {
    final Attempt attempt;
    TaskStatus.State state = TaskStatus.State.FETCHING;
    TaskStatus.Cause cause;
    long nextMs;

    /** True if its progress was saved when it was stopped. */
    boolean isProgressSaved;

    /** The time when it began to run. */
    long runningSinceMs;

    /** The time when it was stopped and began to save. */
    long savingSinceMs;

    Task(Attempt attempt, long nextMs) {
      this.attempt = attempt;
      this.nextMs = nextMs;
    }
  }

  final Machine machine;
  private final SimulatedCluster cluster;
  private final Map<Attempt, Task> tasks = new LinkedHashMap<>();
  private static final long FETCH_MS = 700;

  /** Tasks that have completed on any machine; further attempts of them end at once. */
  private final Set<TaskId> finishedTasks;

  /** Images that the machine has fetched. */
  private final Set<String> fetchedImages = new HashSet<>();

  private long incarnation = 1;
  private long sequenceNumber;
  long fencingToken;
  private long lastAnsweredHeartbeatMs;
  long nextDueMs;
  long lastSentMs;
  boolean awaitingResponse;
  int nodeIndex;
  boolean isDead;
  boolean isHanging;
  boolean hasUnsentChanges;

  /** Seconds until the cloud reclaims the machine; null if there is no notice. */
  Double terminationNoticeS;

  FakeWorker(SimulatedCluster cluster, Machine machine, Set<TaskId> finishedTasks) {
    this.cluster = cluster;
    this.machine = machine;
    this.finishedTasks = finishedTasks;
    lastAnsweredHeartbeatMs = cluster.nowMs;
  }

  Heartbeat nextHeartbeat() {
    ImmutableList.Builder<TaskStatus> statuses = ImmutableList.builder();
    tasks
        .values()
        .forEach(
            task ->
                statuses.add(
                    new TaskStatus(task.attempt, task.state, task.cause, task.isProgressSaved)));
    return new Heartbeat(
        machine, incarnation, ++sequenceNumber, fencingToken, terminationNoticeS, statuses.build());
  }

  long incarnation() {
    return incarnation;
  }

  /**
   * Handles the response to the heartbeat sent at {@code sentMs} in {@code addressedIncarnation}.
   */
  void handleResponse(
      long sentMs, long addressedIncarnation, long receivedToken, List<WorkerCommand> commands) {
    if (addressedIncarnation != incarnation || receivedToken < fencingToken) {
      return;
    }
    fencingToken = receivedToken;
    lastAnsweredHeartbeatMs = Math.max(lastAnsweredHeartbeatMs, sentMs);
    execute(commands);
  }

  boolean handleDirectCommands(
      long receivedToken, long addressedIncarnation, List<WorkerCommand> commands) {
    if (receivedToken < fencingToken || addressedIncarnation != incarnation) {
      return false;
    }
    if (receivedToken > fencingToken) {
      hasUnsentChanges = true;
    }
    fencingToken = receivedToken;
    execute(commands);
    return true;
  }

  private void execute(List<WorkerCommand> commands) {
    for (WorkerCommand command : commands) {
      Task task = tasks.get(command.attempt());
      if (command instanceof WorkerCommand.Run) {
        if (task == null) {
          run(command.attempt());
        }
      } else if (command instanceof WorkerCommand.Kill kill) {
        if (task != null && task.state != TaskStatus.State.ENDED) {
          cluster.progress.recordStop(this, task.attempt);
          if (!cluster.gangs.startSaving(this, task, kill.graceS())
              && !cluster.progress.startSaving(this, task, kill.graceS())) {
            end(task, TaskStatus.Cause.STOPPED);
          }
        }
      } else if (task != null && task.state == TaskStatus.State.ENDED) {
        tasks.remove(command.attempt());
      }
    }
  }

  private void run(Attempt attempt) {
    boolean isImageFetched = !fetchedImages.add(cluster.job(attempt.task().jobUid()).image());
    long fetchMs = cluster.cachesImages && isImageFetched ? 0 : FETCH_MS;
    Task task = new Task(attempt, cluster.nowMs + fetchMs);
    boolean isAlreadyPresent =
        tasks.values().stream()
            .anyMatch(
                other ->
                    other.attempt.task().equals(attempt.task())
                        && other.state != TaskStatus.State.ENDED);
    tasks.put(attempt, task);
    hasUnsentChanges = true;
    if (isAlreadyPresent) {
      end(task, TaskStatus.Cause.BUSY);
    }
  }

  void end(Task task, TaskStatus.Cause cause) {
    cluster.progress.recordEnd(task);
    if (isOnMachine(task.state)) {
      cluster.checker.recordEnd(task.attempt.task(), machine);
    }
    task.state = TaskStatus.State.ENDED;
    task.cause = cause;
    hasUnsentChanges = true;
  }

  /** Returns whether a task in this state has its image and has not ended. */
  private static boolean isOnMachine(TaskStatus.State state) {
    return state == TaskStatus.State.WAITING_FOR_GANG
        || state == TaskStatus.State.RUNNING
        || state == TaskStatus.State.CHECKPOINTING;
  }

  /** Returns the attempts on this machine, ended ones too. */
  List<Task> tasks() {
    return new ArrayList<>(tasks.values());
  }

  void tick() {
    if (isDead) {
      return;
    }
    if (cluster.nowMs - lastAnsweredHeartbeatMs
        > cluster.settings.workerTimings().leaseS() * 1000) {
      loseAllTasks();
      incarnation++;
      sequenceNumber = 0;
      lastAnsweredHeartbeatMs = cluster.nowMs;
    }
    if (isHanging) {
      return;
    }
    for (Task task : new ArrayList<>(tasks.values())) {
      if (task.state == TaskStatus.State.ENDED || cluster.nowMs < task.nextMs) {
        continue;
      }
      TaskId id = task.attempt.task();
      Job job = cluster.job(id.jobUid());
      if (task.state == TaskStatus.State.FETCHING) {
        cluster.checker.recordStart(cluster.nowMs, id, machine);
        hasUnsentChanges = true;
        if (job.kind() == JobKind.GANG) {
          joinGang(task);
          continue;
        }
        task.state = TaskStatus.State.RUNNING;
        boolean isFinished = finishedTasks.contains(id);
        task.runningSinceMs = cluster.nowMs;
        task.nextMs =
            job.kind() == JobKind.SERVICE
                ? Long.MAX_VALUE
                : cluster.nowMs + (isFinished ? 0 : cluster.progress.remainingMs(job, id));
      } else if (task.state == TaskStatus.State.CHECKPOINTING) {
        cluster.progress.finishSaving(task);
        end(task, TaskStatus.Cause.STOPPED);
      } else if (cluster.taskFails(id, machine)) {
        end(task, TaskStatus.Cause.ERROR);
      } else {
        finishedTasks.add(id);
        cluster.checker.recordCompletion(id);
        end(task, TaskStatus.Cause.DONE);
      }
    }
  }

  private void joinGang(Task task) {
    task.state = TaskStatus.State.WAITING_FOR_GANG;
    task.nextMs = Long.MAX_VALUE;
    if (finishedTasks.contains(task.attempt.task())) {
      end(task, TaskStatus.Cause.DONE);
    } else if (cluster.taskFails(task.attempt.task(), machine)) {
      end(task, TaskStatus.Cause.ERROR);
    }
  }

  void loseAllTasks() {
    for (Task task : tasks.values()) {
      cluster.progress.recordEnd(task);
      if (isOnMachine(task.state)) {
        cluster.checker.recordEnd(task.attempt.task(), machine);
      }
    }
    tasks.clear();
  }

  Set<TaskId> taskIds() {
    Set<TaskId> ids = new HashSet<>();
    tasks.values().forEach(task -> ids.add(task.attempt.task()));
    return ids;
  }
}
