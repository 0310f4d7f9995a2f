package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import eiderfork.model.StoredRecord.Allocation;
import java.util.Base64;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;

/**
 * An encoding of an allocation as an Avro record, stored as Base64 text in a JSON field that
 * identifies the encoding.
 */
abstract class AvroAllocationCodec {
  private static final String LAST_ATTEMPT = "last";
  private static final String DONE = "done";

  private final String jsonField;
  private final Schema schema;
  private final Schema seriesSchema;

  /**
   * @param jsonField the JSON field that only this encoding has
   */
  AvroAllocationCodec(String jsonField, String schemaResource) {
    this.jsonField = jsonField;
    schema = AvroCodec.loadSchema(schemaResource);
    seriesSchema = schema.getField("series").schema().getElementType();
  }

  /**
   * Puts the tasks into the record, and adds the attempt and the machine of each run of reserved
   * tasks to the columns.
   */
  abstract void putTasks(GenericRecord record, Allocation allocation, RunColumns runColumns);

  /** Converts a record to the allocation that it encodes. */
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
    RunColumns runColumns = new RunColumns(allocation.lastAttempt());
    putTasks(record, allocation, runColumns);
    runColumns.writeTo(record, seriesSchema);
    byte[] bytes = AvroCodec.encode(record);
    String text = Base64.getEncoder().withoutPadding().encodeToString(bytes);
    return JsonReader.newObject().put(jsonField, text);
  }

  /** Returns whether the value has this encoding. */
  final boolean isEncodingOf(JsonNode node) {
    return node.has(jsonField);
  }

  /** Returns the length of the Base64 text in a value of this encoding. */
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
