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

/** The worker's side of its protocol, for emulations. */
public final class WorkerClientCodec {
  private WorkerClientCodec() {}

  /**
   * Commands under a fencing token.
   *
   * @param incarnation 0 where they come with the response to a heartbeat
   */
  public record FencedCommands(
      long fencingToken, long incarnation, ImmutableList<WorkerCommand> commands) {}

  /** The body of a heartbeat. */
  public static byte[] encodeHeartbeat(Heartbeat heartbeat) {
    Machine machine = heartbeat.machine();
    ObjectNode node = JsonReader.newObject();
    node.put(ProtocolFields.MACHINE, machine.name());
    node.put(ProtocolFields.ADDRESS, machine.address());
    node.put(ProtocolFields.MACHINE_TYPE, machine.type());
    node.put(ProtocolFields.ZONE, machine.zone());
    node.put(ProtocolFields.SPOT, machine.spot());
    node.put(ProtocolFields.INCARNATION, heartbeat.incarnation());
    node.put(ProtocolFields.SEQUENCE, heartbeat.sequenceNumber());
    node.put(ProtocolFields.FENCING_TOKEN, heartbeat.fencingToken());
    if (heartbeat.terminationNoticeS() != null) {
      node.put(ProtocolFields.PREEMPTION_NOTICE_S, heartbeat.terminationNoticeS());
    }
    ArrayNode tasks = node.putArray(ProtocolFields.TASKS);
    for (TaskStatus task : heartbeat.tasks()) {
      ObjectNode one = tasks.addObject();
      one.put(ProtocolFields.TASK, task.attempt().task().toString());
      one.put(ProtocolFields.ATTEMPT, task.attempt().number());
      one.put(ProtocolFields.STATE, ProtocolNames.TASK_STATES.inverse().get(task.state()));
      if (task.cause() != null) {
        one.put(ProtocolFields.END_CAUSE, ProtocolNames.END_CAUSES.inverse().get(task.cause()));
      }
    }
    return JsonReader.toBytes(node);
  }

  /**
   * Reads the response to a heartbeat, or direct commands.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static FencedCommands decodeCommands(byte[] body) throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    ImmutableList.Builder<WorkerCommand> commands = ImmutableList.builder();
    for (JsonNode call : JsonReader.array(node, ProtocolFields.COMMANDS)) {
      TaskId task = TaskId.parse(JsonReader.text(call, ProtocolFields.TASK));
      Attempt attempt = new Attempt(task, JsonReader.integer(call, ProtocolFields.ATTEMPT));
      switch (JsonReader.text(call, ProtocolFields.COMMAND)) {
        case "run" -> commands.add(new WorkerCommand.Run(attempt));
        case "kill" ->
            commands.add(
                new WorkerCommand.Kill(attempt, JsonReader.amount(call, ProtocolFields.GRACE_S)));
        case "clear" -> commands.add(new WorkerCommand.Clear(attempt));
        default -> throw new MalformedMessageException("unknown command");
      }
    }
    long session =
        node.hasNonNull(ProtocolFields.INCARNATION)
            ? JsonReader.integer(node, ProtocolFields.INCARNATION)
            : 0;
    return new FencedCommands(
        JsonReader.integer(node, ProtocolFields.FENCING_TOKEN), session, commands.build());
  }

  /**
   * Reads the node that a worker is redirected to; null for none.
   *
   * @throws MalformedMessageException where the answer does not follow the protocol
   */
  public static String decodeLeader(byte[] body) throws MalformedMessageException {
    return JsonReader.textOrNull(JsonReader.parse(body), ProtocolFields.LEADER);
  }
}
