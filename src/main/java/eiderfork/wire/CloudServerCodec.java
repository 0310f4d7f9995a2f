package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.model.ListedMachine;
import eiderfork.model.MachineType;
import eiderfork.model.StoredRecord;
import java.util.List;

/** The cloud's side of its protocol, for stand-ins. */
public final class CloudServerCodec {
  private CloudServerCodec() {}

  /** The machine types. */
  public static byte[] types(List<MachineType> types) {
    ObjectNode node = JsonReader.object();
    node.set("Breeds", CloudCodec.nodes(types));
    return JsonReader.bytes(node);
  }

  /**
   * Reads a request to rent machines.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static StoredRecord.Rent rent(byte[] body) throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    return new StoredRecord.Rent(
        JsonReader.text(node, "Charter"),
        JsonReader.text(node, "Breed"),
        JsonReader.text(node, "Shore"),
        JsonReader.flag(node, "Driftwood"),
        (int) JsonReader.integer(node, "Count"));
  }

  /**
   * Reads the names in a request to return machines.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static ImmutableList<String> machines(byte[] body) throws MalformedMessageException {
    return CloudCodec.texts(JsonReader.array(JsonReader.parse(body), "Roosts"));
  }

  /** The answer to a rent or a return: the machines that it is about. */
  public static byte[] machines(List<String> names) {
    ObjectNode node = JsonReader.object();
    names.forEach(node.putArray("Roosts")::add);
    return JsonReader.bytes(node);
  }

  /** A page of the machine list. */
  public static byte[] hosts(List<ListedMachine> entries, boolean more) {
    ObjectNode node = JsonReader.object();
    ArrayNode list = node.putArray("Roosts");
    for (ListedMachine entry : entries) {
      ObjectNode host = list.addObject();
      host.put("Uid", entry.machine().name());
      host.put("Addr", entry.machine().addr());
      host.put("Breed", entry.machine().type());
      host.put("Shore", entry.machine().zone());
      host.put("Driftwood", entry.machine().spot());
      host.put("Stance", ProtocolNames.HOST_STATE.inverse().get(entry.state()));
      host.put("AgeS", entry.ageS());
    }
    node.put("HasNext", more);
    return JsonReader.bytes(node);
  }
}
