package eiderfork.loadtest;

import com.google.common.collect.ImmutableList;
import eiderfork.model.Attempt;
import eiderfork.model.Heartbeat;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
import eiderfork.net.HttpClient;
import eiderfork.net.HttpServer;
import eiderfork.wire.MalformedMessageException;
import eiderfork.wire.WorkerClientCodec;
import eiderfork.wire.WorkerCodec;
import io.netty.util.concurrent.ScheduledFuture;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A worker that follows the protocol's incarnations, leases and fencing tokens but runs no
 * programs: its tasks are timers.
 */
final class EmulatedWorker {
  private static final long MIN_HEARTBEAT_INTERVAL_MS = 500;
  private static final long RESPONSE_TIMEOUT_MS = 4000;
  private static final long RETRY_NEXT_CONTROLLER_MS = 1000;
  private static final byte[] EMPTY_JSON = "{}".getBytes(StandardCharsets.UTF_8);

  private static final class Task {
    TaskStatus.State state = TaskStatus.State.FETCHING;
    TaskStatus.Cause cause;
    Resources allocation = Resources.NONE;
  }

  final Machine machine;
  final int rack;
  private final MachineType type;
  private final EmulatedCell cell;
  private final HttpClient client;
  private final Map<Attempt, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Long> imageReadyMs = new HashMap<>();
  private Resources allocated = Resources.NONE;
  private int controllerNumber;
  private long incarnation = 1;
  private long sequence;
  private long fencingToken;
  private long leaseStartMs = SteadyClock.nowMs();
  private long lastHeartbeatMs;
  private long fencingTokenReportedMs;
  private boolean heartbeatInFlight;
  private boolean changed;
  private ScheduledFuture<?> nextHeartbeat;
  private boolean partitioned;
  private boolean stopped;

  EmulatedWorker(Machine machine, MachineType type, int rack, EmulatedCell cell) {
    this.machine = machine;
    this.type = type;
    this.rack = rack;
    this.cell = cell;
    controllerNumber = cell.random.nextInt(cell.controllers().size());
    client = new HttpClient(cell.loop, 1, channel -> channel.pipeline().addFirst(cell.workerBytes));
    scheduleHeartbeat(0);
  }

  /** The number of the controller that this worker sends its heartbeats to. */
  int controllerNumber() {
    return controllerNumber;
  }

  long fencingToken() {
    return fencingToken;
  }

  /** Drops all messages from and to this worker while {@code true}. */
  void setPartitioned(boolean value) {
    partitioned = value;
  }

  /** Stops the machine and all tasks on it. */
  void stop() {
    stopped = true;
    dropTasks();
    if (nextHeartbeat != null) {
      nextHeartbeat.cancel(false);
    }
  }

  private void dropTasks() {
    tasks.forEach(
        (attempt, task) -> {
          if (task.state == TaskStatus.State.RUNNING) {
            cell.taskStopped(this, attempt, false);
          }
        });
    tasks.clear();
    allocated = Resources.NONE;
  }

  /** Starts the next incarnation if the lease has expired. */
  void checkLease(long nowMs) {
    if (!stopped && nowMs - leaseStartMs > cell.workerLeaseMs()) {
      dropTasks();
      incarnation++;
      leaseStartMs = nowMs;
      changed();
    }
  }

  // Heartbeats.

  private void scheduleHeartbeat(long delayMs) {
    if (nextHeartbeat != null) {
      nextHeartbeat.cancel(false);
    }
    if (!stopped) {
      nextHeartbeat = cell.loop.schedule(this::sendHeartbeat, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void scheduleNextHeartbeat() {
    scheduleHeartbeat(
        (long) (cell.heartbeatIntervalMs() * (0.75 + 0.5 * cell.random.nextDouble())));
  }

  private void changed() {
    changed = true;
    if (!heartbeatInFlight) {
      scheduleHeartbeat(
          Math.max(0, lastHeartbeatMs + MIN_HEARTBEAT_INTERVAL_MS - SteadyClock.nowMs()));
    }
  }

  private Heartbeat heartbeat() {
    ImmutableList.Builder<TaskStatus> statuses = ImmutableList.builder();
    tasks.forEach(
        (attempt, task) -> statuses.add(new TaskStatus(attempt, task.state, task.cause, false)));
    return new Heartbeat(machine, incarnation, ++sequence, fencingToken, null, statuses.build());
  }

  private void sendHeartbeat() {
    if (stopped || heartbeatInFlight) {
      return;
    }
    long sentMs = SteadyClock.nowMs();
    lastHeartbeatMs = sentMs;
    changed = false;
    heartbeatInFlight = true;
    if (partitioned) {
      cell.loop.schedule(
          () -> onHeartbeatResponse(sentMs, incarnation, 0, EMPTY_JSON),
          RESPONSE_TIMEOUT_MS,
          TimeUnit.MILLISECONDS);
      return;
    }
    byte[] body = WorkerClientCodec.encodeHeartbeat(heartbeat());
    cell.counters.reports++;
    cell.counters.reportedTasks += tasks.size();
    long sentIncarnation = incarnation;
    client.send(
        cell.controllers().get(controllerNumber).publicAddress(),
        "POST",
        WorkerCodec.HEARTBEAT_PATH,
        body,
        RESPONSE_TIMEOUT_MS,
        (status, responseBody) ->
            onHeartbeatResponse(sentMs, sentIncarnation, partitioned ? 0 : status, responseBody));
  }

  private void onHeartbeatResponse(
      long sentMs, long heartbeatIncarnation, int status, byte[] body) {
    heartbeatInFlight = false;
    if (stopped) {
      return;
    }
    try {
      if (status == 200) {
        renewLeaseAndExecute(sentMs, heartbeatIncarnation, WorkerClientCodec.decodeCommands(body));
        if (changed) {
          changed();
        } else {
          scheduleNextHeartbeat();
        }
      } else if (status == 421) {
        onRedirect(WorkerClientCodec.decodeLeader(body));
      } else {
        tryNextController();
      }
    } catch (MalformedMessageException e) {
      tryNextController();
    }
  }

  private void onRedirect(String leader) {
    int leaderNumber = cell.controllerIndex(leader);
    if (leaderNumber >= 0 && leaderNumber != controllerNumber) {
      controllerNumber = leaderNumber;
      scheduleHeartbeat(cell.random.nextInt((int) MIN_HEARTBEAT_INTERVAL_MS));
    } else {
      tryNextController();
    }
  }

  private void tryNextController() {
    controllerNumber = (controllerNumber + 1) % cell.controllers().size();
    scheduleHeartbeat(RETRY_NEXT_CONTROLLER_MS);
  }

  private void renewLeaseAndExecute(
      long sentMs, long heartbeatIncarnation, WorkerClientCodec.FencedCommands commands) {
    if (heartbeatIncarnation != incarnation || commands.fencingToken() < fencingToken) {
      return;
    }
    leaseStartMs = Math.max(leaseStartMs, sentMs);
    observeFencingToken(commands.fencingToken());
    commands.commands().forEach(this::execute);
  }

  private void observeFencingToken(long observed) {
    if (observed > fencingToken) {
      fencingToken = observed;
      cell.fencingTokenObserved(fencingToken);
      if (SteadyClock.nowMs() - fencingTokenReportedMs > cell.workerLeaseMs() / 2) {
        fencingTokenReportedMs = SteadyClock.nowMs();
        changed = true;
      }
    }
  }

  // Direct requests.

  void handle(HttpServer.Exchange exchange) {
    if (stopped || partitioned) {
      return;
    }
    if (exchange.path().equals(WorkerCodec.INSPECT_PATH)) {
      exchange.respond(200, WorkerClientCodec.encodeHeartbeat(heartbeat()), 0);
      return;
    }
    try {
      var commands = WorkerClientCodec.decodeCommands(exchange.body());
      boolean valid =
          commands.fencingToken() >= fencingToken && commands.incarnation() == incarnation;
      if (valid) {
        cell.counters.directCommands += commands.commands().size();
        observeFencingToken(commands.fencingToken());
        commands.commands().forEach(this::execute);
      }
      exchange.respond(valid ? 200 : 409, WorkerClientCodec.encodeHeartbeat(heartbeat()), 0);
      if (changed) {
        changed();
      }
    } catch (MalformedMessageException e) {
      exchange.respond(400, EMPTY_JSON, 0);
    }
  }

  // Commands.

  private void execute(WorkerCommand command) {
    Task task = tasks.get(command.attempt());
    if (command instanceof WorkerCommand.Run) {
      if (task == null) {
        run(command.attempt());
      }
    } else if (command instanceof WorkerCommand.Kill) {
      if (task != null && task.state != TaskStatus.State.ENDED) {
        end(command.attempt(), task, TaskStatus.Cause.STOPPED);
      }
    } else if (task != null && task.state == TaskStatus.State.ENDED) {
      tasks.remove(command.attempt());
    }
  }

  private void run(Attempt attempt) {
    Task task = new Task();
    tasks.put(attempt, task);
    changed = true;
    JobCatalog.Entry entry = cell.catalog.get(attempt.task().jobUid());
    if (entry == null) {
      end(attempt, task, TaskStatus.Cause.UNKNOWN);
    } else if (hasOtherAttempt(attempt)) {
      end(attempt, task, TaskStatus.Cause.BUSY);
    } else if (!allocated.plus(entry.job().taskResources()).fitsIn(type.capacity())) {
      end(attempt, task, TaskStatus.Cause.NO_ROOM);
    } else {
      task.allocation = entry.job().taskResources();
      allocated = allocated.plus(task.allocation);
      long waitMs = Math.max(1, imageReadyMs(entry) - SteadyClock.nowMs());
      cell.loop.schedule(() -> start(attempt, task, entry), waitMs, TimeUnit.MILLISECONDS);
    }
  }

  private boolean hasOtherAttempt(Attempt attempt) {
    for (Map.Entry<Attempt, Task> other : tasks.entrySet()) {
      if (!other.getKey().equals(attempt)
          && other.getKey().task().equals(attempt.task())
          && other.getValue().state != TaskStatus.State.ENDED) {
        return true;
      }
    }
    return false;
  }

  private long imageReadyMs(JobCatalog.Entry entry) {
    double fetchS = entry.job().imageGb() / type.imageFetchGbPerS();
    return imageReadyMs.computeIfAbsent(
        entry.job().image(), image -> SteadyClock.nowMs() + (long) (1000 * fetchS));
  }

  private void start(Attempt attempt, Task task, JobCatalog.Entry entry) {
    if (stopped || tasks.get(attempt) != task || task.state != TaskStatus.State.FETCHING) {
      return;
    }
    task.state = TaskStatus.State.RUNNING;
    cell.taskStarted(this, attempt, entry);
    if (cell.isFinished(attempt.task())) {
      end(attempt, task, TaskStatus.Cause.DONE);
    } else if (entry.taskMs() > 0) {
      cell.loop.schedule(() -> finish(attempt, task), entry.taskMs(), TimeUnit.MILLISECONDS);
    }
    changed();
  }

  private void finish(Attempt attempt, Task task) {
    if (!stopped && tasks.get(attempt) == task && task.state == TaskStatus.State.RUNNING) {
      end(attempt, task, TaskStatus.Cause.DONE);
      changed();
    }
  }

  private void end(Attempt attempt, Task task, TaskStatus.Cause cause) {
    boolean wasRunning = task.state == TaskStatus.State.RUNNING;
    task.state = TaskStatus.State.ENDED;
    task.cause = cause;
    allocated = allocated.minus(task.allocation);
    task.allocation = Resources.NONE;
    changed = true;
    if (wasRunning) {
      cell.taskStopped(this, attempt, cause == TaskStatus.Cause.DONE);
    }
  }

  /** The attempts that are running on this machine. */
  List<Attempt> runningAttempts() {
    return tasks.entrySet().stream()
        .filter(entry -> entry.getValue().state == TaskStatus.State.RUNNING)
        .map(Map.Entry::getKey)
        .toList();
  }
}
