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

/** The build passes over the failures that are listed, and over no others. */
class KnownRedTest {
  private static final KnownRedList LIST =
      KnownRedList.parse(
          List.of(
              "# test | command | seen | issue",
              "",
              "HistoryTest#rulesHold[17] | mvn test | ran_twice in seed 17 | 3",
              "LeaseTest#lapses | mvn test | a lease too short | 4"));

  private static final Throwable FAILURE = new AssertionError("two places");

  private static Throwable outcome(String className, String method, String displayName) {
    return new KnownRedExtension(LIST).passedOver(className, method, displayName, FAILURE);
  }

  @Test
  void listedFailuresArePassedOver() {
    assertInstanceOf(TestAbortedException.class, outcome("LeaseTest", "lapses", "lapses()"));
    assertInstanceOf(TestAbortedException.class, outcome("LeaseTest", "lapses", "[2] 9"));
    assertInstanceOf(TestAbortedException.class, outcome("HistoryTest", "rulesHold", "[1] 17"));
  }

  @Test
  void everyOtherFailureStands() {
    assertSame(FAILURE, outcome("HistoryTest", "rulesHold", "[17] 1"));
    assertSame(FAILURE, outcome("HistoryTest", "rulesHold", "[3] 171"));
    assertSame(FAILURE, outcome("HistoryTest", "lapses", "lapses()"));
    assertSame(FAILURE, outcome("LeaseTest", "renews", "renews()"));
  }

  @Test
  void withoutAListNothingIsPassedOver() throws IOException {
    assertTrue(KnownRedList.read(Path.of("target", "no-such-list")).entries().isEmpty());
  }

  /** The last entry's line is gone, and the list is empty or has only its head. */
  @Test
  void aListWithoutEntriesPassesNothingOver() {
    for (List<String> lines : List.of(List.<String>of(), List.of("# test | command", ""))) {
      KnownRedExtension extension = new KnownRedExtension(KnownRedList.parse(lines));
      assertSame(FAILURE, extension.passedOver("LeaseTest", "lapses", "lapses()", FAILURE));
    }
  }

  @Test
  void aLineThatCanNotBeReadIsTold() {
    for (String line :
        List.of(
            "LeaseTest#lapses | mvn test | a lease too short",
            "LeaseTest | mvn test | a lease too short | 4",
            "LeaseTest#lapses | mvn test |  | 4")) {
      KnownRedList.MalformedListException told =
          assertThrows(
              KnownRedList.MalformedListException.class,
              () -> KnownRedList.parse(List.of("# head", line)));
      assertEquals(0, told.getMessage().indexOf("KNOWN-RED.txt, line 2: "));
    }
  }
}
