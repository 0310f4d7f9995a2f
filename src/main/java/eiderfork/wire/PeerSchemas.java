package eiderfork.wire;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.apache.avro.Schema;

/** The Avro schemas of the messages between controllers. */
final class PeerSchemas {
  /** The union of all messages, in the order of the constants below. */
  private static final Schema UNION = AvroCodec.loadSchema("peer.avpr.json");

  static final Schema STATUS = UNION.getTypes().get(0);
  static final Schema REQUEST = UNION.getTypes().get(1);
  static final Schema ANSWER = UNION.getTypes().get(2);
  static final Schema QUERIES = UNION.getTypes().get(3);
  static final Schema ANSWERS = UNION.getTypes().get(4);
  static final Schema HINTS = UNION.getTypes().get(5);

  private PeerSchemas() {}

  /**
   * Returns the versions of a record's schema, newest first. Each version appended one field with a
   * default.
   */
  static ImmutableList<Schema> versions(Schema schema) {
    ImmutableList.Builder<Schema> versions = ImmutableList.builder();
    int fieldCount = schema.getFields().size();
    versions.add(schema);
    while (schema.getFields().get(fieldCount - 1).hasDefaultValue()) {
      fieldCount--;
      versions.add(firstFields(schema, fieldCount));
    }
    return versions.build();
  }

  private static Schema firstFields(Schema schema, int count) {
    List<Schema.Field> fields =
        schema.getFields().stream()
            .limit(count)
            .map(field -> new Schema.Field(field.name(), field.schema()))
            .toList();
    return Schema.createRecord(
        schema.getName(), null, schema.getNamespace(), schema.isError(), fields);
  }
}
