package eiderfork.ci;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * JUnit extension that reports failures of the tests listed in {@code KNOWN-RED.txt} as aborted and
 * prints them. The listed tests still run, and all other failures fail the build.
 */
public final class KnownRedExtension implements TestExecutionExceptionHandler {
  private final KnownRedList list;

  /** Creates an extension with the list at the root of the source tree. */
  public KnownRedExtension() throws IOException {
    this(KnownRedList.read(Path.of("KNOWN-RED.txt")));
  }

  KnownRedExtension(KnownRedList list) {
    this.list = list;
  }

  @Override
  public void handleTestExecutionException(ExtensionContext context, Throwable failure)
      throws Throwable {
    String className = context.getRequiredTestClass().getSimpleName();
    String method = context.getRequiredTestMethod().getName();
    Throwable reported = toReportedException(className, method, context.getDisplayName(), failure);
    if (reported != failure) {
      System.out.println(reported.getMessage());
    }
    throw reported;
  }

  /**
   * Returns the exception to report for a failure: a {@link TestAbortedException} if the test is
   * listed, else the failure itself.
   */
  Throwable toReportedException(
      String className, String method, String displayName, Throwable failure) {
    Optional<KnownRedList.Entry> entry = list.find(className, method, displayName);
    if (entry.isEmpty() || failure instanceof TestAbortedException) {
      return failure;
    }
    String entryText = "KNOWN RED " + entry.get().test() + " | " + entry.get().details();
    return new TestAbortedException(
        entryText + " | now: " + displayName + " " + failure.getMessage(), failure);
  }
}
