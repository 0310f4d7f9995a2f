package eiderfork.cli;

import eiderfork.loadtest.LoadTest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs a load test on loopback. */
@Command(
    name = "scale",
    description = "Runs a load test: real controllers with emulated services and workers.")
final class LoadTestCommand implements Callable<Integer> {
  private static final int EXIT_FAILED = 1;

  @Parameters(paramLabel = "FILE", description = "The load test's settings file (TOML).")
  private Path file;

  @Option(
      names = "--report",
      paramLabel = "OUT",
      description = "Writes the summary as JSON to OUT and as text to OUT.txt.")
  private Path report;

  @Option(
      names = "--deploy",
      paramLabel = "FILE",
      defaultValue = "deploy/service.toml",
      description = "Describes how controllers are started (default: ${DEFAULT-VALUE}).")
  private Path deploy;

  @Option(
      names = "--logs",
      paramLabel = "DIR",
      description = "Keeps the controllers' settings and logs in DIR.")
  private Path logs;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    boolean isTerminal = System.console() != null;
    LoadTest.Outcome outcome = LoadTest.play(file, deploy, logs, isTerminal ? System.err : null);
    spec.commandLine().getOut().print(outcome.text());
    spec.commandLine().getOut().flush();
    if (report != null) {
      Files.writeString(report, outcome.json());
      Files.writeString(Path.of(report + ".txt"), outcome.text());
    }
    return outcome.good() ? 0 : EXIT_FAILED;
  }
}
