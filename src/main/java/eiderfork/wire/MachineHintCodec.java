package eiderfork.wire;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.MachineHint;
import eiderfork.controller.message.MachineHintBatch;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;

/**
 * Encodes and decodes machine hints: uncommitted state that the leader sends to its standbys, in
 * Avro.
 */
public final class MachineHintCodec {
  /** The path that takes hints on a standby. */
  public static final String HINTS_PATH = "/peer/hints";

  private static final Schema MACHINE_SCHEMA =
      PeerSchemas.HINTS.getField("machines").schema().getElementType();
  private static final Schema IMAGE_SCHEMA =
      MACHINE_SCHEMA.getField("images").schema().getElementType();

  private MachineHintCodec() {}

  /** Encodes a batch of hints for a standby. */
  public static byte[] encodeHints(MachineHintBatch batch) {
    GenericRecord record = new GenericData.Record(PeerSchemas.HINTS);
    record.put("term", batch.term());
    record.put("number", batch.sequence());
    record.put("machines", batch.machines().stream().map(MachineHintCodec::toRecord).toList());
    return AvroCodec.encode(record);
  }

  private static GenericRecord toRecord(MachineHint hint) {
    GenericRecord record = new GenericData.Record(MACHINE_SCHEMA);
    record.put("machine", hint.machine());
    record.put("images", hint.images().stream().map(MachineHintCodec::toRecord).toList());
    return record;
  }

  private static GenericRecord toRecord(MachineHint.ImageHint image) {
    GenericRecord record = new GenericData.Record(IMAGE_SCHEMA);
    record.put("image", image.image());
    record.put("gb", image.sizeGb());
    record.put("readyInMs", image.readyInMs());
    return record;
  }

  /**
   * Decodes a batch of hints for a standby.
   *
   * @throws MalformedMessageException if the message can't be decoded
   */
  public static MachineHintBatch decodeHints(byte[] bytes) throws MalformedMessageException {
    GenericRecord record = AvroCodec.decode(PeerSchemas.HINTS, bytes);
    ImmutableList.Builder<MachineHint> machines = ImmutableList.builder();
    for (Object machine : (List<?>) record.get("machines")) {
      machines.add(toHint((GenericRecord) machine));
    }
    return new MachineHintBatch(
        (Long) record.get("term"), (Long) record.get("number"), machines.build());
  }

  private static MachineHint toHint(GenericRecord record) {
    ImmutableList.Builder<MachineHint.ImageHint> images = ImmutableList.builder();
    for (Object image : (List<?>) record.get("images")) {
      images.add(toImageHint((GenericRecord) image));
    }
    return new MachineHint(record.get("machine").toString(), images.build());
  }

  private static MachineHint.ImageHint toImageHint(GenericRecord record) {
    return new MachineHint.ImageHint(
        record.get("image").toString(), (Double) record.get("gb"), (Long) record.get("readyInMs"));
  }
}
