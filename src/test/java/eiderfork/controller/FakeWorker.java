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
    boolean saved;

    /** When it began to run, and when it was stopped and began to checkpoint. */
    long runningSinceMs;

    long savingSinceMs;

    Task(Attempt attempt, long nextMs) {
      this.attempt = attempt;
      this.nextMs = nextMs;
    }
  }

  final Machine machine;
  private final SimulatedCluster world;
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
  boolean dead;
  boolean hanging;
  boolean changed;

  /** Seconds until the cloud takes the machine; null for no notice. */
  Double terminationNoticeS;

  FakeWorker(SimulatedCluster world, Machine machine, Set<TaskId> finishedTasks) {
    this.world = world;
    this.machine = machine;
    this.finishedTasks = finishedTasks;
    lastAnsweredHeartbeatMs = world.nowMs;
  }

  Heartbeat nextHeartbeat() {
    ImmutableList.Builder<TaskStatus> list = ImmutableList.builder();
    tasks.values().forEach(t -> list.add(new TaskStatus(t.attempt, t.state, t.cause, t.saved)));
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
      changed = true;
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
          world.progress.stopped(this, task.attempt);
          if (!world.gangs.saves(this, task, kill.graceS())
              && !world.progress.saves(this, task, kill.graceS())) {
            end(task, TaskStatus.Cause.STOPPED);
          }
        }
      } else if (task != null && task.state == TaskStatus.State.ENDED) {
        tasks.remove(command.attempt());
      }
    }
  }

  private void run(Attempt attempt) {
    boolean fetched = !fetchedImages.add(world.job(attempt.task().jobUid()).image());
    long fetchMs = world.imagesStay && fetched ? 0 : FETCH_MS;
    Task task = new Task(attempt, world.nowMs + fetchMs);
    boolean busy =
        tasks.values().stream()
            .anyMatch(
                t -> t.attempt.task().equals(attempt.task()) && t.state != TaskStatus.State.ENDED);
    tasks.put(attempt, task);
    changed = true;
    if (busy) {
      end(task, TaskStatus.Cause.BUSY);
    }
  }

  void end(Task task, TaskStatus.Cause cause) {
    world.progress.ends(task);
    if (isOnMachine(task.state)) {
      world.checker.leaves(task.attempt.task(), machine);
    }
    task.state = TaskStatus.State.ENDED;
    task.cause = cause;
    changed = true;
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
    if (dead) {
      return;
    }
    if (world.nowMs - lastAnsweredHeartbeatMs > world.settings.workerTimings().leaseS() * 1000) {
      loseAllTasks();
      incarnation++;
      sequenceNumber = 0;
      lastAnsweredHeartbeatMs = world.nowMs;
    }
    if (hanging) {
      return;
    }
    for (Task task : new ArrayList<>(tasks.values())) {
      if (task.state == TaskStatus.State.ENDED || world.nowMs < task.nextMs) {
        continue;
      }
      TaskId id = task.attempt.task();
      Job job = world.job(id.jobUid());
      if (task.state == TaskStatus.State.FETCHING) {
        world.checker.starts(world.nowMs, id, machine);
        changed = true;
        if (job.kind() == JobKind.GANG) {
          joinGang(task);
          continue;
        }
        task.state = TaskStatus.State.RUNNING;
        boolean kept = finishedTasks.contains(id);
        task.runningSinceMs = world.nowMs;
        task.nextMs =
            job.kind() == JobKind.SERVICE
                ? Long.MAX_VALUE
                : world.nowMs + (kept ? 0 : world.progress.leftMs(job, id));
      } else if (task.state == TaskStatus.State.CHECKPOINTING) {
        world.progress.saved(task);
        end(task, TaskStatus.Cause.STOPPED);
      } else if (world.failing(id, machine)) {
        end(task, TaskStatus.Cause.ERROR);
      } else {
        finishedTasks.add(id);
        world.checker.completes(id);
        end(task, TaskStatus.Cause.DONE);
      }
    }
  }

  private void joinGang(Task task) {
    task.state = TaskStatus.State.WAITING_FOR_GANG;
    task.nextMs = Long.MAX_VALUE;
    if (finishedTasks.contains(task.attempt.task())) {
      end(task, TaskStatus.Cause.DONE);
    } else if (world.failing(task.attempt.task(), machine)) {
      end(task, TaskStatus.Cause.ERROR);
    }
  }

  void loseAllTasks() {
    for (Task task : tasks.values()) {
      world.progress.ends(task);
      if (isOnMachine(task.state)) {
        world.checker.leaves(task.attempt.task(), machine);
      }
    }
    tasks.clear();
  }

  Set<TaskId> presentTasks() {
    Set<TaskId> ids = new HashSet<>();
    tasks.values().forEach(t -> ids.add(t.attempt.task()));
    return ids;
  }
}
