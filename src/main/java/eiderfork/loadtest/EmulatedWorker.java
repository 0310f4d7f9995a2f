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

/** A worker without work: keeps the protocol's sessions, leases and tokens; tasks are delays. */
final class EmulatedWorker {
  private static final long LEAST_BETWEEN_REPORTS_MS = 500;
  private static final long ANSWER_MS = 4000;
  private static final long NEXT_NODE_MS = 1000;
  private static final byte[] EMPTY = "{}".getBytes(StandardCharsets.UTF_8);

  private static final class Task {
    TaskStatus.State state = TaskStatus.State.FETCHING;
    TaskStatus.Cause cause;
    Resources need = Resources.NONE;
  }

  final Machine machine;
  final int rack;
  private final MachineType type;
  private final EmulatedCell cell;
  private final HttpClient client;
  private final Map<Attempt, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Long> imageReadyMs = new HashMap<>();
  private Resources used = Resources.NONE;
  private int node;
  private long session = 1;
  private long sequence;
  private long token;
  private long leaseFromMs = SteadyClock.nowMs();
  private long lastReportMs;
  private long tokenReportedMs;
  private boolean reporting;
  private boolean changed;
  private ScheduledFuture<?> next;
  private boolean cutOff;
  private boolean gone;

  EmulatedWorker(Machine machine, MachineType type, int rack, EmulatedCell cell) {
    this.machine = machine;
    this.type = type;
    this.rack = rack;
    this.cell = cell;
    node = cell.random.nextInt(cell.controllers().size());
    client = new HttpClient(cell.loop, 1, channel -> channel.pipeline().addFirst(cell.workerBytes));
    reportIn(0);
  }

  /** The node that this worker reports to. */
  int node() {
    return node;
  }

  long token() {
    return token;
  }

  /** Whether nothing reaches this worker and nothing from it gets through. */
  void cutOff(boolean value) {
    cutOff = value;
  }

  /** The machine is gone with all that is on it. */
  void stop() {
    gone = true;
    dropTasks();
    if (next != null) {
      next.cancel(false);
    }
  }

  private void dropTasks() {
    tasks.forEach(
        (attempt, task) -> {
          if (task.state == TaskStatus.State.RUNNING) {
            cell.taskGone(this, attempt, false);
          }
        });
    tasks.clear();
    used = Resources.NONE;
  }

  /** Ends the session where the lease has run out. */
  void checkLease(long nowMs) {
    if (!gone && nowMs - leaseFromMs > cell.leaseMs()) {
      dropTasks();
      session++;
      leaseFromMs = nowMs;
      changed();
    }
  }

  // Reports.

  private void reportIn(long delayMs) {
    if (next != null) {
      next.cancel(false);
    }
    if (!gone) {
      next = cell.loop.schedule(this::sendReport, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void reportRegularly() {
    reportIn((long) (cell.reportMs() * (0.75 + 0.5 * cell.random.nextDouble())));
  }

  private void changed() {
    changed = true;
    if (!reporting) {
      reportIn(Math.max(0, lastReportMs + LEAST_BETWEEN_REPORTS_MS - SteadyClock.nowMs()));
    }
  }

  private Heartbeat report() {
    ImmutableList.Builder<TaskStatus> list = ImmutableList.builder();
    tasks.forEach(
        (attempt, task) -> list.add(new TaskStatus(attempt, task.state, task.cause, false)));
    return new Heartbeat(machine, session, ++sequence, token, null, list.build());
  }

  private void sendReport() {
    if (gone || reporting) {
      return;
    }
    long sentMs = SteadyClock.nowMs();
    lastReportMs = sentMs;
    changed = false;
    reporting = true;
    if (cutOff) {
      cell.loop.schedule(
          () -> answered(sentMs, session, 0, EMPTY), ANSWER_MS, TimeUnit.MILLISECONDS);
      return;
    }
    byte[] body = WorkerClientCodec.encodeReport(report());
    cell.counters.reports++;
    cell.counters.reportedTasks += tasks.size();
    long ofSession = session;
    client.send(
        cell.controllers().get(node).publicAddress(),
        "POST",
        WorkerCodec.REPORT_PATH,
        body,
        ANSWER_MS,
        (status, responseBody) -> answered(sentMs, ofSession, cutOff ? 0 : status, responseBody));
  }

  private void answered(long sentMs, long ofSession, int status, byte[] body) {
    reporting = false;
    if (gone) {
      return;
    }
    try {
      if (status == 200) {
        taken(sentMs, ofSession, WorkerClientCodec.decodeCommands(body));
        if (changed) {
          changed();
        } else {
          reportRegularly();
        }
      } else if (status == 421) {
        redirected(WorkerClientCodec.decodeLeader(body));
      } else {
        tryNextNode();
      }
    } catch (MalformedMessageException e) {
      tryNextNode();
    }
  }

  private void redirected(String leader) {
    int named = cell.controllerIndex(leader);
    if (named >= 0 && named != node) {
      node = named;
      reportIn(cell.random.nextInt((int) LEAST_BETWEEN_REPORTS_MS));
    } else {
      tryNextNode();
    }
  }

  private void tryNextNode() {
    node = (node + 1) % cell.controllers().size();
    reportIn(NEXT_NODE_MS);
  }

  private void taken(long sentMs, long ofSession, WorkerClientCodec.FencedCommands commands) {
    if (ofSession != session || commands.fencingToken() < token) {
      return;
    }
    leaseFromMs = Math.max(leaseFromMs, sentMs);
    seen(commands.fencingToken());
    commands.commands().forEach(this::execute);
  }

  private void seen(long newer) {
    if (newer > token) {
      token = newer;
      cell.tokenSeen(token);
      if (SteadyClock.nowMs() - tokenReportedMs > cell.leaseMs() / 2) {
        tokenReportedMs = SteadyClock.nowMs();
        changed = true;
      }
    }
  }

  // Direct requests.

  void handle(HttpServer.Exchange exchange) {
    if (gone || cutOff) {
      return;
    }
    if (exchange.path.equals(WorkerCodec.INSPECT_PATH)) {
      exchange.respond(200, WorkerClientCodec.encodeReport(report()), 0);
      return;
    }
    try {
      var commands = WorkerClientCodec.decodeCommands(exchange.body);
      boolean valid = commands.fencingToken() >= token && commands.incarnation() == session;
      if (valid) {
        cell.counters.directCommands += commands.commands().size();
        seen(commands.fencingToken());
        commands.commands().forEach(this::execute);
      }
      exchange.respond(valid ? 200 : 409, WorkerClientCodec.encodeReport(report()), 0);
      if (changed) {
        changed();
      }
    } catch (MalformedMessageException e) {
      exchange.respond(400, EMPTY, 0);
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
    JobCatalog.Entry entry = cell.catalogue.get(attempt.task().jobUid());
    if (entry == null) {
      end(attempt, task, TaskStatus.Cause.UNKNOWN);
    } else if (isHereAlready(attempt)) {
      end(attempt, task, TaskStatus.Cause.BUSY);
    } else if (!used.plus(entry.job().taskResources()).fitsIn(type.capacity())) {
      end(attempt, task, TaskStatus.Cause.NO_ROOM);
    } else {
      task.need = entry.job().taskResources();
      used = used.plus(task.need);
      long waitMs = Math.max(1, imageReadyMs(entry) - SteadyClock.nowMs());
      cell.loop.schedule(() -> start(attempt, task, entry), waitMs, TimeUnit.MILLISECONDS);
    }
  }

  private boolean isHereAlready(Attempt attempt) {
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
    if (gone || tasks.get(attempt) != task || task.state != TaskStatus.State.FETCHING) {
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
    if (!gone && tasks.get(attempt) == task && task.state == TaskStatus.State.RUNNING) {
      end(attempt, task, TaskStatus.Cause.DONE);
      changed();
    }
  }

  private void end(Attempt attempt, Task task, TaskStatus.Cause cause) {
    boolean wasRunning = task.state == TaskStatus.State.RUNNING;
    task.state = TaskStatus.State.ENDED;
    task.cause = cause;
    used = used.minus(task.need);
    task.need = Resources.NONE;
    changed = true;
    if (wasRunning) {
      cell.taskGone(this, attempt, cause == TaskStatus.Cause.DONE);
    }
  }

  /** What runs on this machine now. */
  List<Attempt> running() {
    return tasks.entrySet().stream()
        .filter(it -> it.getValue().state == TaskStatus.State.RUNNING)
        .map(Map.Entry::getKey)
        .toList();
  }
}
