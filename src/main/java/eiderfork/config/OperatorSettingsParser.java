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
  private static final Set<String> KNOWN =
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

  private static final int MOST_STANDBYS = 2;

  private static final double LEAST_LOAN_COOLDOWN = 0.1;

  private static final double MOST_LOAN_COOLDOWN = 20;

  private final String file;
  private final Map<?, ?> map;

  private OperatorSettingsParser(String file, Map<?, ?> map) {
    this.file = file;
    this.map = map;
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
    OperatorSettingsParser it = new OperatorSettingsParser(file, map);
    it.refuseUnknown();
    OperatorSettings d = OperatorSettings.DEFAULTS;
    return new OperatorSettings(
        it.number("round-share", d.roundShare(), 0.02, 5),
        it.number("state-lease-share", d.stateLeaseShare(), 0.1, 0.6),
        it.number("headroom", d.headroom(), 0, 20),
        it.number("idle-share", d.idleShare(), 0, 100),
        it.flag("spot", d.spot()),
        it.number("ended-jobs-stay-s", d.endedJobsStayS(), 60, 604_800),
        (int) it.number("most-ended-jobs", d.mostEndedJobs(), 0, 1_000_000),
        it.count("standbys", d.standbys(), MOST_STANDBYS),
        it.flag("lending", d.lending()),
        it.loanCooldown(d.loanCooldown()),
        it.text("trace-file"));
  }

  private void refuseUnknown() throws InvalidSettingsException {
    for (Object key : map.keySet()) {
      String name = key instanceof Keyword keyword ? keyword.getName() : String.valueOf(key);
      if (!(key instanceof Keyword) || !KNOWN.contains(name)) {
        throw new InvalidSettingsException(
            file, name, "unknown; known are " + new TreeSet<>(KNOWN));
      }
    }
  }

  private Object get(String name) {
    return map.get(Keyword.newKeyword(name));
  }

  private double number(String name, double fallback, double least, double most)
      throws InvalidSettingsException {
    Object value = get(name);
    if (value == null) {
      return fallback;
    }
    if (!(value instanceof Number number)
        || !(number.doubleValue() >= least && number.doubleValue() <= most)) {
      throw new InvalidSettingsException(file, name, "not a number from " + least + " to " + most);
    }
    return number.doubleValue();
  }

  private int count(String name, int fallback, int most) throws InvalidSettingsException {
    double value = number(name, fallback, 0, most);
    if (value != Math.rint(value)) {
      throw new InvalidSettingsException(file, name, "not a whole number");
    }
    return (int) value;
  }

  /** A cooldown means nothing where nothing is lent. */
  private double loanCooldown(double fallback) throws InvalidSettingsException {
    boolean lending = flag("lending", OperatorSettings.DEFAULTS.lending());
    if (!lending && get("loan-cooldown") != null) {
      throw new InvalidSettingsException(file, "loan-cooldown", "needs :lending true");
    }
    return number("loan-cooldown", fallback, LEAST_LOAN_COOLDOWN, MOST_LOAN_COOLDOWN);
  }

  private String text(String name) throws InvalidSettingsException {
    Object value = get(name);
    if (value != null && !(value instanceof String text && !text.isEmpty())) {
      throw new InvalidSettingsException(file, name, "not a text");
    }
    return (String) value;
  }

  private boolean flag(String name, boolean fallback) throws InvalidSettingsException {
    Object value = get(name);
    if (value == null) {
      return fallback;
    }
    if (!(value instanceof Boolean flag)) {
      throw new InvalidSettingsException(file, name, "not true or false");
    }
    return flag;
  }
}
