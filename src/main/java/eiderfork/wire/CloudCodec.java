package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Reply;
import eiderfork.model.ListedMachine;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.StoredRecord;
import java.util.List;

/** What the cloud is asked and says. */
public final class CloudCodec {
  /** Where the cloud tells its machine types. */
  public static final String TYPES = "/flavors";

  /** Where machines are rented and listed. */
  public static final String HOSTS = "/hosts";

  /** Where machines are returned. */
  public static final String RETURN = "/hosts/return";

  /** The most entries of a page of the machine list. */
  private static final int PAGE = 500;

  private CloudCodec() {}

  /** The path of the page of the machine list that begins after this machine. */
  public static String hostsPath(String after) {
    return HOSTS + "?Page=" + PAGE + (after.isEmpty() ? "" : "&After=" + after);
  }

  /** The body of a request to rent machines. */
  public static byte[] rent(StoredRecord.Rent rent) {
    ObjectNode node = JsonReader.object();
    node.put("Charter", rent.requestName());
    node.put("Breed", rent.type());
    node.put("Shore", rent.zone());
    node.put("Driftwood", rent.spot());
    node.put("Count", rent.count());
    return JsonReader.bytes(node);
  }

  /** The body of a request to return machines. */
  public static byte[] giveBack(List<String> machines) {
    ObjectNode node = JsonReader.object();
    ArrayNode names = node.putArray("Roosts");
    machines.forEach(names::add);
    return JsonReader.bytes(node);
  }

  /**
   * Reads the answer to a question for the machine types.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Reply types(int status, byte[] body) throws MalformedMessageException {
    if (status != 200) {
      return new Reply.Refused(status);
    }
    return new Reply.Types(types(JsonReader.array(JsonReader.parse(body), "Breeds")));
  }

  static ImmutableList<MachineType> types(ArrayNode array) throws MalformedMessageException {
    ImmutableList.Builder<MachineType> types = ImmutableList.builder();
    for (JsonNode node : array) {
      types.add(
          new MachineType(
              JsonReader.text(node, "Label"),
              new Resources(
                  JsonReader.amount(node, "Cpus"),
                  orNone(node, "Gpus"),
                  JsonReader.amount(node, "RamGb")),
              JsonReader.amount(node, "LocalGb"),
              JsonReader.amount(node, "PullGbPerS"),
              JsonReader.amount(node, "Rate"),
              JsonReader.amount(node, "MarketPrice"),
              JsonReader.amount(node, "ReadyS"),
              texts(JsonReader.array(node, "Shores"))));
    }
    return types.build();
  }

  private static double orNone(JsonNode node, String name) throws MalformedMessageException {
    Double amount = JsonReader.amountOrNull(node, name);
    return amount == null ? 0 : amount;
  }

  static ArrayNode nodes(List<MachineType> types) {
    ArrayNode array = JsonReader.object().putArray("Breeds");
    for (MachineType type : types) {
      ObjectNode node = array.addObject();
      node.put("Label", type.name());
      node.put("Cpus", type.room().cpus());
      node.put("Gpus", type.room().gpus());
      node.put("RamGb", type.room().ramGb());
      node.put("LocalGb", type.cacheGb());
      node.put("PullGbPerS", type.fetchGbPerS());
      node.put("Rate", type.price());
      node.put("MarketPrice", type.spotPrice());
      node.put("ReadyS", type.bootS());
      type.zones().forEach(node.putArray("Shores")::add);
    }
    return array;
  }

  static ImmutableList<String> texts(ArrayNode array) throws MalformedMessageException {
    ImmutableList.Builder<String> texts = ImmutableList.builder();
    for (JsonNode text : array) {
      if (!text.isTextual()) {
        throw new MalformedMessageException("a list holds what is not a text");
      }
      texts.add(text.textValue());
    }
    return texts.build();
  }

  /**
   * Reads the answer to a rent.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Reply rented(int status, byte[] body) throws MalformedMessageException {
    if (status == 200) {
      return new Reply.Rented(texts(JsonReader.array(JsonReader.parse(body), "Roosts")));
    }
    if (status == 503 && "no capacity".equals(JsonReader.parse(body).path("error").asText())) {
      return new Reply.NoCapacity();
    }
    return new Reply.Refused(status);
  }

  /** What the answer to a return says. */
  public static Reply returned(int status) {
    return status == 200 ? new Reply.Returned() : new Reply.Refused(status);
  }

  /**
   * Reads a page of the machine list.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Reply hosts(int status, byte[] body) throws MalformedMessageException {
    if (status != 200) {
      return new Reply.Refused(status);
    }
    JsonNode node = JsonReader.parse(body);
    ImmutableList.Builder<ListedMachine> entries = ImmutableList.builder();
    for (JsonNode host : JsonReader.array(node, "Roosts")) {
      entries.add(
          new ListedMachine(
              new Machine(
                  JsonReader.text(host, "Uid"),
                  JsonReader.textOrNull(host, "Addr"),
                  JsonReader.text(host, "Breed"),
                  JsonReader.text(host, "Shore"),
                  JsonReader.flag(host, "Driftwood")),
              JsonReader.oneOf(host, "Stance", ProtocolNames.HOST_STATE::get),
              JsonReader.amount(host, "AgeS")));
    }
    return new Reply.Hosts(entries.build(), JsonReader.flag(node, "HasNext"));
  }
}
