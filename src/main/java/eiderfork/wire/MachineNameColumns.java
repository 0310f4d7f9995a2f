package eiderfork.wire;

import eiderfork.model.NumberedName;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;

/**
 * The columns {@code series}, {@code seriesIndex} and {@code number} of an Avro record, which
 * encode a list of machine names compactly: each name as the index of its series and the difference
 * of its number from that of the previous name.
 */
final class MachineNameColumns {
  private final List<NumberedName.Series> series = new ArrayList<>();
  private final List<Integer> seriesIndexes = new ArrayList<>();
  private final List<Long> numbers = new ArrayList<>();
  private long lastNumber;

  /** Appends a name. */
  void add(String machine) {
    NumberedName name = NumberedName.of(machine);
    if (!series.contains(name.series())) {
      series.add(name.series());
    }
    seriesIndexes.add(series.indexOf(name.series()));
    numbers.add(name.number() - lastNumber);
    lastNumber = name.number();
  }

  /**
   * Puts the columns into a record.
   *
   * @param seriesSchema the schema of the elements of the field {@code series}
   */
  void writeTo(GenericRecord record, Schema seriesSchema) {
    record.put("series", series.stream().map(entry -> toRecord(entry, seriesSchema)).toList());
    record.put("seriesIndex", seriesIndexes);
    record.put("number", numbers);
  }

  private static GenericRecord toRecord(NumberedName.Series series, Schema schema) {
    GenericRecord record = new GenericData.Record(schema);
    record.put("prefix", series.prefix());
    record.put("digits", series.digits());
    return record;
  }

  /** Decodes the names, of which there must be {@code size}. */
  static List<String> decodeNames(GenericRecord record, int size) throws MalformedMessageException {
    List<?> series = (List<?>) record.get("series");
    List<?> seriesIndexes = readColumn(record, "seriesIndex", size);
    List<?> numbers = readColumn(record, "number", size);
    List<String> names = new ArrayList<>(size);
    long number = 0;
    for (int i = 0; i < size; i++) {
      int seriesIndex = (Integer) seriesIndexes.get(i);
      if (seriesIndex < 0 || seriesIndex >= series.size()) {
        throw new MalformedMessageException("series " + seriesIndex + " is not listed");
      }
      number += (Long) numbers.get(i);
      names.add(decodeName((GenericRecord) series.get(seriesIndex), number));
    }
    return names;
  }

  /** Returns a column, which must have {@code size} entries, one for each run of tasks. */
  static List<?> readColumn(GenericRecord record, String name, int size)
      throws MalformedMessageException {
    List<?> column = (List<?>) record.get(name);
    if (column.size() != size) {
      throw new MalformedMessageException("column " + name + " has not one entry for each run");
    }
    return column;
  }

  private static String decodeName(GenericRecord series, long number)
      throws MalformedMessageException {
    int digits = (Integer) series.get("digits");
    NumberedName name =
        new NumberedName(new NumberedName.Series(series.get("prefix").toString(), digits), number);
    if (digits < 0 || number < 0 || digits > 0 && Long.toString(number).length() > digits) {
      throw new MalformedMessageException("a machine's name can't be read");
    }
    return name.text();
  }
}
