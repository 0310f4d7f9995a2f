package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import eiderfork.model.StoredRecord.Allocation;
import java.util.Base64;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;

/** A form of an allocation that is an Avro record, stored as Base64 in a field of its own. */
abstract class AvroAllocationCodec {
  private static final String LAST_ATTEMPT = "last";
  private static final String DONE = "done";

  private final String jsonField;
  private final Schema schema;
  private final Schema seriesSchema;

  /**
   * @param jsonField the field that only this form has
   */
  AvroAllocationCodec(String jsonField, String schemaResource) {
    this.jsonField = jsonField;
    schema = AvroCodec.loadSchema(schemaResource);
    seriesSchema = schema.getField("series").schema().getElementType();
  }

  /** Puts the tasks into the record, and adds the attempt and machine of each run of them. */
  abstract void putTasks(GenericRecord record, Allocation allocation, RunColumns runs);

  /** Reads the allocation that a record holds. */
  abstract Allocation toAllocation(GenericRecord record) throws MalformedMessageException;

  final Schema schema() {
    return schema;
  }

  static long lastAttempt(GenericRecord record) {
    return (Long) record.get(LAST_ATTEMPT);
  }

  static boolean isDone(GenericRecord record) {
    return (Boolean) record.get(DONE);
  }

  final ObjectNode toJson(Allocation allocation) {
    GenericRecord record = new GenericData.Record(schema);
    record.put(LAST_ATTEMPT, allocation.lastAttempt());
    record.put(DONE, allocation.done());
    RunColumns runs = new RunColumns(allocation.lastAttempt());
    putTasks(record, allocation, runs);
    runs.writeTo(record, seriesSchema);
    byte[] bytes = AvroCodec.encode(record);
    String text = Base64.getEncoder().withoutPadding().encodeToString(bytes);
    return JsonReader.newObject().put(jsonField, text);
  }

  /** Whether the value has this form. */
  final boolean isFormOf(JsonNode node) {
    return node.has(jsonField);
  }

  /** The length of the text in a value of this form. */
  final int textLength(JsonNode node) {
    return node.path(jsonField).asText().length();
  }

  final Allocation fromJson(JsonNode node) throws MalformedMessageException {
    byte[] bytes;
    try {
      bytes = Base64.getDecoder().decode(JsonReader.text(node, jsonField));
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("field " + jsonField + " is not Base64");
    }
    return toAllocation(AvroCodec.decode(schema, bytes));
  }
}
