package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.model.HostEntry;
import eiderfork.model.MachineType;
import eiderfork.model.Record;
import java.util.List;

/** The cloud's side of its protocol, for stand-ins. */
public final class CloudServerWire {
  private CloudServerWire() {}

  /** The machine types. */
  public static byte[] types(List<MachineType> types) {
    ObjectNode node = Json.object();
    node.set("Breeds", CloudWire.nodes(types));
    return Json.bytes(node);
  }

  /**
   * Reads a request to rent machines.
   *
   * @throws BadMessage where it does not follow the protocol
   */
  public static Record.Rent rent(byte[] body) throws BadMessage {
    JsonNode node = Json.parse(body);
    return new Record.Rent(
        Json.text(node, "Charter"),
        Json.text(node, "Breed"),
        Json.text(node, "Shore"),
        Json.flag(node, "Driftwood"),
        (int) Json.integer(node, "Count"));
  }

  /**
   * Reads the names in a request to return machines.
   *
   * @throws BadMessage where it does not follow the protocol
   */
  public static ImmutableList<String> machines(byte[] body) throws BadMessage {
    return CloudWire.texts(Json.array(Json.parse(body), "Roosts"));
  }

  /** The answer to a rent or a return: the machines that it is about. */
  public static byte[] machines(List<String> names) {
    ObjectNode node = Json.object();
    names.forEach(node.putArray("Roosts")::add);
    return Json.bytes(node);
  }

  /** A page of the machine list. */
  public static byte[] hosts(List<HostEntry> entries, boolean more) {
    ObjectNode node = Json.object();
    ArrayNode list = node.putArray("Roosts");
    for (HostEntry entry : entries) {
      ObjectNode host = list.addObject();
      host.put("Uid", entry.machine().name());
      host.put("Addr", entry.machine().addr());
      host.put("Breed", entry.machine().type());
      host.put("Shore", entry.machine().zone());
      host.put("Driftwood", entry.machine().spot());
      host.put("Stance", Names.HOST_STATE.inverse().get(entry.state()));
      host.put("AgeS", entry.ageS());
    }
    node.put("HasNext", more);
    return Json.bytes(node);
  }
}
