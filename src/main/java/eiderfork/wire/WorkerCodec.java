package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.model.Attempt;
import eiderfork.model.Command;
import eiderfork.model.Heartbeat;
import eiderfork.model.Machine;
import eiderfork.model.TaskId;
import eiderfork.model.TaskStatus;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What workers send and are sent. */
public final class WorkerCodec {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerCodec.class);

  /** Where workers report. */
  public static final String REPORT = "/v1/report";

  /** Where a worker takes direct commands. */
  public static final String COMMANDS = "/do";

  /** Where a worker tells its report. */
  public static final String INSPECT = "/inspect";

  private WorkerCodec() {}

  /**
   * Reads a worker's report.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Heartbeat report(byte[] body) throws MalformedMessageException {
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
      tasks.add(task(task));
    }
    return new Heartbeat(
        machine,
        JsonReader.integer(node, "Tenure"),
        JsonReader.integer(node, "Tally"),
        JsonReader.integer(node, "Warrant"),
        JsonReader.amountOrNull(node, "WarningS"),
        tasks.build());
  }

  private static TaskStatus task(JsonNode node) throws MalformedMessageException {
    TaskId id = TaskId.parse(JsonReader.text(node, "Hatchling"));
    if (id == null) {
      throw new MalformedMessageException("field Hatchling names no task");
    }
    TaskStatus.State state = state(id, JsonReader.text(node, "Stance"));
    TaskStatus.Cause cause =
        state == TaskStatus.State.ENDED ? cause(id, JsonReader.text(node, "Cause")) : null;
    boolean saved = node.hasNonNull("Kept") && JsonReader.flag(node, "Kept");
    return new TaskStatus(new Attempt(id, JsonReader.integer(node, "Try")), state, cause, saved);
  }

  /** A task in a state that this version does not know is on its machine all the same. */
  private static TaskStatus.State state(TaskId id, String name) {
    TaskStatus.State state = ProtocolNames.TASK_STATE.get(name);
    if (state == null) {
      LOG.warn("{} is in a state that is not known: {}", id, name);
      return TaskStatus.State.OTHER;
    }
    return state;
  }

  /** A cause that this version does not know still ends the task; it is tried again elsewhere. */
  private static TaskStatus.Cause cause(TaskId id, String name) {
    TaskStatus.Cause cause = ProtocolNames.CAUSE.get(name);
    if (cause == null) {
      LOG.warn("{} has ended for a reason that is not known: {}", id, name);
      return TaskStatus.Cause.STOPPED;
    }
    return cause;
  }

  /** The body of an answer to a report. */
  public static byte[] answer(long token, List<Command> commands) {
    ObjectNode node = JsonReader.object();
    node.put("Warrant", token);
    put(node.putArray("Calls"), commands);
    return JsonReader.bytes(node);
  }

  /** The body of direct commands. */
  public static byte[] commands(long token, long session, List<Command> commands) {
    ObjectNode node = JsonReader.object();
    node.put("Warrant", token);
    node.put("Tenure", session);
    put(node.putArray("Calls"), commands);
    return JsonReader.bytes(node);
  }

  private static void put(ArrayNode calls, List<Command> commands) {
    for (Command command : commands) {
      ObjectNode call = calls.addObject();
      if (command instanceof Command.Run) {
        call.put("Call", "run");
      } else if (command instanceof Command.Kill) {
        call.put("Call", "kill");
      } else {
        call.put("Call", "clear");
      }
      call.put("Hatchling", command.attempt().task().toString());
      call.put("Try", command.attempt().number());
      if (command instanceof Command.Kill kill) {
        call.put("RespiteS", kill.graceS());
      }
    }
  }

  /** The body of a redirect to the leader; {@code leader} is null where it is not known. */
  public static byte[] redirect(String leader) {
    ObjectNode node = JsonReader.object();
    if (leader != null) {
      node.put("Herald", leader);
    }
    return JsonReader.bytes(node);
  }
}
