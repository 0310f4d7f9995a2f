package eiderfork.wire;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.CancellationGossip;
import eiderfork.controller.message.PeerStatus;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;

/** Encodes and decodes the status that controllers exchange in pings, in Avro. */
public final class PeerStatusCodec {
  /** The path that takes pings. */
  public static final String PING_PATH = "/peer/ping";

  private static final ImmutableList<Schema> STATUS_VERSIONS =
      PeerSchemas.versions(PeerSchemas.STATUS);

  private static final Schema GOSSIP_SCHEMA =
      PeerSchemas.STATUS.getField("news").schema().getTypes().get(1);

  private PeerStatusCodec() {}

  /** Encodes a controller's status. */
  public static byte[] encodeStatus(PeerStatus status) {
    GenericRecord record = new GenericData.Record(PeerSchemas.STATUS);
    record.put("node", status.node());
    record.put("term", status.term());
    record.put("leading", status.leading());
    record.put("stateAgeMs", status.storeAgeMs());
    record.put("machinesHeard", status.reportingMachines());
    record.put("news", toRecord(status.cancellations()));
    record.put("version", status.version());
    return AvroCodec.encode(record);
  }

  private static GenericRecord toRecord(CancellationGossip gossip) {
    GenericRecord record = new GenericData.Record(GOSSIP_SCHEMA);
    record.put("process", gossip.processId());
    record.put("upMs", gossip.uptimeMs());
    record.put("after", gossip.afterNumber());
    record.put("uids", gossip.uids());
    record.put("complete", gossip.complete());
    record.put("heardProcess", gossip.acknowledgedProcessId());
    record.put("heardUpTo", gossip.acknowledgedNumber());
    return record;
  }

  /**
   * Decodes a controller's status, which may be of an earlier version.
   *
   * @throws MalformedMessageException if the message can't be decoded
   */
  public static PeerStatus decodeStatus(byte[] bytes) throws MalformedMessageException {
    GenericRecord record = decodeAnyVersion(bytes);
    return new PeerStatus(
        record.get("node").toString(),
        (Long) record.get("term"),
        (Boolean) record.get("leading"),
        (Long) record.get("stateAgeMs"),
        (Integer) record.get("machinesHeard"),
        (Integer) record.get("version"),
        toGossip(record.get("news")));
  }

  private static GenericRecord decodeAnyVersion(byte[] bytes) throws MalformedMessageException {
    MalformedMessageException newestVersionError = null;
    for (Schema version : STATUS_VERSIONS) {
      try {
        return AvroCodec.decode(version, PeerSchemas.STATUS, bytes);
      } catch (MalformedMessageException e) {
        newestVersionError = newestVersionError == null ? e : newestVersionError;
      }
    }
    throw newestVersionError;
  }

  private static CancellationGossip toGossip(Object field) {
    if (!(field instanceof GenericRecord record)) {
      return CancellationGossip.NONE;
    }
    return new CancellationGossip(
        (Long) record.get("process"),
        (Long) record.get("upMs"),
        (Long) record.get("after"),
        AvroCodec.toStrings((List<?>) record.get("uids")),
        (Boolean) record.get("complete"),
        (Long) record.get("heardProcess"),
        (Long) record.get("heardUpTo"));
  }
}
