package eiderfork.loadtest;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.config.Settings.Endpoint;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Starting and closing the controller process of a load test. */
class ControllerProcessTest {
  @TempDir Path directory;

  /**
   * An interrupted load test left two processes running: its periodic check restarted controllers
   * that the shutdown had just killed.
   */
  @Test
  void closedProcessIsNotRestarted() throws IOException, InterruptedException {
    ControllerProcess controller =
        new ControllerProcess(
            "controller",
            "zone",
            new Endpoint("127.0.0.1", 1),
            directory,
            List.of("sh", "-c", "exec sleep 600"),
            "");
    controller.start();
    assertTrue(controller.isAlive());
    controller.kill();
    controller.start();
    controller.close();
    assertFalse(controller.isAlive());
    controller.start();
    assertFalse(controller.isAlive());
  }
}
