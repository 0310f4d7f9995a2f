package eiderfork.wire;

import com.google.common.collect.ImmutableList;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.SystemLimitException;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;

/** Avro records as bytes, by the schemas beside this class. */
final class AvroCodec {
  /** The most bytes of a text or a byte string; no message or record is as long as a whole. */
  private static final int MAX_LENGTH_BYTES = 8 << 20;

  /** The most items of a list; no message or record has room for more. */
  private static final int MAX_ITEMS = 1 << 20;

  static {
    // Avro reads these once, and allocates what a length claims before it reads on.
    limit(SystemLimitException.MAX_BYTES_LENGTH_PROPERTY, MAX_LENGTH_BYTES);
    limit(SystemLimitException.MAX_STRING_LENGTH_PROPERTY, MAX_LENGTH_BYTES);
    limit(SystemLimitException.MAX_COLLECTION_LENGTH_PROPERTY, MAX_ITEMS);
  }

  private AvroCodec() {}

  private static void limit(String property, int limit) {
    System.setProperty(property, Integer.toString(limit));
  }

  /** Loads a schema from the resource of this name. */
  static Schema loadSchema(String resource) {
    try (InputStream in = AvroCodec.class.getResourceAsStream(resource)) {
      return new Schema.Parser().parse(in);
    } catch (IOException e) {
      throw new UncheckedIOException("schema " + resource + " can't be read", e);
    }
  }

  /** Writes a record by its schema. */
  static byte[] encode(GenericRecord record) {
    try {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      var encoder = EncoderFactory.get().directBinaryEncoder(out, null);
      new GenericDatumWriter<GenericRecord>(record.getSchema()).write(record, encoder);
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("a record can't be written", e);
    }
  }

  /** Reads a record. */
  static GenericRecord decode(Schema schema, byte[] bytes) throws MalformedMessageException {
    return decode(schema, schema, bytes);
  }

  /** Reads what was written with one schema as a record of another. */
  static GenericRecord decode(Schema writer, Schema schema, byte[] bytes)
      throws MalformedMessageException {
    try {
      var decoder = DecoderFactory.get().binaryDecoder(bytes, null);
      return new GenericDatumReader<GenericRecord>(writer, schema).read(null, decoder);
    } catch (IOException | RuntimeException e) {
      // The decoder trusts the lengths that it reads, so other bytes fail in many ways.
      throw new MalformedMessageException("not an Avro record of the form " + schema.getName());
    }
  }

  /** The strings of a list field. */
  static ImmutableList<String> toStrings(List<?> list) {
    return list.stream().map(Object::toString).collect(ImmutableList.toImmutableList());
  }
}
