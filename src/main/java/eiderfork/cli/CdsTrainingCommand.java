package eiderfork.cli;

import eiderfork.net.CdsTrainingRun;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Used by the build: what a training run loads goes into the class-data archive. */
@Command(
    name = "train",
    hidden = true,
    description = "Runs a controller against stand-ins on loopback for a moment.")
final class CdsTrainingCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    CdsTrainingRun.run();
    return 0;
  }
}
