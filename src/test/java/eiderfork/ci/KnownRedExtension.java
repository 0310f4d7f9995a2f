package eiderfork.ci;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.opentest4j.TestAbortedException;

/**
 * Lets the build pass over tests that fail and that {@code KNOWN-RED.txt} lists, and prints them.
 * They are run all the same; every other failure still fails the build.
 */
public final class KnownRedExtension implements TestExecutionExceptionHandler {
  private final KnownRedList list;

  /** Reads the list at the root of the sources. */
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
    Throwable outcome = passedOver(className, method, context.getDisplayName(), failure);
    if (outcome != failure) {
      System.out.println(outcome.getMessage());
    }
    throw outcome;
  }

  /** What becomes of a failure: itself, or an abortion where its test is listed. */
  Throwable passedOver(String className, String method, String displayName, Throwable failure) {
    Optional<KnownRedList.Entry> entry = list.find(className, method, displayName);
    if (entry.isEmpty() || failure instanceof TestAbortedException) {
      return failure;
    }
    String listed = "KNOWN RED " + entry.get().test() + " | " + entry.get().rest();
    return new TestAbortedException(
        listed + " | now: " + displayName + " " + failure.getMessage(), failure);
  }
}
