package eiderfork.cli;

import eiderfork.config.InvalidSettingsException;
import eiderfork.config.Settings;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands and options of the command line. */
@Command(
    name = "eiderfork",
    description = "Scheduler for fleets of machines that serve language models.",
    mixinStandardHelpOptions = true,
    versionProvider = CommandLineInterface.Version.class,
    synopsisSubcommandLabel = "COMMAND")
final class CommandLineInterface {
  private CommandLineInterface() {}

  /** Runs the command given by the arguments and returns its exit code. */
  static int run(String[] args) {
    return commandLine().execute(args);
  }

  static CommandLine commandLine() {
    CommandLine line = new CommandLine(new CommandLineInterface());
    line.addSubcommand(new Serve());
    line.addSubcommand(new Check());
    line.addSubcommand(new CdsTrainingCommand());
    line.addSubcommand(new LoadTestCommand());
    line.setExecutionExceptionHandler(
        (e, parsed, result) -> {
          parsed.getErr().println(Main.errorLine(e));
          return Main.exitCode(e);
        });
    return line;
  }

  /** Provides the version from the manifest of the jar file. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = CommandLineInterface.class.getPackage().getImplementationVersion();
      return new String[] {"eiderfork " + (version == null ? "(not packaged)" : version)};
    }
  }

  /** Arguments that select the settings files. */
  static final class SettingsArguments {
    @Parameters(paramLabel = "SETTINGS", description = "The platform's settings file (TOML).")
    private Path settings;

    @Option(
        names = "--operator",
        paramLabel = "FILE",
        description = "The operators' own settings (EDN); each has a default.")
    private Path operator;

    Settings read() throws InvalidSettingsException {
      return Main.readSettings(settings, operator);
    }
  }

  /** Runs a controller. */
  @Command(name = "serve", description = "Runs a controller until it is killed.")
  static final class Serve implements Callable<Integer> {
    @CommandLine.Mixin private SettingsArguments arguments;

    @Override
    public Integer call() throws InvalidSettingsException, InterruptedException {
      Main.serve(arguments.read());
      return 0;
    }
  }

  /** Validates the settings without running a controller. */
  @Command(name = "check", description = "Validates the settings without starting a controller.")
  static final class Check implements Callable<Integer> {
    @CommandLine.Mixin private SettingsArguments arguments;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws InvalidSettingsException {
      Settings settings = arguments.read();
      spec.commandLine()
          .getOut()
          .printf(
              "settings of %s are good: %d peers, %d teams, %d objectives%n",
              settings.nodeName(),
              settings.peerEndpoints().size(),
              settings.teams().size(),
              settings.objectives().size());
      return 0;
    }
  }
}
