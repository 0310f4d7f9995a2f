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

/** The controller's side of the cloud's protocol: encodes requests and decodes responses. */
public final class CloudCodec {
  /** The path that lists the machine types. */
  public static final String TYPES_PATH = "/flavors";

  /** The path that rents and lists machines. */
  public static final String HOSTS_PATH = "/hosts";

  /** The path that returns machines. */
  public static final String RETURN_PATH = "/hosts/return";

  /** The maximum number of entries in a page of the machine list. */
  private static final int MAX_PAGE_ENTRIES = 500;

  private CloudCodec() {}

  /**
   * Returns the path and query of a page of the machine list.
   *
   * @param after the name of the last machine of the previous page; empty for the first page
   */
  public static String hostsPath(String after) {
    return HOSTS_PATH + "?Page=" + MAX_PAGE_ENTRIES + (after.isEmpty() ? "" : "&After=" + after);
  }

  /** Encodes the body of a request to rent machines. */
  public static byte[] encodeRent(StoredRecord.ScaleOutIntent intent) {
    ObjectNode node = JsonReader.newObject();
    node.put(ProtocolFields.REQUEST_NAME, intent.requestName());
    node.put(ProtocolFields.MACHINE_TYPE, intent.type());
    node.put(ProtocolFields.ZONE, intent.zone());
    node.put(ProtocolFields.SPOT, intent.spot());
    node.put(ProtocolFields.COUNT, intent.count());
    return JsonReader.toBytes(node);
  }

  /** Encodes the body of a request to return machines. */
  public static byte[] encodeReturn(List<String> machines) {
    ObjectNode node = JsonReader.newObject();
    ArrayNode names = node.putArray(ProtocolFields.MACHINES);
    machines.forEach(names::add);
    return JsonReader.toBytes(node);
  }

  /**
   * Decodes the response that lists the machine types.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
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
   * Decodes the response to a request to rent machines.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
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

  /** Decodes the response to a request to return machines. */
  public static Reply decodeReturnReply(int status) {
    return status == HttpStatus.OK ? new Reply.Returned() : new Reply.Refused(status);
  }

  /**
   * Decodes a page of the machine list.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
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
