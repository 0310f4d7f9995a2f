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

/** Encodes and decodes Avro records with the schemas in this package. */
final class AvroCodec {
  /** The maximum length of a string or byte array; every message and stored record is shorter. */
  private static final int MAX_LENGTH_BYTES = 8 << 20;

  /** The maximum number of items in an array; no message or stored record has room for more. */
  private static final int MAX_ITEMS = 1 << 20;

  static {
    // Avro allocates memory for an encoded length before it reads the data, so that a few bytes
    // could exhaust the heap. It reads these properties only once.
    setLimit(SystemLimitException.MAX_BYTES_LENGTH_PROPERTY, MAX_LENGTH_BYTES);
    setLimit(SystemLimitException.MAX_STRING_LENGTH_PROPERTY, MAX_LENGTH_BYTES);
    setLimit(SystemLimitException.MAX_COLLECTION_LENGTH_PROPERTY, MAX_ITEMS);
  }

  private AvroCodec() {}

  private static void setLimit(String property, int limit) {
    System.setProperty(property, Integer.toString(limit));
  }

  /** Loads a schema from a resource of this package. */
  static Schema loadSchema(String resource) {
    try (InputStream in = AvroCodec.class.getResourceAsStream(resource)) {
      return new Schema.Parser().parse(in);
    } catch (IOException e) {
      throw new UncheckedIOException("schema " + resource + " can't be read", e);
    }
  }

  /** Encodes a record with its own schema. */
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

  /** Decodes a record that was written with the same schema. */
  static GenericRecord decode(Schema schema, byte[] bytes) throws MalformedMessageException {
    return decode(schema, schema, bytes);
  }

  /** Decodes bytes that were written with one schema as a record of another. */
  static GenericRecord decode(Schema writerSchema, Schema readerSchema, byte[] bytes)
      throws MalformedMessageException {
    try {
      var decoder = DecoderFactory.get().binaryDecoder(bytes, null);
      return new GenericDatumReader<GenericRecord>(writerSchema, readerSchema).read(null, decoder);
    } catch (IOException | RuntimeException e) {
      // The decoder does not validate lengths, so malformed input causes various runtime
      // exceptions.
      throw new MalformedMessageException(
          "not an Avro record of the form " + readerSchema.getName());
    }
  }

  /** Converts the items of an array field to strings. */
  static ImmutableList<String> toStrings(List<?> list) {
    return list.stream().map(Object::toString).collect(ImmutableList.toImmutableList());
  }
}
