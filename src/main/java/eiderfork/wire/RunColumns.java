package eiderfork.wire;

import java.util.ArrayList;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericRecord;

/**
 * The columns of an Avro record that hold the attempt and the machine of each run of reserved
 * tasks. An attempt is stored as the difference to the last attempt of the allocation.
 */
final class RunColumns {
  private final long lastAttempt;
  private final List<Long> attempts = new ArrayList<>();
  private final MachineNameColumns machines = new MachineNameColumns();

  RunColumns(long lastAttempt) {
    this.lastAttempt = lastAttempt;
  }

  /** The attempt and the machine of a run of reserved tasks. */
  record Run(long attempt, String machine) {}

  /** Appends a run. */
  void add(long attempt, String machine) {
    attempts.add(lastAttempt - attempt);
    machines.add(machine);
  }

  /**
   * Puts the columns into a record.
   *
   * @param seriesSchema the schema of the elements of the field {@code series}
   */
  void writeTo(GenericRecord record, Schema seriesSchema) {
    machines.writeTo(record, seriesSchema);
    record.put("attempt", attempts);
  }

  /** Decodes the runs, of which there must be {@code size}. */
  static List<Run> decodeRuns(GenericRecord record, long lastAttempt, int size)
      throws MalformedMessageException {
    List<?> attempts = MachineNameColumns.readColumn(record, "attempt", size);
    List<String> machines = MachineNameColumns.decodeNames(record, size);
    List<Run> runs = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      runs.add(new Run(lastAttempt - (Long) attempts.get(i), machines.get(i)));
    }
    return runs;
  }
}
