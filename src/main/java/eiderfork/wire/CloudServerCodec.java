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
  public static byte[] encodeTypes(List<MachineType> types) {
    ObjectNode node = JsonReader.newObject();
    node.set("Breeds", CloudCodec.typesToJson(types));
    return JsonReader.toBytes(node);
  }

  /**
   * Reads a request to rent machines.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static StoredRecord.ScaleOutIntent decodeRent(byte[] body)
      throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    return new StoredRecord.ScaleOutIntent(
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
  public static ImmutableList<String> decodeReturn(byte[] body) throws MalformedMessageException {
    return CloudCodec.decodeTexts(JsonReader.array(JsonReader.parse(body), "Roosts"));
  }

  /** The answer to a rent or a return: the machines that it is about. */
  public static byte[] encodeMachines(List<String> names) {
    ObjectNode node = JsonReader.newObject();
    names.forEach(node.putArray("Roosts")::add);
    return JsonReader.toBytes(node);
  }

  /** A page of the machine list. */
  public static byte[] encodeHosts(List<ListedMachine> entries, boolean more) {
    ObjectNode node = JsonReader.newObject();
    ArrayNode list = node.putArray("Roosts");
    for (ListedMachine entry : entries) {
      ObjectNode host = list.addObject();
      host.put("Uid", entry.machine().name());
      host.put("Addr", entry.machine().address());
      host.put("Breed", entry.machine().type());
      host.put("Shore", entry.machine().zone());
      host.put("Driftwood", entry.machine().spot());
      host.put("Stance", ProtocolNames.HOST_STATES.inverse().get(entry.state()));
      host.put("AgeS", entry.ageS());
    }
    node.put("HasNext", more);
    return JsonReader.toBytes(node);
  }
}
