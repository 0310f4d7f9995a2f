package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.model.Attempt;
import eiderfork.model.Heartbeat;
import eiderfork.model.Machine;
import eiderfork.model.TaskId;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The controller's side of the workers' protocol: decodes heartbeats and encodes commands. */
public final class WorkerCodec {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerCodec.class);

  /** The path that takes heartbeats on a controller. */
  public static final String HEARTBEAT_PATH = "/v1/report";

  /** The path that takes direct commands on a worker. */
  public static final String COMMANDS_PATH = "/do";

  /** The path that returns the current heartbeat of a worker. */
  public static final String INSPECT_PATH = "/inspect";

  private WorkerCodec() {}

  /**
   * Decodes a worker's heartbeat.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
   */
  public static Heartbeat decodeHeartbeat(byte[] body) throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    Machine machine = decodeMachine(node);
    ImmutableList.Builder<TaskStatus> tasks = ImmutableList.builder();
    for (JsonNode task : JsonReader.array(node, ProtocolFields.TASKS)) {
      tasks.add(decodeTask(task));
    }
    return new Heartbeat(
        machine,
        JsonReader.integer(node, ProtocolFields.INCARNATION),
        JsonReader.integer(node, ProtocolFields.SEQUENCE),
        JsonReader.integer(node, ProtocolFields.FENCING_TOKEN),
        JsonReader.amountOrNull(node, ProtocolFields.PREEMPTION_NOTICE_S),
        tasks.build());
  }

  private static Machine decodeMachine(JsonNode node) throws MalformedMessageException {
    return new Machine(
        JsonReader.text(node, ProtocolFields.MACHINE),
        JsonReader.text(node, ProtocolFields.ADDRESS),
        JsonReader.text(node, ProtocolFields.MACHINE_TYPE),
        JsonReader.text(node, ProtocolFields.ZONE),
        JsonReader.flag(node, ProtocolFields.SPOT));
  }

  private static TaskStatus decodeTask(JsonNode node) throws MalformedMessageException {
    TaskId id = TaskId.parse(JsonReader.text(node, ProtocolFields.TASK));
    if (id == null) {
      throw new MalformedMessageException("field Hatchling names no task");
    }
    TaskStatus.State state = decodeState(id, JsonReader.text(node, ProtocolFields.STATE));
    boolean hasEnded = state == TaskStatus.State.ENDED;
    TaskStatus.Cause cause =
        hasEnded ? decodeCause(id, JsonReader.text(node, ProtocolFields.END_CAUSE)) : null;
    boolean isSaved =
        node.hasNonNull(ProtocolFields.IS_SAVED) && JsonReader.flag(node, ProtocolFields.IS_SAVED);
    Attempt attempt = new Attempt(id, JsonReader.integer(node, ProtocolFields.ATTEMPT));
    return new TaskStatus(attempt, state, cause, isSaved);
  }

  /** Maps an unknown state to {@code OTHER}, since the task still occupies its machine. */
  private static TaskStatus.State decodeState(TaskId id, String name) {
    TaskStatus.State state = ProtocolNames.TASK_STATES.get(name);
    if (state == null) {
      LOG.warn("unknown-task-state task={} state={}", id, name);
      return TaskStatus.State.OTHER;
    }
    return state;
  }

  /** Maps an unknown cause to {@code STOPPED}, so that the ended task is retried. */
  private static TaskStatus.Cause decodeCause(TaskId id, String name) {
    TaskStatus.Cause cause = ProtocolNames.END_CAUSES.get(name);
    if (cause == null) {
      LOG.warn("unknown-end-cause task={} cause={}", id, name);
      return TaskStatus.Cause.STOPPED;
    }
    return cause;
  }

  /** Encodes the body of the response to a heartbeat. */
  public static byte[] encodeHeartbeatResponse(long fencingToken, List<WorkerCommand> commands) {
    ObjectNode node = JsonReader.newObject();
    node.put(ProtocolFields.FENCING_TOKEN, fencingToken);
    putCommands(node.putArray(ProtocolFields.COMMANDS), commands);
    return JsonReader.toBytes(node);
  }

  /** Encodes the body of a direct request with commands. */
  public static byte[] encodeCommands(
      long fencingToken, long incarnation, List<WorkerCommand> commands) {
    ObjectNode node = JsonReader.newObject();
    node.put(ProtocolFields.FENCING_TOKEN, fencingToken);
    node.put(ProtocolFields.INCARNATION, incarnation);
    putCommands(node.putArray(ProtocolFields.COMMANDS), commands);
    return JsonReader.toBytes(node);
  }

  private static void putCommands(ArrayNode array, List<WorkerCommand> commands) {
    for (WorkerCommand command : commands) {
      ObjectNode node = array.addObject();
      node.put(ProtocolFields.COMMAND, commandName(command));
      node.put(ProtocolFields.TASK, command.attempt().task().toString());
      node.put(ProtocolFields.ATTEMPT, command.attempt().number());
      if (command instanceof WorkerCommand.Kill kill) {
        node.put(ProtocolFields.GRACE_S, kill.graceS());
      }
    }
  }

  private static String commandName(WorkerCommand command) {
    if (command instanceof WorkerCommand.Run) {
      return "run";
    }
    return command instanceof WorkerCommand.Kill ? "kill" : "clear";
  }

  /** Encodes the body of a redirect; {@code leader} is null if the leader is unknown. */
  public static byte[] encodeRedirect(String leader) {
    ObjectNode node = JsonReader.newObject();
    if (leader != null) {
      node.put(ProtocolFields.LEADER, leader);
    }
    return JsonReader.toBytes(node);
  }
}
