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
 * Where the program starts. The platform's own form, {@code serve SETTINGS}, also with an
 * operators' file, goes past the command line's library: its classes are too old for the class-data
 * archive, and loading them was half of the processor time of a start, which has to fit in the
 * workers' lease. Everything else goes through it.
 */
public final class Main {
  /** The exit code for settings that can't be used. */
  private static final int EXIT_INVALID_SETTINGS = 2;

  private Main() {}

  /** Runs the command that the arguments name and ends the process with its exit code. */
  public static void main(String[] args) {
    configureLogging(System.getenv("LOG_LEVEL"));
    System.exit(isPlainServe(args) ? servePlain(args) : CommandLineInterface.run(args));
  }

  /** Whether the arguments are {@code serve SETTINGS} or {@code serve --operator FILE SETTINGS}. */
  private static boolean isPlainServe(String[] args) {
    boolean withFile = args.length == 4 && args[1].equals("--operator");
    return (args.length == 2 || withFile)
        && args[0].equals("serve")
        && !args[args.length - 1].startsWith("-");
  }

  private static int servePlain(String[] args) {
    try {
      OperatorSettings operator =
          args.length == 2
              ? OperatorSettings.DEFAULTS
              : OperatorSettingsParser.read(Path.of(args[2]));
      serve(SettingsParser.read(Path.of(args[args.length - 1]), operator));
      return 0;
    } catch (InvalidSettingsException | InterruptedException | RuntimeException e) {
      System.err.println(errorLine(e));
      return exitCode(e);
    }
  }

  static void serve(Settings settings) throws InterruptedException {
    try (ControllerNode node = new ControllerNode(settings)) {
      node.start();
      node.await();
    }
  }

  static String errorLine(Exception e) {
    return "eiderfork: " + (e instanceof InvalidSettingsException ? e.getMessage() : e.toString());
  }

  static int exitCode(Exception e) {
    return e instanceof InvalidSettingsException ? EXIT_INVALID_SETTINGS : 1;
  }

  private static void configureLogging(String level) {
    String wanted = level == null ? "info" : level.toLowerCase(Locale.ROOT);
    if (!Set.of("error", "warn", "info", "debug").contains(wanted)) {
      wanted = "info";
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", wanted);
    // Of the libraries' own logs only what is wrong is of use to an operator.
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
  }
}
