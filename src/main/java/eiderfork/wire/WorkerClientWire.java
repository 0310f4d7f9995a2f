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

/** The worker's side of its protocol, for stand-ins. */
public final class WorkerClientWire {
  private WorkerClientWire() {}

  /** Commands under a fencing token; session 0 where they come with the answer to a report. */
  public record Commands(long token, long session, ImmutableList<Command> commands) {}

  /** The body of a report. */
  public static byte[] report(Report report) {
    Machine machine = report.machine();
    ObjectNode node = Json.object();
    node.put("Roost", machine.name());
    node.put("Addr", machine.addr());
    node.put("Breed", machine.type());
    node.put("Shore", machine.zone());
    node.put("Driftwood", machine.spot());
    node.put("Tenure", report.session());
    node.put("Tally", report.seq());
    node.put("Warrant", report.token());
    if (report.noticeS() != null) {
      node.put("WarningS", report.noticeS());
    }
    ArrayNode tasks = node.putArray("Hatchlings");
    for (TaskReport task : report.tasks()) {
      ObjectNode one = tasks.addObject();
      one.put("Hatchling", task.attempt().task().toString());
      one.put("Try", task.attempt().number());
      one.put("Stance", Names.TASK_STATE.inverse().get(task.state()));
      if (task.cause() != null) {
        one.put("Cause", Names.CAUSE.inverse().get(task.cause()));
      }
    }
    return Json.bytes(node);
  }

  /**
   * Reads the answer to a report, or direct commands.
   *
   * @throws BadMessage where it does not follow the protocol
   */
  public static Commands commands(byte[] body) throws BadMessage {
    JsonNode node = Json.parse(body);
    ImmutableList.Builder<Command> commands = ImmutableList.builder();
    for (JsonNode call : Json.array(node, "Calls")) {
      TaskId task = TaskId.parse(Json.text(call, "Hatchling"));
      Attempt attempt = new Attempt(task, Json.integer(call, "Try"));
      switch (Json.text(call, "Call")) {
        case "run" -> commands.add(new Command.Run(attempt));
        case "kill" -> commands.add(new Command.Kill(attempt, Json.amount(call, "RespiteS")));
        case "clear" -> commands.add(new Command.Clear(attempt));
        default -> throw new BadMessage("unknown command");
      }
    }
    long session = node.hasNonNull("Tenure") ? Json.integer(node, "Tenure") : 0;
    return new Commands(Json.integer(node, "Warrant"), session, commands.build());
  }

  /**
   * Reads which node a worker is sent to; null for none.
   *
   * @throws BadMessage where the answer does not follow the protocol
   */
  public static String leader(byte[] body) throws BadMessage {
    return Json.textOrNull(Json.parse(body), "Herald");
  }
}
