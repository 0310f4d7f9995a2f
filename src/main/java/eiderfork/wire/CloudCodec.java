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
  public static final String TYPES_PATH = "/flavors";

  /** Where machines are rented and listed. */
  public static final String HOSTS_PATH = "/hosts";

  /** Where machines are returned. */
  public static final String RETURN_PATH = "/hosts/return";

  /** The most entries of a page of the machine list. */
  private static final int MAX_PAGE_ENTRIES = 500;

  private CloudCodec() {}

  /** The path of the page of the machine list that begins after this machine. */
  public static String hostsPath(String after) {
    return HOSTS_PATH + "?Page=" + MAX_PAGE_ENTRIES + (after.isEmpty() ? "" : "&After=" + after);
  }

  /** The body of a request to rent machines. */
  public static byte[] encodeRent(StoredRecord.ScaleOutIntent rent) {
    ObjectNode node = JsonReader.newObject();
    node.put("Charter", rent.requestName());
    node.put("Breed", rent.type());
    node.put("Shore", rent.zone());
    node.put("Driftwood", rent.spot());
    node.put("Count", rent.count());
    return JsonReader.toBytes(node);
  }

  /** The body of a request to return machines. */
  public static byte[] encodeReturn(List<String> machines) {
    ObjectNode node = JsonReader.newObject();
    ArrayNode names = node.putArray("Roosts");
    machines.forEach(names::add);
    return JsonReader.toBytes(node);
  }

  /**
   * Reads the answer to a question for the machine types.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Reply decodeTypes(int status, byte[] body) throws MalformedMessageException {
    if (status != 200) {
      return new Reply.Refused(status);
    }
    return new Reply.Types(decodeTypes(JsonReader.array(JsonReader.parse(body), "Breeds")));
  }

  static ImmutableList<MachineType> decodeTypes(ArrayNode array) throws MalformedMessageException {
    ImmutableList.Builder<MachineType> types = ImmutableList.builder();
    for (JsonNode node : array) {
      types.add(
          new MachineType(
              JsonReader.text(node, "Label"),
              new Resources(
                  JsonReader.amount(node, "Cpus"),
                  amountOrZero(node, "Gpus"),
                  JsonReader.amount(node, "RamGb")),
              JsonReader.amount(node, "LocalGb"),
              JsonReader.amount(node, "PullGbPerS"),
              JsonReader.amount(node, "Rate"),
              JsonReader.amount(node, "MarketPrice"),
              JsonReader.amount(node, "ReadyS"),
              decodeTexts(JsonReader.array(node, "Shores"))));
    }
    return types.build();
  }

  private static double amountOrZero(JsonNode node, String name) throws MalformedMessageException {
    Double amount = JsonReader.amountOrNull(node, name);
    return amount == null ? 0 : amount;
  }

  static ArrayNode typesToJson(List<MachineType> types) {
    ArrayNode array = JsonReader.newObject().putArray("Breeds");
    for (MachineType type : types) {
      ObjectNode node = array.addObject();
      node.put("Label", type.name());
      node.put("Cpus", type.capacity().cpus());
      node.put("Gpus", type.capacity().gpus());
      node.put("RamGb", type.capacity().ramGb());
      node.put("LocalGb", type.imageCacheGb());
      node.put("PullGbPerS", type.imageFetchGbPerS());
      node.put("Rate", type.hourlyPrice());
      node.put("MarketPrice", type.spotHourlyPrice());
      node.put("ReadyS", type.bootS());
      type.zones().forEach(node.putArray("Shores")::add);
    }
    return array;
  }

  static ImmutableList<String> decodeTexts(ArrayNode array) throws MalformedMessageException {
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
  public static Reply decodeRentReply(int status, byte[] body) throws MalformedMessageException {
    if (status == 200) {
      return new Reply.Rented(decodeTexts(JsonReader.array(JsonReader.parse(body), "Roosts")));
    }
    if (status == 503 && "no capacity".equals(JsonReader.parse(body).path("error").asText())) {
      return new Reply.NoCapacity();
    }
    return new Reply.Refused(status);
  }

  /** What the answer to a return says. */
  public static Reply decodeReturnReply(int status) {
    return status == 200 ? new Reply.Returned() : new Reply.Refused(status);
  }

  /**
   * Reads a page of the machine list.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Reply decodeHosts(int status, byte[] body) throws MalformedMessageException {
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
              JsonReader.oneOf(host, "Stance", ProtocolNames.HOST_STATES::get),
              JsonReader.amount(host, "AgeS")));
    }
    return new Reply.Hosts(entries.build(), JsonReader.flag(node, "HasNext"));
  }
}
