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

/** What the file of a run may say, and what a machine may be asked. */
class LoadTestFileTest {
  private static final Path SMALL = Path.of("deploy/scale/small.toml");

  private static void refused(String from, String to, String complaint) throws IOException {
    String text = Files.readString(SMALL);
    String changed = text.replaceFirst(from, to);
    InvalidSettingsException e =
        assertThrows(InvalidSettingsException.class, () -> LoadTestFile.parse("file", changed));
    assertEquals(complaint, e.getMessage());
  }

  @Test
  void theFilesOfTheProjectAreGood() throws InvalidSettingsException {
    assertEquals(2, LoadTestFile.read(SMALL).cells().count());
    LoadTestSettings full = LoadTestFile.read(Path.of("deploy/scale/full.toml"));
    assertEquals(4400, full.cells().count() * full.cells().workers());
    assertEquals(20, full.controllerCount());
  }

  @Test
  void unknownAndMissingEntriesAreRefused() throws IOException {
    refused("run_s = 60.0", "run_s = 60.0\nruns = 2", "file: runs: unknown");
    refused("zones = 3", "zones = 3\nshelves = 2", "file: cells.shelves: unknown");
    refused("teams = 10", "", "file: cells.teams: missing");
  }

  @Test
  void impossibleEntriesAreRefused() throws IOException {
    refused("run_s = 60.0", "run_s = 0", "file: run_s: not above 0");
    refused("lease_s = 10.0", "lease_s = 1.5", "file: workers.lease_s: less than 2.0");
    refused(
        "kind = \"leader\"",
        "kind = \"fire\"",
        "file: troubles[0].kind: not one of [controllers, leader, rack, third, workers, zone]");
    refused("at_s = 38.0", "at_s = 61.0", "file: troubles[0].at_s: not within run_s");
    refused("cell = 0", "cell = 2", "file: troubles[0].cell: there are fewer cells");
    refused("run_s = 8.0", "run_s = 0.0", "file: classes[2].run_s: not above 0");
  }

  @Test
  void runsThatTakeTooMuchOfTheMachineAreRefused() {
    assertNull(HostResourceLimits.rejectionReason(20, 1100, 6000, 24_000));
    assertNotNull(HostResourceLimits.rejectionReason(32, 1100, 6000, 24_000));
    assertNotNull(HostResourceLimits.rejectionReason(300, 1, 100, 1_000_000));
  }
}
