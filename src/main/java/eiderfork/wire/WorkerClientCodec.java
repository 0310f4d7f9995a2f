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

/** The worker's side of its protocol, for stand-ins. */
public final class WorkerClientCodec {
  private WorkerClientCodec() {}

  /** Commands under a fencing token; session 0 where they come with the answer to a report. */
  public record FencedCommands(
      long fencingToken, long incarnation, ImmutableList<WorkerCommand> commands) {}

  /** The body of a report. */
  public static byte[] encodeReport(Heartbeat heartbeat) {
    Machine machine = heartbeat.machine();
    ObjectNode node = JsonReader.newObject();
    node.put("Roost", machine.name());
    node.put("Addr", machine.address());
    node.put("Breed", machine.type());
    node.put("Shore", machine.zone());
    node.put("Driftwood", machine.spot());
    node.put("Tenure", heartbeat.incarnation());
    node.put("Tally", heartbeat.sequenceNumber());
    node.put("Warrant", heartbeat.fencingToken());
    if (heartbeat.terminationNoticeS() != null) {
      node.put("WarningS", heartbeat.terminationNoticeS());
    }
    ArrayNode tasks = node.putArray("Hatchlings");
    for (TaskStatus task : heartbeat.tasks()) {
      ObjectNode one = tasks.addObject();
      one.put("Hatchling", task.attempt().task().toString());
      one.put("Try", task.attempt().number());
      one.put("Stance", ProtocolNames.TASK_STATES.inverse().get(task.state()));
      if (task.cause() != null) {
        one.put("Cause", ProtocolNames.END_CAUSES.inverse().get(task.cause()));
      }
    }
    return JsonReader.toBytes(node);
  }

  /**
   * Reads the answer to a report, or direct commands.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static FencedCommands decodeCommands(byte[] body) throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    ImmutableList.Builder<WorkerCommand> commands = ImmutableList.builder();
    for (JsonNode call : JsonReader.array(node, "Calls")) {
      TaskId task = TaskId.parse(JsonReader.text(call, "Hatchling"));
      Attempt attempt = new Attempt(task, JsonReader.integer(call, "Try"));
      switch (JsonReader.text(call, "Call")) {
        case "run" -> commands.add(new WorkerCommand.Run(attempt));
        case "kill" ->
            commands.add(new WorkerCommand.Kill(attempt, JsonReader.amount(call, "RespiteS")));
        case "clear" -> commands.add(new WorkerCommand.Clear(attempt));
        default -> throw new MalformedMessageException("unknown command");
      }
    }
    long session = node.hasNonNull("Tenure") ? JsonReader.integer(node, "Tenure") : 0;
    return new FencedCommands(JsonReader.integer(node, "Warrant"), session, commands.build());
  }

  /**
   * Reads which node a worker is sent to; null for none.
   *
   * @throws MalformedMessageException where the answer does not follow the protocol
   */
  public static String decodeLeader(byte[] body) throws MalformedMessageException {
    return JsonReader.textOrNull(JsonReader.parse(body), "Herald");
  }
}
