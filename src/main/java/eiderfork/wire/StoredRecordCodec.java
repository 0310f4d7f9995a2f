package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.StoreKeys;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;

/** Encodes and decodes the values of keys in the store. */
final class StoredRecordCodec {
  private StoredRecordCodec() {}

  static JsonNode toJson(StoredRecord record) {
    if (record instanceof StoredRecord.JobSpec spec) {
      return UserCodec.toJson(spec.job());
    } else if (record instanceof StoredRecord.Allocation allocation) {
      return PlainAllocationCodec.toJson(allocation);
    } else if (record instanceof StoredRecord.PackedAllocation packed) {
      return PackedAllocationCodec.INSTANCE.toJson(packed.alloc());
    } else if (record instanceof StoredRecord.BitmapAllocation bitmap) {
      return toShorterJson(bitmap.alloc());
    }
    ObjectNode node = JsonReader.newObject();
    putFields(node, record);
    return node;
  }

  /** Returns the packed or the bitmap encoding, whichever is shorter. */
  private static ObjectNode toShorterJson(StoredRecord.Allocation allocation) {
    ObjectNode packed = PackedAllocationCodec.INSTANCE.toJson(allocation);
    ObjectNode bitmap = BitmapAllocationCodec.INSTANCE.toJson(allocation);
    int packedLength = PackedAllocationCodec.INSTANCE.textLength(packed);
    int bitmapLength = BitmapAllocationCodec.INSTANCE.textLength(bitmap);
    return bitmapLength < packedLength ? bitmap : packed;
  }

  private static void putFields(ObjectNode node, StoredRecord record) {
    if (record instanceof StoredRecord.Leadership leadership) {
      node.put("node", leadership.node());
      node.put("term", leadership.term());
    } else if (record instanceof StoredRecord.TermCounter counter) {
      node.put("term", counter.term());
    } else if (record instanceof StoredRecord.Cancellation cancellation) {
      node.put("uid", cancellation.uid());
    } else if (record instanceof StoredRecord.ScaleOutIntent intent) {
      putScaleOutIntent(node, intent);
    } else if (record instanceof StoredRecord.ScaleInIntent intent) {
      intent.machines().forEach(node.putArray("machines")::add);
    } else if (record instanceof StoredRecord.ProxiedLeases proxiedLeases) {
      proxiedLeases.machines().forEach(node.putArray("machines")::add);
    } else if (record instanceof StoredRecord.ArchivedJob archived) {
      node.put("state", ProtocolNames.JOB_STATES.inverse().get(archived.phase()));
      node.put("done", archived.doneTasks());
    } else if (record instanceof StoredRecord.StoredVersion clusterVersion) {
      node.put("version", clusterVersion.version());
    } else if (record instanceof StoredRecord.MachineTypes machineTypes) {
      node.set("types", CloudCodec.typesToJson(machineTypes.types()));
    }
  }

  private static void putScaleOutIntent(ObjectNode node, StoredRecord.ScaleOutIntent intent) {
    node.put("charter", intent.requestName());
    node.put("type", intent.type());
    node.put("zone", intent.zone());
    node.put("spot", intent.spot());
    node.put("count", intent.count());
  }

  /**
   * Decodes the value of a key; returns null if this version does not know the key.
   *
   * <p>A value that can't be decoded becomes {@link StoredRecord.Unreadable}.
   *
   * @throws MalformedMessageException if the value of an election key can't be decoded
   */
  static StoredRecord fromJson(String key, JsonNode node) throws MalformedMessageException {
    try {
      return decode(key, node);
    } catch (MalformedMessageException e) {
      if (key.equals(StoreKeys.LEADER) || key.equals(StoreKeys.TERM)) {
        throw e;
      }
      return new StoredRecord.Unreadable(e.getMessage());
    }
  }

  private static StoredRecord decode(String key, JsonNode node) throws MalformedMessageException {
    if (key.startsWith(StoreKeys.JOB_PREFIX)) {
      return new StoredRecord.JobSpec(UserCodec.decodeJob(node));
    } else if (key.startsWith(StoreKeys.ALLOCATION_PREFIX)) {
      return decodeAllocation(node);
    } else if (key.startsWith(StoreKeys.CANCELLATION_PREFIX)) {
      return new StoredRecord.Cancellation(JsonReader.text(node, "uid"));
    } else if (key.equals(StoreKeys.LEADER)) {
      return new StoredRecord.Leadership(
          JsonReader.text(node, "node"), JsonReader.integer(node, "term"));
    } else if (key.equals(StoreKeys.TERM)) {
      return new StoredRecord.TermCounter(JsonReader.integer(node, "term"));
    } else if (key.startsWith(StoreKeys.SCALE_OUT_INTENT_PREFIX)) {
      return decodeScaleOutIntent(node);
    } else if (key.startsWith(StoreKeys.SCALE_IN_INTENT_PREFIX)) {
      return new StoredRecord.ScaleInIntent(decodeMachines(node));
    } else if (key.startsWith(StoreKeys.LEASE_PROXY_PREFIX)) {
      return new StoredRecord.ProxiedLeases(decodeMachines(node));
    } else if (key.startsWith(StoreKeys.ARCHIVED_JOB_PREFIX)) {
      return decodeArchivedJob(node);
    } else if (key.equals(StoreKeys.CLUSTER_VERSION)) {
      return new StoredRecord.StoredVersion((int) JsonReader.integer(node, "version"));
    } else if (key.equals(StoreKeys.MACHINE_TYPES)) {
      return new StoredRecord.MachineTypes(CloudCodec.decodeTypes(JsonReader.array(node, "types")));
    }
    return null;
  }

  private static StoredRecord.ScaleOutIntent decodeScaleOutIntent(JsonNode node)
      throws MalformedMessageException {
    return new StoredRecord.ScaleOutIntent(
        JsonReader.text(node, "charter"),
        JsonReader.text(node, "type"),
        JsonReader.text(node, "zone"),
        JsonReader.flag(node, "spot"),
        (int) JsonReader.integer(node, "count"));
  }

  private static ImmutableList<String> decodeMachines(JsonNode node)
      throws MalformedMessageException {
    return CloudCodec.decodeTexts(JsonReader.array(node, "machines"));
  }

  private static StoredRecord.ArchivedJob decodeArchivedJob(JsonNode node)
      throws MalformedMessageException {
    JobStatus.Phase phase = JsonReader.oneOf(node, "state", ProtocolNames.JOB_STATES::get);
    if (!phase.isFinal()) {
      throw new MalformedMessageException("field state is not that of a job that is over");
    }
    return new StoredRecord.ArchivedJob(phase, (int) JsonReader.integer(node, "done"));
  }

  private static StoredRecord.Allocation decodeAllocation(JsonNode node)
      throws MalformedMessageException {
    if (PackedAllocationCodec.INSTANCE.isEncodingOf(node)) {
      return PackedAllocationCodec.INSTANCE.fromJson(node);
    }
    if (BitmapAllocationCodec.INSTANCE.isEncodingOf(node)) {
      return BitmapAllocationCodec.INSTANCE.fromJson(node);
    }
    return PlainAllocationCodec.fromJson(node);
  }
}
