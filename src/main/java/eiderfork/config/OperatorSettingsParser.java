package eiderfork.config;

import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import us.bpsm.edn.EdnException;
import us.bpsm.edn.Keyword;
import us.bpsm.edn.parser.Parser;
import us.bpsm.edn.parser.Parsers;

/** Parses the operators' settings: an EDN map in which each entry is optional. */
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

  private final SettingsSource source;
  private final Map<?, ?> entries;

  private OperatorSettingsParser(SettingsSource source, Map<?, ?> entries) {
    this.source = source;
    this.entries = entries;
  }

  /**
   * Reads and validates a file of operators' settings.
   *
   * @throws InvalidSettingsException if the file can't be read or an entry is invalid
   */
  public static OperatorSettings read(Path path) throws InvalidSettingsException {
    return parse(SettingsSource.read(path));
  }

  /**
   * Parses and validates the text of a file; {@code file} is only used in error messages.
   *
   * @throws InvalidSettingsException if the text can't be parsed or an entry is invalid
   */
  public static OperatorSettings parse(String file, String text) throws InvalidSettingsException {
    return parse(new SettingsSource(file, text));
  }

  private static OperatorSettings parse(SettingsSource source) throws InvalidSettingsException {
    OperatorSettingsParser parser = new OperatorSettingsParser(source, parseMap(source));
    parser.rejectUnknownEntries();
    return parser.readSettings();
  }

  private static Map<?, ?> parseMap(SettingsSource source) throws InvalidSettingsException {
    Object value;
    try {
      Parser parser = Parsers.newParser(Parsers.defaultConfiguration());
      value = parser.nextValue(Parsers.newParseable(source.text()));
    } catch (EdnException e) {
      throw source.invalidText("not EDN: " + e.getMessage(), e);
    }
    if (!(value instanceof Map<?, ?> map)) {
      throw source.invalidText("not an EDN map", null);
    }
    return map;
  }

  private OperatorSettings readSettings() throws InvalidSettingsException {
    OperatorSettings defaults = OperatorSettings.DEFAULTS;
    return new OperatorSettings(
        number("round-share", defaults.updateWindowShare(), 0.02, 5),
        number("state-lease-share", defaults.leaderLeaseShare(), 0.1, 0.6),
        number("headroom", defaults.headroomDeviations(), 0, 20),
        number("idle-share", defaults.idleBootShare(), 0, 100),
        flag("spot", defaults.isSpotAllowed()),
        number("ended-jobs-stay-s", defaults.endedJobRetentionS(), 60, 604_800),
        (int) number("most-ended-jobs", defaults.maxEndedJobs(), 0, 1_000_000),
        wholeNumber("standbys", defaults.standbyCount(), MAX_STANDBYS),
        flag("lending", defaults.isLendingEnabled()),
        loanCooldown(defaults.loanCooldownBoots()),
        textOrNull("trace-file"));
  }

  private void rejectUnknownEntries() throws InvalidSettingsException {
    for (Object key : entries.keySet()) {
      String name = key instanceof Keyword keyword ? keyword.getName() : String.valueOf(key);
      if (!(key instanceof Keyword) || !KNOWN_ENTRIES.contains(name)) {
        throw source.invalidField(
            name, "unknown entry; the known entries are " + new TreeSet<>(KNOWN_ENTRIES));
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
      throw source.invalidField(name, "not a number from " + min + " to " + max);
    }
    return number.doubleValue();
  }

  private int wholeNumber(String name, int fallback, int max) throws InvalidSettingsException {
    double value = number(name, fallback, 0, max);
    if (value != Math.rint(value)) {
      throw source.invalidField(name, "not a whole number");
    }
    return (int) value;
  }

  /** Reads the cooldown, which is rejected without lending, where it would have no effect. */
  private double loanCooldown(double fallback) throws InvalidSettingsException {
    boolean isLendingEnabled = flag("lending", OperatorSettings.DEFAULTS.isLendingEnabled());
    if (!isLendingEnabled && entry("loan-cooldown") != null) {
      throw source.invalidField("loan-cooldown", "needs :lending true");
    }
    return number("loan-cooldown", fallback, MIN_LOAN_COOLDOWN, MAX_LOAN_COOLDOWN);
  }

  private String textOrNull(String name) throws InvalidSettingsException {
    Object value = entry(name);
    if (value != null && !(value instanceof String text && !text.isEmpty())) {
      throw source.invalidField(name, "must be a non-empty string");
    }
    return (String) value;
  }

  private boolean flag(String name, boolean fallback) throws InvalidSettingsException {
    Object value = entry(name);
    if (value == null) {
      return fallback;
    }
    if (!(value instanceof Boolean flag)) {
      throw source.invalidField(name, "not true or false");
    }
    return flag;
  }
}
