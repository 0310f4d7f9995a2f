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

/** What workers send and are sent. */
public final class WorkerCodec {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerCodec.class);

  /** Where workers report. */
  public static final String REPORT_PATH = "/v1/report";

  /** Where a worker takes direct commands. */
  public static final String COMMANDS_PATH = "/do";

  /** Where a worker tells its report. */
  public static final String INSPECT_PATH = "/inspect";

  private WorkerCodec() {}

  /**
   * Reads a worker's report.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Heartbeat decodeReport(byte[] body) throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    Machine machine =
        new Machine(
            JsonReader.text(node, "Roost"),
            JsonReader.text(node, "Addr"),
            JsonReader.text(node, "Breed"),
            JsonReader.text(node, "Shore"),
            JsonReader.flag(node, "Driftwood"));
    ImmutableList.Builder<TaskStatus> tasks = ImmutableList.builder();
    for (JsonNode task : JsonReader.array(node, "Hatchlings")) {
      tasks.add(decodeTask(task));
    }
    return new Heartbeat(
        machine,
        JsonReader.integer(node, "Tenure"),
        JsonReader.integer(node, "Tally"),
        JsonReader.integer(node, "Warrant"),
        JsonReader.amountOrNull(node, "WarningS"),
        tasks.build());
  }

  private static TaskStatus decodeTask(JsonNode node) throws MalformedMessageException {
    TaskId id = TaskId.parse(JsonReader.text(node, "Hatchling"));
    if (id == null) {
      throw new MalformedMessageException("field Hatchling names no task");
    }
    TaskStatus.State state = decodeState(id, JsonReader.text(node, "Stance"));
    TaskStatus.Cause cause =
        state == TaskStatus.State.ENDED ? decodeCause(id, JsonReader.text(node, "Cause")) : null;
    boolean saved = node.hasNonNull("Kept") && JsonReader.flag(node, "Kept");
    return new TaskStatus(new Attempt(id, JsonReader.integer(node, "Try")), state, cause, saved);
  }

  /** A task in a state that this version does not know is on its machine all the same. */
  private static TaskStatus.State decodeState(TaskId id, String name) {
    TaskStatus.State state = ProtocolNames.TASK_STATES.get(name);
    if (state == null) {
      LOG.warn("{} is in a state that is not known: {}", id, name);
      return TaskStatus.State.OTHER;
    }
    return state;
  }

  /** A cause that this version does not know still ends the task; it is tried again elsewhere. */
  private static TaskStatus.Cause decodeCause(TaskId id, String name) {
    TaskStatus.Cause cause = ProtocolNames.END_CAUSES.get(name);
    if (cause == null) {
      LOG.warn("{} has ended for a reason that is not known: {}", id, name);
      return TaskStatus.Cause.STOPPED;
    }
    return cause;
  }

  /** The body of an answer to a report. */
  public static byte[] encodeReportResponse(long token, List<WorkerCommand> commands) {
    ObjectNode node = JsonReader.newObject();
    node.put("Warrant", token);
    putCommands(node.putArray("Calls"), commands);
    return JsonReader.toBytes(node);
  }

  /** The body of direct commands. */
  public static byte[] encodeCommands(long token, long session, List<WorkerCommand> commands) {
    ObjectNode node = JsonReader.newObject();
    node.put("Warrant", token);
    node.put("Tenure", session);
    putCommands(node.putArray("Calls"), commands);
    return JsonReader.toBytes(node);
  }

  private static void putCommands(ArrayNode calls, List<WorkerCommand> commands) {
    for (WorkerCommand command : commands) {
      ObjectNode call = calls.addObject();
      if (command instanceof WorkerCommand.Run) {
        call.put("Call", "run");
      } else if (command instanceof WorkerCommand.Kill) {
        call.put("Call", "kill");
      } else {
        call.put("Call", "clear");
      }
      call.put("Hatchling", command.attempt().task().toString());
      call.put("Try", command.attempt().number());
      if (command instanceof WorkerCommand.Kill kill) {
        call.put("RespiteS", kill.graceS());
      }
    }
  }

  /** The body of a redirect to the leader; {@code leader} is null where it is not known. */
  public static byte[] encodeRedirect(String leader) {
    ObjectNode node = JsonReader.newObject();
    if (leader != null) {
      node.put("Herald", leader);
    }
    return JsonReader.toBytes(node);
  }
}
