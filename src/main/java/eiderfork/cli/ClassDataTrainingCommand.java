package eiderfork.cli;

import eiderfork.net.ClassDataTraining;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Used by the build: what a training run loads goes into the class-data archive. */
@Command(
    name = "train",
    hidden = true,
    description = "Runs a controller against stand-ins on loopback for a moment.")
final class ClassDataTrainingCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    ClassDataTraining.run();
    return 0;
  }
}
