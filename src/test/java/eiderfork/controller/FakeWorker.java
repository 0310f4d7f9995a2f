package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Attempt;
import eiderfork.model.Command;
import eiderfork.model.Heartbeat;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.TaskId;
import eiderfork.model.TaskStatus;
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

    /** When it began to run, and when it was told to save. */
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
  private final Set<TaskId> results;

  /** Images that the machine has fetched. */
  private final Set<String> images = new HashSet<>();

  private long session = 1;
  private long seq;
  long token;
  private long answeredSentMs;
  long nextReportMs;
  long reportedMs;
  boolean waiting;
  int node;
  boolean dead;
  boolean hanging;
  boolean changed;

  /** Seconds until the cloud takes the machine; null for no notice. */
  Double noticeS;

  FakeWorker(SimulatedCluster world, Machine machine, Set<TaskId> results) {
    this.world = world;
    this.machine = machine;
    this.results = results;
    answeredSentMs = world.nowMs;
  }

  Heartbeat report() {
    ImmutableList.Builder<TaskStatus> list = ImmutableList.builder();
    tasks.values().forEach(t -> list.add(new TaskStatus(t.attempt, t.state, t.cause, t.saved)));
    return new Heartbeat(machine, session, ++seq, token, noticeS, list.build());
  }

  long session() {
    return session;
  }

  /** The answer to the report sent at {@code sentMs} in {@code ofSession}. */
  void answered(long sentMs, long ofSession, long given, List<Command> commands) {
    if (ofSession != session || given < token) {
      return;
    }
    token = given;
    answeredSentMs = Math.max(answeredSentMs, sentMs);
    execute(commands);
  }

  boolean direct(long given, long ofSession, List<Command> commands) {
    if (given < token || ofSession != session) {
      return false;
    }
    if (given > token) {
      changed = true;
    }
    token = given;
    execute(commands);
    return true;
  }

  private void execute(List<Command> commands) {
    for (Command command : commands) {
      Task task = tasks.get(command.attempt());
      if (command instanceof Command.Run) {
        if (task == null) {
          run(command.attempt());
        }
      } else if (command instanceof Command.Kill kill) {
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
    boolean fetched = !images.add(world.job(attempt.task().job()).image());
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
    return state == TaskStatus.State.GATHERING
        || state == TaskStatus.State.RUNNING
        || state == TaskStatus.State.SAVING;
  }

  /** The attempts on this machine. */
  List<Task> tasks() {
    return new ArrayList<>(tasks.values());
  }

  void tick() {
    if (dead) {
      return;
    }
    if (world.nowMs - answeredSentMs > world.settings.workers().leaseS() * 1000) {
      loseAll();
      session++;
      seq = 0;
      answeredSentMs = world.nowMs;
    }
    if (hanging) {
      return;
    }
    for (Task task : new ArrayList<>(tasks.values())) {
      if (task.state == TaskStatus.State.ENDED || world.nowMs < task.nextMs) {
        continue;
      }
      TaskId id = task.attempt.task();
      Job job = world.job(id.job());
      if (task.state == TaskStatus.State.FETCHING) {
        world.checker.starts(world.nowMs, id, machine);
        changed = true;
        if (job.kind() == JobKind.GANG) {
          gather(task);
          continue;
        }
        task.state = TaskStatus.State.RUNNING;
        boolean kept = results.contains(id);
        task.runningSinceMs = world.nowMs;
        task.nextMs =
            job.kind() == JobKind.SERVICE
                ? Long.MAX_VALUE
                : world.nowMs + (kept ? 0 : world.progress.leftMs(job, id));
      } else if (task.state == TaskStatus.State.SAVING) {
        world.progress.saved(task);
        end(task, TaskStatus.Cause.STOPPED);
      } else if (world.failing(id, machine)) {
        end(task, TaskStatus.Cause.ERROR);
      } else {
        results.add(id);
        world.checker.completes(id);
        end(task, TaskStatus.Cause.DONE);
      }
    }
  }

  private void gather(Task task) {
    task.state = TaskStatus.State.GATHERING;
    task.nextMs = Long.MAX_VALUE;
    if (results.contains(task.attempt.task())) {
      end(task, TaskStatus.Cause.DONE);
    } else if (world.failing(task.attempt.task(), machine)) {
      end(task, TaskStatus.Cause.ERROR);
    }
  }

  void loseAll() {
    for (Task task : tasks.values()) {
      world.progress.ends(task);
      if (isOnMachine(task.state)) {
        world.checker.leaves(task.attempt.task(), machine);
      }
    }
    tasks.clear();
  }

  Set<TaskId> present() {
    Set<TaskId> ids = new HashSet<>();
    tasks.values().forEach(t -> ids.add(t.attempt.task()));
    return ids;
  }
}
