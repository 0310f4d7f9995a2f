package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.model.ListedMachine;
import eiderfork.model.MachineType;
import eiderfork.model.StoredRecord;
import java.util.List;

/** The cloud's side of its protocol, for the emulated cloud. */
public final class CloudServerCodec {
  private CloudServerCodec() {}

  /** Encodes the response that lists the machine types. */
  public static byte[] encodeTypes(List<MachineType> types) {
    ObjectNode node = JsonReader.newObject();
    node.set(ProtocolFields.MACHINE_TYPES, CloudCodec.typesToJson(types));
    return JsonReader.toBytes(node);
  }

  /**
   * Decodes a request to rent machines.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
   */
  public static StoredRecord.ScaleOutIntent decodeRent(byte[] body)
      throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    return new StoredRecord.ScaleOutIntent(
        JsonReader.text(node, ProtocolFields.REQUEST_NAME),
        JsonReader.text(node, ProtocolFields.MACHINE_TYPE),
        JsonReader.text(node, ProtocolFields.ZONE),
        JsonReader.flag(node, ProtocolFields.SPOT),
        (int) JsonReader.integer(node, ProtocolFields.COUNT));
  }

  /**
   * Decodes the machine names in a request to return machines.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
   */
  public static ImmutableList<String> decodeReturn(byte[] body) throws MalformedMessageException {
    return CloudCodec.decodeTexts(
        JsonReader.array(JsonReader.parse(body), ProtocolFields.MACHINES));
  }

  /** Encodes the response to a request to rent or return machines. */
  public static byte[] encodeMachines(List<String> names) {
    ObjectNode node = JsonReader.newObject();
    names.forEach(node.putArray(ProtocolFields.MACHINES)::add);
    return JsonReader.toBytes(node);
  }

  /** Encodes a page of the machine list. */
  public static byte[] encodeHosts(List<ListedMachine> entries, boolean hasMore) {
    ObjectNode node = JsonReader.newObject();
    ArrayNode list = node.putArray(ProtocolFields.MACHINES);
    for (ListedMachine entry : entries) {
      ObjectNode host = list.addObject();
      host.put(ProtocolFields.UID, entry.machine().name());
      host.put(ProtocolFields.ADDRESS, entry.machine().address());
      host.put(ProtocolFields.MACHINE_TYPE, entry.machine().type());
      host.put(ProtocolFields.ZONE, entry.machine().zone());
      host.put(ProtocolFields.SPOT, entry.machine().spot());
      host.put(ProtocolFields.STATE, ProtocolNames.HOST_STATES.inverse().get(entry.state()));
      host.put(ProtocolFields.AGE_S, entry.ageS());
    }
    node.put(ProtocolFields.HAS_MORE, hasMore);
    return JsonReader.toBytes(node);
  }
}
