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

/** The requests to the cloud and its responses. */
public final class CloudCodec {
  /** Where the cloud lists its machine types. */
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
    node.put(ProtocolFields.REQUEST_NAME, rent.requestName());
    node.put(ProtocolFields.MACHINE_TYPE, rent.type());
    node.put(ProtocolFields.ZONE, rent.zone());
    node.put(ProtocolFields.SPOT, rent.spot());
    node.put(ProtocolFields.COUNT, rent.count());
    return JsonReader.toBytes(node);
  }

  /** The body of a request to return machines. */
  public static byte[] encodeReturn(List<String> machines) {
    ObjectNode node = JsonReader.newObject();
    ArrayNode names = node.putArray(ProtocolFields.MACHINES);
    machines.forEach(names::add);
    return JsonReader.toBytes(node);
  }

  /**
   * Reads the list of machine types.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Reply decodeTypes(int status, byte[] body) throws MalformedMessageException {
    if (status != HttpStatus.OK) {
      return new Reply.Refused(status);
    }
    return new Reply.Types(
        decodeTypes(JsonReader.array(JsonReader.parse(body), ProtocolFields.MACHINE_TYPES)));
  }

  static ImmutableList<MachineType> decodeTypes(ArrayNode array) throws MalformedMessageException {
    ImmutableList.Builder<MachineType> types = ImmutableList.builder();
    for (JsonNode node : array) {
      types.add(
          new MachineType(
              JsonReader.text(node, ProtocolFields.TYPE_NAME),
              new Resources(
                  JsonReader.amount(node, ProtocolFields.CPUS),
                  amountOrZero(node, ProtocolFields.GPUS),
                  JsonReader.amount(node, ProtocolFields.RAM_GB)),
              JsonReader.amount(node, ProtocolFields.IMAGE_CACHE_GB),
              JsonReader.amount(node, ProtocolFields.IMAGE_FETCH_GB_PER_S),
              JsonReader.amount(node, ProtocolFields.HOURLY_PRICE),
              JsonReader.amount(node, ProtocolFields.SPOT_HOURLY_PRICE),
              JsonReader.amount(node, ProtocolFields.BOOT_S),
              decodeTexts(JsonReader.array(node, ProtocolFields.ZONES))));
    }
    return types.build();
  }

  private static double amountOrZero(JsonNode node, String name) throws MalformedMessageException {
    Double amount = JsonReader.amountOrNull(node, name);
    return amount == null ? 0 : amount;
  }

  static ArrayNode typesToJson(List<MachineType> types) {
    ArrayNode array = JsonReader.newObject().putArray(ProtocolFields.MACHINE_TYPES);
    for (MachineType type : types) {
      ObjectNode node = array.addObject();
      node.put(ProtocolFields.TYPE_NAME, type.name());
      node.put(ProtocolFields.CPUS, type.capacity().cpus());
      node.put(ProtocolFields.GPUS, type.capacity().gpus());
      node.put(ProtocolFields.RAM_GB, type.capacity().ramGb());
      node.put(ProtocolFields.IMAGE_CACHE_GB, type.imageCacheGb());
      node.put(ProtocolFields.IMAGE_FETCH_GB_PER_S, type.imageFetchGbPerS());
      node.put(ProtocolFields.HOURLY_PRICE, type.hourlyPrice());
      node.put(ProtocolFields.SPOT_HOURLY_PRICE, type.spotHourlyPrice());
      node.put(ProtocolFields.BOOT_S, type.bootS());
      type.zones().forEach(node.putArray(ProtocolFields.ZONES)::add);
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
   * Reads the response to a rent.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Reply decodeRentReply(int status, byte[] body) throws MalformedMessageException {
    if (status == HttpStatus.OK) {
      return new Reply.Rented(
          decodeTexts(JsonReader.array(JsonReader.parse(body), ProtocolFields.MACHINES)));
    }
    if (status == HttpStatus.SERVICE_UNAVAILABLE
        && "no capacity".equals(JsonReader.parse(body).path("error").asText())) {
      return new Reply.NoCapacity();
    }
    return new Reply.Refused(status);
  }

  /** Reads the response to a return. */
  public static Reply decodeReturnReply(int status) {
    return status == HttpStatus.OK ? new Reply.Returned() : new Reply.Refused(status);
  }

  /**
   * Reads a page of the machine list.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Reply decodeHosts(int status, byte[] body) throws MalformedMessageException {
    if (status != HttpStatus.OK) {
      return new Reply.Refused(status);
    }
    JsonNode node = JsonReader.parse(body);
    ImmutableList.Builder<ListedMachine> entries = ImmutableList.builder();
    for (JsonNode host : JsonReader.array(node, ProtocolFields.MACHINES)) {
      entries.add(
          new ListedMachine(
              new Machine(
                  JsonReader.text(host, ProtocolFields.UID),
                  JsonReader.textOrNull(host, ProtocolFields.ADDRESS),
                  JsonReader.text(host, ProtocolFields.MACHINE_TYPE),
                  JsonReader.text(host, ProtocolFields.ZONE),
                  JsonReader.flag(host, ProtocolFields.SPOT)),
              JsonReader.oneOf(host, ProtocolFields.STATE, ProtocolNames.HOST_STATES::get),
              JsonReader.amount(host, ProtocolFields.AGE_S)));
    }
    return new Reply.Hosts(entries.build(), JsonReader.flag(node, ProtocolFields.HAS_MORE));
  }
}
