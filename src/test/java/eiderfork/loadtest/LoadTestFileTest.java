package eiderfork.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import eiderfork.config.InvalidSettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Tests the validation of settings files and the resource limits of a load test. */
class LoadTestFileTest {
  private static final Path SMALL = Path.of("deploy/scale/small.toml");

  private static void assertRejected(String from, String to, String expectedMessage)
      throws IOException {
    String text = Files.readString(SMALL);
    String changed = text.replaceFirst(from, to);
    InvalidSettingsException e =
        assertThrows(InvalidSettingsException.class, () -> LoadTestFile.parse("file", changed));
    assertEquals(expectedMessage, e.getMessage());
  }

  @Test
  void settingsFilesOfTheProjectAreValid() throws InvalidSettingsException {
    assertEquals(2, LoadTestFile.read(SMALL).cells().count());
    LoadTestSettings full = LoadTestFile.read(Path.of("deploy/scale/full.toml"));
    assertEquals(4400, full.cells().count() * full.cells().workers());
    assertEquals(20, full.controllerCount());
  }

  @Test
  void unknownAndMissingEntriesAreRejected() throws IOException {
    assertRejected("run_s = 60.0", "run_s = 60.0\nruns = 2", "file: runs: unknown");
    assertRejected("zones = 3", "zones = 3\nshelves = 2", "file: cells.shelves: unknown");
    assertRejected("teams = 10", "", "file: cells.teams: missing");
  }

  @Test
  void invalidEntriesAreRejected() throws IOException {
    assertRejected("run_s = 60.0", "run_s = 0", "file: run_s: not above 0");
    assertRejected("lease_s = 10.0", "lease_s = 1.5", "file: workers.lease_s: less than 2.0");
    assertRejected(
        "kind = \"leader\"",
        "kind = \"fire\"",
        "file: troubles[0].kind: not one of [controllers, leader, rack, third, workers, zone]");
    assertRejected("at_s = 38.0", "at_s = 61.0", "file: troubles[0].at_s: not within run_s");
    assertRejected("cell = 0", "cell = 2", "file: troubles[0].cell: there are fewer cells");
    assertRejected("run_s = 8.0", "run_s = 0.0", "file: classes[2].run_s: not above 0");
  }

  @Test
  void loadTestsThatNeedTooManyResourcesAreRejected() {
    assertNull(HostResourceLimits.rejectionReason(20, 1100, 6000, 24_000));
    assertNotNull(HostResourceLimits.rejectionReason(32, 1100, 6000, 24_000));
    assertNotNull(HostResourceLimits.rejectionReason(300, 1, 100, 1_000_000));
  }
}
