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

/** The worker's side of its protocol, for stand-ins. */
public final class WorkerClientCodec {
  private WorkerClientCodec() {}

  /** Commands under a fencing token; session 0 where they come with the answer to a report. */
  public record Commands(long token, long session, ImmutableList<Command> commands) {}

  /** The body of a report. */
  public static byte[] report(Heartbeat report) {
    Machine machine = report.machine();
    ObjectNode node = JsonReader.object();
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
    for (TaskStatus task : report.tasks()) {
      ObjectNode one = tasks.addObject();
      one.put("Hatchling", task.attempt().task().toString());
      one.put("Try", task.attempt().number());
      one.put("Stance", ProtocolNames.TASK_STATE.inverse().get(task.state()));
      if (task.cause() != null) {
        one.put("Cause", ProtocolNames.CAUSE.inverse().get(task.cause()));
      }
    }
    return JsonReader.bytes(node);
  }

  /**
   * Reads the answer to a report, or direct commands.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Commands commands(byte[] body) throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    ImmutableList.Builder<Command> commands = ImmutableList.builder();
    for (JsonNode call : JsonReader.array(node, "Calls")) {
      TaskId task = TaskId.parse(JsonReader.text(call, "Hatchling"));
      Attempt attempt = new Attempt(task, JsonReader.integer(call, "Try"));
      switch (JsonReader.text(call, "Call")) {
        case "run" -> commands.add(new Command.Run(attempt));
        case "kill" -> commands.add(new Command.Kill(attempt, JsonReader.amount(call, "RespiteS")));
        case "clear" -> commands.add(new Command.Clear(attempt));
        default -> throw new MalformedMessageException("unknown command");
      }
    }
    long session = node.hasNonNull("Tenure") ? JsonReader.integer(node, "Tenure") : 0;
    return new Commands(JsonReader.integer(node, "Warrant"), session, commands.build());
  }

  /**
   * Reads which node a worker is sent to; null for none.
   *
   * @throws MalformedMessageException where the answer does not follow the protocol
   */
  public static String leader(byte[] body) throws MalformedMessageException {
    return JsonReader.textOrNull(JsonReader.parse(body), "Herald");
  }
}
