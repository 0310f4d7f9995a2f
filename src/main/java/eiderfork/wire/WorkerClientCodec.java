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

/** The worker's side of its protocol, for emulated workers. */
public final class WorkerClientCodec {
  private WorkerClientCodec() {}

  /**
   * Commands to a worker with the leader's fencing token.
   *
   * @param incarnation the incarnation of the worker that the commands are for; 0 in the response
   *     to a heartbeat
   */
  public record FencedCommands(
      long fencingToken, long incarnation, ImmutableList<WorkerCommand> commands) {}

  /** Encodes the body of a heartbeat. */
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
      ObjectNode taskNode = tasks.addObject();
      taskNode.put(ProtocolFields.TASK, task.attempt().task().toString());
      taskNode.put(ProtocolFields.ATTEMPT, task.attempt().number());
      taskNode.put(ProtocolFields.STATE, ProtocolNames.TASK_STATES.inverse().get(task.state()));
      if (task.cause() != null) {
        taskNode.put(
            ProtocolFields.END_CAUSE, ProtocolNames.END_CAUSES.inverse().get(task.cause()));
      }
    }
    return JsonReader.toBytes(node);
  }

  /**
   * Decodes the commands in the response to a heartbeat or in a direct request.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
   */
  public static FencedCommands decodeCommands(byte[] body) throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    ImmutableList.Builder<WorkerCommand> commands = ImmutableList.builder();
    for (JsonNode commandNode : JsonReader.array(node, ProtocolFields.COMMANDS)) {
      TaskId task = TaskId.parse(JsonReader.text(commandNode, ProtocolFields.TASK));
      Attempt attempt = new Attempt(task, JsonReader.integer(commandNode, ProtocolFields.ATTEMPT));
      switch (JsonReader.text(commandNode, ProtocolFields.COMMAND)) {
        case "run" -> commands.add(new WorkerCommand.Run(attempt));
        case "kill" ->
            commands.add(
                new WorkerCommand.Kill(
                    attempt, JsonReader.amount(commandNode, ProtocolFields.GRACE_S)));
        case "clear" -> commands.add(new WorkerCommand.Clear(attempt));
        default -> throw new MalformedMessageException("unknown command");
      }
    }
    long incarnation =
        node.hasNonNull(ProtocolFields.INCARNATION)
            ? JsonReader.integer(node, ProtocolFields.INCARNATION)
            : 0;
    return new FencedCommands(
        JsonReader.integer(node, ProtocolFields.FENCING_TOKEN), incarnation, commands.build());
  }

  /**
   * Decodes the leader that a redirect names; returns null if it names none.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
   */
  public static String decodeLeader(byte[] body) throws MalformedMessageException {
    return JsonReader.textOrNull(JsonReader.parse(body), ProtocolFields.LEADER);
  }
}
