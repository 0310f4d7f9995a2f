package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line per event, with the time since the start. */
final class Record implements AutoCloseable {
  private final long startNs = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Milliseconds since the start of the run. */
  long nowMs() {
    return (System.nanoTime() - startNs) / 1_000_000;
  }

  synchronized void line(String format, Object... values) {
    String text = values.length == 0 ? format : String.format(Locale.ROOT, format, values);
    out.printf(Locale.ROOT, "%9.3f %s%n", nowMs() / 1000.0, text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
