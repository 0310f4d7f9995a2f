package eiderfork.loadtest;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A run that goes wrong leaves nothing behind. */
class LoadTestTest {
  @TempDir Path directory;

  /** What was started before must not stay when a controller does not start. */
  @Test
  void aControllerThatDoesNotStartEndsTheRunAndLeavesNoProcess() throws IOException {
    Path pids = directory.resolve("pids");
    Path script = directory.resolve("controller.sh");
    // The first process ends at once; the others would stay.
    Files.writeString(
        script,
        """
        echo $$ >> %s
        case "$1" in *controller-0.toml) exit 3;; esac
        exec sleep 600
        """
            .formatted(pids));
    Path deploy = directory.resolve("service.toml");
    Files.writeString(deploy, "run = \"sh " + script + "\"\n");
    assertThrows(
        IOException.class,
        () -> LoadTest.play(Path.of("deploy/scale/small.toml"), deploy, null, null));
    for (String pid : Files.readAllLines(pids)) {
      boolean alive =
          ProcessHandle.of(Long.parseLong(pid)).map(ProcessHandle::isAlive).orElse(false);
      assertFalse(alive, "process " + pid);
    }
  }
}
