package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.model.Attempt;
import eiderfork.model.Command;
import eiderfork.model.Machine;
import eiderfork.model.Report;
import eiderfork.model.TaskId;
import eiderfork.model.TaskReport;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What workers send and are sent. */
public final class WorkerWire {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerWire.class);

  /** Where workers report. */
  public static final String REPORT = "/v1/report";

  /** Where a worker takes direct commands. */
  public static final String COMMANDS = "/do";

  /** Where a worker tells its report. */
  public static final String INSPECT = "/inspect";

  private WorkerWire() {}

  /**
   * Reads a worker's report.
   *
   * @throws BadMessage where it does not follow the protocol
   */
  public static Report report(byte[] body) throws BadMessage {
    JsonNode node = Json.parse(body);
    Machine machine =
        new Machine(
            Json.text(node, "Roost"),
            Json.text(node, "Addr"),
            Json.text(node, "Breed"),
            Json.text(node, "Shore"),
            Json.flag(node, "Driftwood"));
    ImmutableList.Builder<TaskReport> tasks = ImmutableList.builder();
    for (JsonNode task : Json.array(node, "Hatchlings")) {
      tasks.add(task(task));
    }
    return new Report(
        machine,
        Json.integer(node, "Tenure"),
        Json.integer(node, "Tally"),
        Json.integer(node, "Warrant"),
        Json.amountOrNull(node, "WarningS"),
        tasks.build());
  }

  private static TaskReport task(JsonNode node) throws BadMessage {
    TaskId id = TaskId.parse(Json.text(node, "Hatchling"));
    if (id == null) {
      throw new BadMessage("field Hatchling names no task");
    }
    TaskReport.State state = state(id, Json.text(node, "Stance"));
    TaskReport.Cause cause =
        state == TaskReport.State.ENDED ? cause(id, Json.text(node, "Cause")) : null;
    boolean saved = node.hasNonNull("Kept") && Json.flag(node, "Kept");
    return new TaskReport(new Attempt(id, Json.integer(node, "Try")), state, cause, saved);
  }

  /** A task in a state that this version does not know is on its machine all the same. */
  private static TaskReport.State state(TaskId id, String name) {
    TaskReport.State state = Names.TASK_STATE.get(name);
    if (state == null) {
      LOG.warn("{} is in a state that is not known: {}", id, name);
      return TaskReport.State.OTHER;
    }
    return state;
  }

  /** A cause that this version does not know still ends the task; it is tried again elsewhere. */
  private static TaskReport.Cause cause(TaskId id, String name) {
    TaskReport.Cause cause = Names.CAUSE.get(name);
    if (cause == null) {
      LOG.warn("{} has ended for a reason that is not known: {}", id, name);
      return TaskReport.Cause.STOPPED;
    }
    return cause;
  }

  /** The body of an answer to a report. */
  public static byte[] answer(long token, List<Command> commands) {
    ObjectNode node = Json.object();
    node.put("Warrant", token);
    put(node.putArray("Calls"), commands);
    return Json.bytes(node);
  }

  /** The body of direct commands. */
  public static byte[] commands(long token, long session, List<Command> commands) {
    ObjectNode node = Json.object();
    node.put("Warrant", token);
    node.put("Tenure", session);
    put(node.putArray("Calls"), commands);
    return Json.bytes(node);
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
    ObjectNode node = Json.object();
    if (leader != null) {
      node.put("Herald", leader);
    }
    return Json.bytes(node);
  }
}
