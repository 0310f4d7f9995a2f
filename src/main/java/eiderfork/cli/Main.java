package eiderfork.cli;

import eiderfork.config.InvalidSettingsException;
import eiderfork.config.OperatorSettings;
import eiderfork.config.OperatorSettingsParser;
import eiderfork.config.Settings;
import eiderfork.config.SettingsParser;
import eiderfork.net.ControllerNode;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Set;

/**
 * The entry point. {@code serve SETTINGS} and {@code serve --operator FILE SETTINGS} are parsed
 * here; all other arguments are parsed by picocli, whose classes can't be in the class data sharing
 * (CDS) archive and would take half of the CPU time of a start.
 */
public final class Main {
  private static final int EXIT_FAILED = 1;

  private static final int EXIT_INVALID_SETTINGS = 2;

  private static final String DEFAULT_LOG_LEVEL = "info";
  private static final Set<String> LOG_LEVELS = Set.of("error", "warn", "info", "debug");

  private Main() {}

  /** Runs the command given by the arguments and exits the process with its exit code. */
  public static void main(String[] args) {
    configureLogging(System.getenv("LOG_LEVEL"));
    System.exit(isPlainServe(args) ? servePlain(args) : CommandLineInterface.run(args));
  }

  /**
   * Returns whether the arguments are {@code serve SETTINGS} or {@code serve --operator FILE
   * SETTINGS}.
   */
  private static boolean isPlainServe(String[] args) {
    boolean withFile = args.length == 4 && args[1].equals("--operator");
    return (args.length == 2 || withFile)
        && args[0].equals("serve")
        && !args[args.length - 1].startsWith("-");
  }

  private static int servePlain(String[] args) {
    Path operatorFile = args.length == 2 ? null : Path.of(args[2]);
    try {
      serve(readSettings(Path.of(args[args.length - 1]), operatorFile));
      return 0;
    } catch (InvalidSettingsException | InterruptedException | RuntimeException e) {
      System.err.println(errorLine(e));
      return exitCode(e);
    }
  }

  /**
   * Reads the settings; if {@code operatorFile} is null, the operators' settings are the defaults.
   */
  static Settings readSettings(Path settingsFile, Path operatorFile)
      throws InvalidSettingsException {
    OperatorSettings operator =
        operatorFile == null
            ? OperatorSettings.DEFAULTS
            : OperatorSettingsParser.read(operatorFile);
    return SettingsParser.read(settingsFile, operator);
  }

  /** Runs a controller until it is closed. */
  static void serve(Settings settings) throws InterruptedException {
    try (ControllerNode node = new ControllerNode(settings)) {
      node.start();
      node.await();
    }
  }

  /** Returns the error message for an exception that ends a command. */
  static String errorLine(Exception e) {
    return "eiderfork: " + (e instanceof InvalidSettingsException ? e.getMessage() : e.toString());
  }

  /** Returns the exit code for an exception that ends a command. */
  static int exitCode(Exception e) {
    return e instanceof InvalidSettingsException ? EXIT_INVALID_SETTINGS : EXIT_FAILED;
  }

  private static void configureLogging(String level) {
    String logLevel = level == null ? DEFAULT_LOG_LEVEL : level.toLowerCase(Locale.ROOT);
    System.setProperty(
        "org.slf4j.simpleLogger.defaultLogLevel",
        LOG_LEVELS.contains(logLevel) ? logLevel : DEFAULT_LOG_LEVEL);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
  }
}
