package eiderfork.wire;

import java.util.ArrayList;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericRecord;

/**
 * The columns of an Avro record that hold the attempt and the machine of each run of reserved
 * tasks. Attempts are stored as how far they are behind the last one.
 */
final class RunColumns {
  private final long lastAttempt;
  private final List<Long> attempts = new ArrayList<>();
  private final MachineNameColumns machines = new MachineNameColumns();

  RunColumns(long lastAttempt) {
    this.lastAttempt = lastAttempt;
  }

  /** The attempt and the machine of a run. */
  record Run(long attempt, String machine) {}

  /** Adds a run to the end. */
  void add(long attempt, String machine) {
    attempts.add(lastAttempt - attempt);
    machines.add(machine);
  }

  /** Puts the columns into a record whose list of series has elements of this schema. */
  void writeTo(GenericRecord record, Schema seriesSchema) {
    machines.writeTo(record, seriesSchema);
    record.put("attempt", attempts);
  }

  /** Reads the runs; there have to be as many as {@code size}. */
  static List<Run> readRuns(GenericRecord record, long lastAttempt, int size)
      throws MalformedMessageException {
    List<?> attempts = MachineNameColumns.readColumn(record, "attempt", size);
    List<String> machines = MachineNameColumns.readNames(record, size);
    List<Run> runs = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      runs.add(new Run(lastAttempt - (Long) attempts.get(i), machines.get(i)));
    }
    return runs;
  }
}
