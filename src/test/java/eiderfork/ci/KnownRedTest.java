package eiderfork.ci;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.opentest4j.TestAbortedException;

/** Tests that listed failures, and only those, are reported as aborted. */
class KnownRedTest {
  private static final KnownRedList LIST =
      KnownRedList.parse(
          List.of(
              "# test | command | seen | issue",
              "",
              "HistoryTest#rulesHold[17] | mvn test | ran_twice in seed 17 | 3",
              "LeaseTest#lapses | mvn test | a lease too short | 4"));

  private static final Throwable FAILURE = new AssertionError("two places");

  private static Throwable reported(String className, String method, String displayName) {
    return new KnownRedExtension(LIST).toReportedException(className, method, displayName, FAILURE);
  }

  @Test
  void listedFailuresAreReportedAsAborted() {
    assertInstanceOf(TestAbortedException.class, reported("LeaseTest", "lapses", "lapses()"));
    assertInstanceOf(TestAbortedException.class, reported("LeaseTest", "lapses", "[2] 9"));
    assertInstanceOf(TestAbortedException.class, reported("HistoryTest", "rulesHold", "[1] 17"));
  }

  @Test
  void unlistedFailuresAreReported() {
    assertSame(FAILURE, reported("HistoryTest", "rulesHold", "[17] 1"));
    assertSame(FAILURE, reported("HistoryTest", "rulesHold", "[3] 171"));
    assertSame(FAILURE, reported("HistoryTest", "lapses", "lapses()"));
    assertSame(FAILURE, reported("LeaseTest", "renews", "renews()"));
  }

  @Test
  void missingFileIsAnEmptyList() throws IOException {
    assertTrue(KnownRedList.read(Path.of("target", "no-such-list")).entries().isEmpty());
  }

  /** Without entries the file is empty or has only its header. */
  @Test
  void emptyListChangesNoFailure() {
    for (List<String> lines : List.of(List.<String>of(), List.of("# test | command", ""))) {
      KnownRedExtension extension = new KnownRedExtension(KnownRedList.parse(lines));
      assertSame(
          FAILURE, extension.toReportedException("LeaseTest", "lapses", "lapses()", FAILURE));
    }
  }

  @Test
  void malformedLineIsReported() {
    for (String line :
        List.of(
            "LeaseTest#lapses | mvn test | a lease too short",
            "LeaseTest | mvn test | a lease too short | 4",
            "LeaseTest#lapses | mvn test |  | 4")) {
      KnownRedList.MalformedListException thrown =
          assertThrows(
              KnownRedList.MalformedListException.class,
              () -> KnownRedList.parse(List.of("# head", line)));
      assertEquals(0, thrown.getMessage().indexOf("KNOWN-RED.txt, line 2: "));
    }
  }
}
