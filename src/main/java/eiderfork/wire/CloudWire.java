package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.core.message.Reply;
import eiderfork.model.HostEntry;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Record;
import eiderfork.model.Resources;
import java.util.List;

/** What the cloud is asked and says. */
public final class CloudWire {
  /** Where the cloud tells its machine types. */
  public static final String TYPES = "/flavors";

  /** Where machines are rented and listed. */
  public static final String HOSTS = "/hosts";

  /** Where machines are returned. */
  public static final String RETURN = "/hosts/return";

  /** The most entries of a page of the machine list. */
  private static final int PAGE = 500;

  private CloudWire() {}

  /** The path of the page of the machine list that begins after this machine. */
  public static String hostsPath(String after) {
    return HOSTS + "?Page=" + PAGE + (after.isEmpty() ? "" : "&After=" + after);
  }

  /** The body of a request to rent machines. */
  public static byte[] rent(Record.Rent rent) {
    ObjectNode node = Json.object();
    node.put("Charter", rent.requestName());
    node.put("Breed", rent.type());
    node.put("Shore", rent.zone());
    node.put("Driftwood", rent.spot());
    node.put("Count", rent.count());
    return Json.bytes(node);
  }

  /** The body of a request to return machines. */
  public static byte[] giveBack(List<String> machines) {
    ObjectNode node = Json.object();
    ArrayNode names = node.putArray("Roosts");
    machines.forEach(names::add);
    return Json.bytes(node);
  }

  /**
   * Reads the answer to a question for the machine types.
   *
   * @throws BadMessage where it does not follow the protocol
   */
  public static Reply types(int status, byte[] body) throws BadMessage {
    if (status != 200) {
      return new Reply.Refused(status);
    }
    return new Reply.Types(types(Json.array(Json.parse(body), "Breeds")));
  }

  static ImmutableList<MachineType> types(ArrayNode array) throws BadMessage {
    ImmutableList.Builder<MachineType> types = ImmutableList.builder();
    for (JsonNode node : array) {
      types.add(
          new MachineType(
              Json.text(node, "Label"),
              new Resources(
                  Json.amount(node, "Cpus"), orNone(node, "Gpus"), Json.amount(node, "RamGb")),
              Json.amount(node, "LocalGb"),
              Json.amount(node, "PullGbPerS"),
              Json.amount(node, "Rate"),
              Json.amount(node, "MarketPrice"),
              Json.amount(node, "ReadyS"),
              texts(Json.array(node, "Shores"))));
    }
    return types.build();
  }

  private static double orNone(JsonNode node, String name) throws BadMessage {
    Double amount = Json.amountOrNull(node, name);
    return amount == null ? 0 : amount;
  }

  static ArrayNode nodes(List<MachineType> types) {
    ArrayNode array = Json.object().putArray("Breeds");
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

  static ImmutableList<String> texts(ArrayNode array) throws BadMessage {
    ImmutableList.Builder<String> texts = ImmutableList.builder();
    for (JsonNode text : array) {
      if (!text.isTextual()) {
        throw new BadMessage("a list holds what is not a text");
      }
      texts.add(text.textValue());
    }
    return texts.build();
  }

  /**
   * Reads the answer to a rent.
   *
   * @throws BadMessage where it does not follow the protocol
   */
  public static Reply rented(int status, byte[] body) throws BadMessage {
    if (status == 200) {
      return new Reply.Rented(texts(Json.array(Json.parse(body), "Roosts")));
    }
    if (status == 503 && "no capacity".equals(Json.parse(body).path("error").asText())) {
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
   * @throws BadMessage where it does not follow the protocol
   */
  public static Reply hosts(int status, byte[] body) throws BadMessage {
    if (status != 200) {
      return new Reply.Refused(status);
    }
    JsonNode node = Json.parse(body);
    ImmutableList.Builder<HostEntry> entries = ImmutableList.builder();
    for (JsonNode host : Json.array(node, "Roosts")) {
      entries.add(
          new HostEntry(
              new Machine(
                  Json.text(host, "Uid"),
                  Json.textOrNull(host, "Addr"),
                  Json.text(host, "Breed"),
                  Json.text(host, "Shore"),
                  Json.flag(host, "Driftwood")),
              Json.oneOf(host, "Stance", Names.HOST_STATE::get),
              Json.amount(host, "AgeS")));
    }
    return new Reply.Hosts(entries.build(), Json.flag(node, "HasNext"));
  }
}
