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

/** A worker, written from the protocol; what a gang's tasks do together is in {@link FakeGangs}. */
final class FakeWorker {
  /** An attempt of a task on this machine. */
  static final class Task {
    final Attempt attempt;
    TaskStatus.State state = TaskStatus.State.FETCHING;
    TaskStatus.Cause cause;
    long nextMs;

    /** Its progress was saved when it was stopped. */
    boolean isProgressSaved;

    /** When it began to run, and when it was stopped and began to checkpoint. */
    long runningSinceMs;

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

  /** Tasks whose result is kept: started again they end at once. */
  private final Set<TaskId> finishedTasks;

  /** Images that the machine has fetched. */
  private final Set<String> fetchedImages = new HashSet<>();

  private long incarnation = 1;
  private long sequenceNumber;
  long fencingToken;
  private long lastAnsweredHeartbeatMs;
  long nextHeartbeatMs;
  long lastHeartbeatMs;
  boolean awaitingResponse;
  int nodeIndex;
  boolean isDead;
  boolean isHanging;
  boolean hasUnsentChanges;

  /** Seconds until the cloud takes the machine; null for no notice. */
  Double terminationNoticeS;

  FakeWorker(SimulatedCluster cluster, Machine machine, Set<TaskId> finishedTasks) {
    this.cluster = cluster;
    this.machine = machine;
    this.finishedTasks = finishedTasks;
    lastAnsweredHeartbeatMs = cluster.nowMs;
  }

  Heartbeat nextHeartbeat() {
    ImmutableList.Builder<TaskStatus> list = ImmutableList.builder();
    tasks
        .values()
        .forEach(t -> list.add(new TaskStatus(t.attempt, t.state, t.cause, t.isProgressSaved)));
    return new Heartbeat(
        machine, incarnation, ++sequenceNumber, fencingToken, terminationNoticeS, list.build());
  }

  long incarnation() {
    return incarnation;
  }

  /** The response to the heartbeat sent at {@code sentMs} in {@code ofIncarnation}. */
  void handleResponse(
      long sentMs, long ofIncarnation, long givenToken, List<WorkerCommand> commands) {
    if (ofIncarnation != incarnation || givenToken < fencingToken) {
      return;
    }
    fencingToken = givenToken;
    lastAnsweredHeartbeatMs = Math.max(lastAnsweredHeartbeatMs, sentMs);
    execute(commands);
  }

  boolean handleDirectCommands(long givenToken, long ofIncarnation, List<WorkerCommand> commands) {
    if (givenToken < fencingToken || ofIncarnation != incarnation) {
      return false;
    }
    if (givenToken > fencingToken) {
      hasUnsentChanges = true;
    }
    fencingToken = givenToken;
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
    boolean fetched = !fetchedImages.add(cluster.job(attempt.task().jobUid()).image());
    long fetchMs = cluster.cachesImages && fetched ? 0 : FETCH_MS;
    Task task = new Task(attempt, cluster.nowMs + fetchMs);
    boolean busy =
        tasks.values().stream()
            .anyMatch(
                t -> t.attempt.task().equals(attempt.task()) && t.state != TaskStatus.State.ENDED);
    tasks.put(attempt, task);
    hasUnsentChanges = true;
    if (busy) {
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

  /** Whether a task has its image and has not ended. */
  private static boolean isOnMachine(TaskStatus.State state) {
    return state == TaskStatus.State.WAITING_FOR_GANG
        || state == TaskStatus.State.RUNNING
        || state == TaskStatus.State.CHECKPOINTING;
  }

  /** The attempts on this machine. */
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
        boolean kept = finishedTasks.contains(id);
        task.runningSinceMs = cluster.nowMs;
        task.nextMs =
            job.kind() == JobKind.SERVICE
                ? Long.MAX_VALUE
                : cluster.nowMs + (kept ? 0 : cluster.progress.remainingMs(job, id));
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
    tasks.values().forEach(t -> ids.add(t.attempt.task()));
    return ids;
  }
}
