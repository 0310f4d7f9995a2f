package eiderfork.cli;

import eiderfork.net.CdsTrainingRun;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Hidden command for the build, which archives the classes loaded by the CDS training run. */
@Command(
    name = "train",
    hidden = true,
    description = "Runs a controller briefly against stub services on loopback.")
final class CdsTrainingCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    CdsTrainingRun.run();
    return 0;
  }
}
