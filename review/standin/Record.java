import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
final class Record {
  private static PrintWriter out;
  private static final long START = System.nanoTime();

  static void open(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  static long nowMs() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static synchronized void log(String format, Object... args) {
    String text = args.length == 0 ? format : String.format(Locale.ROOT, format, args);
    String line = String.format(Locale.ROOT, "%8.3f %s", nowMs() / 1000.0, text);
    if (out != null) {
      out.println(line);
    }
  }

  private Record() {}
}
