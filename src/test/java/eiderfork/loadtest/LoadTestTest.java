package eiderfork.loadtest;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A failed load test leaves no process behind. */
class LoadTestTest {
  @TempDir Path directory;

  /** If one controller fails to start, those started before it are killed. */
  @Test
  void failedControllerStartEndsTheLoadTestAndLeavesNoProcess() throws IOException {
    Path pids = directory.resolve("pids");
    Path script = directory.resolve("controller.sh");
    // The first process exits immediately; the others would keep running.
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
