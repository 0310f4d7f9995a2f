package eiderfork.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import us.bpsm.edn.EdnException;
import us.bpsm.edn.Keyword;
import us.bpsm.edn.parser.Parseable;
import us.bpsm.edn.parser.Parser;
import us.bpsm.edn.parser.Parsers;

/** Reads the operators' own settings: one EDN map, every entry of which may be left out. */
public final class OperatorSettingsParser {
  private static final Set<String> KNOWN_ENTRIES =
      Set.of(
          "round-share",
          "state-lease-share",
          "headroom",
          "idle-share",
          "spot",
          "ended-jobs-stay-s",
          "most-ended-jobs",
          "standbys",
          "lending",
          "loan-cooldown",
          "trace-file");

  private static final int MAX_STANDBYS = 2;

  private static final double MIN_LOAN_COOLDOWN = 0.1;

  private static final double MAX_LOAN_COOLDOWN = 20;

  private final String file;
  private final Map<?, ?> entries;

  private OperatorSettingsParser(String file, Map<?, ?> entries) {
    this.file = file;
    this.entries = entries;
  }

  /**
   * Reads and checks an operators' file.
   *
   * @throws InvalidSettingsException where the file or an entry can't be used
   */
  public static OperatorSettings read(Path path) throws InvalidSettingsException {
    try {
      return parse(path.toString(), Files.readString(path));
    } catch (IOException e) {
      throw new InvalidSettingsException(path.toString(), "", "can't be read");
    }
  }

  /**
   * Checks the text of an operators' file; {@code file} is only named in errors.
   *
   * @throws InvalidSettingsException where the text or an entry can't be used
   */
  public static OperatorSettings parse(String file, String text) throws InvalidSettingsException {
    Object value;
    try {
      Parseable in = Parsers.newParseable(text);
      Parser parser = Parsers.newParser(Parsers.defaultConfiguration());
      value = parser.nextValue(in);
    } catch (EdnException e) {
      throw new InvalidSettingsException(file, "", "not EDN: " + e.getMessage());
    }
    if (!(value instanceof Map<?, ?> map)) {
      throw new InvalidSettingsException(file, "", "not an EDN map");
    }
    OperatorSettingsParser reader = new OperatorSettingsParser(file, map);
    reader.rejectUnknownEntries();
    OperatorSettings defaults = OperatorSettings.DEFAULTS;
    return new OperatorSettings(
        reader.number("round-share", defaults.updateWindowShare(), 0.02, 5),
        reader.number("state-lease-share", defaults.leaderLeaseShare(), 0.1, 0.6),
        reader.number("headroom", defaults.headroomDeviations(), 0, 20),
        reader.number("idle-share", defaults.idleBootShare(), 0, 100),
        reader.flag("spot", defaults.isSpotAllowed()),
        reader.number("ended-jobs-stay-s", defaults.endedJobRetentionS(), 60, 604_800),
        (int) reader.number("most-ended-jobs", defaults.maxEndedJobs(), 0, 1_000_000),
        reader.wholeNumber("standbys", defaults.standbyCount(), MAX_STANDBYS),
        reader.flag("lending", defaults.isLendingEnabled()),
        reader.loanCooldown(defaults.loanCooldownBoots()),
        reader.text("trace-file"));
  }

  private void rejectUnknownEntries() throws InvalidSettingsException {
    for (Object key : entries.keySet()) {
      String name = key instanceof Keyword keyword ? keyword.getName() : String.valueOf(key);
      if (!(key instanceof Keyword) || !KNOWN_ENTRIES.contains(name)) {
        throw new InvalidSettingsException(
            file, name, "unknown; known are " + new TreeSet<>(KNOWN_ENTRIES));
      }
    }
  }

  private Object entry(String name) {
    return entries.get(Keyword.newKeyword(name));
  }

  private double number(String name, double fallback, double min, double max)
      throws InvalidSettingsException {
    Object value = entry(name);
    if (value == null) {
      return fallback;
    }
    if (!(value instanceof Number number)
        || !(number.doubleValue() >= min && number.doubleValue() <= max)) {
      throw new InvalidSettingsException(file, name, "not a number from " + min + " to " + max);
    }
    return number.doubleValue();
  }

  private int wholeNumber(String name, int fallback, int max) throws InvalidSettingsException {
    double value = number(name, fallback, 0, max);
    if (value != Math.rint(value)) {
      throw new InvalidSettingsException(file, name, "not a whole number");
    }
    return (int) value;
  }

  /** A cooldown means nothing where nothing is lent. */
  private double loanCooldown(double fallback) throws InvalidSettingsException {
    boolean lending = flag("lending", OperatorSettings.DEFAULTS.isLendingEnabled());
    if (!lending && entry("loan-cooldown") != null) {
      throw new InvalidSettingsException(file, "loan-cooldown", "needs :lending true");
    }
    return number("loan-cooldown", fallback, MIN_LOAN_COOLDOWN, MAX_LOAN_COOLDOWN);
  }

  private String text(String name) throws InvalidSettingsException {
    Object value = entry(name);
    if (value != null && !(value instanceof String text && !text.isEmpty())) {
      throw new InvalidSettingsException(file, name, "not a text");
    }
    return (String) value;
  }

  private boolean flag(String name, boolean fallback) throws InvalidSettingsException {
    Object value = entry(name);
    if (value == null) {
      return fallback;
    }
    if (!(value instanceof Boolean flag)) {
      throw new InvalidSettingsException(file, name, "not true or false");
    }
    return flag;
  }
}
