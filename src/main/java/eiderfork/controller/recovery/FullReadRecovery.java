package eiderfork.controller.recovery;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.store.RequestPriority;
import java.util.function.LongConsumer;

/** Brings a new leader's memory up to what is committed by reading it all from the store. */
public final class FullReadRecovery {
  /** Cancellations come first: no worker's lease is renewed before they are known. */
  private static final ImmutableList<String> BEFORE_JOBS =
      ImmutableList.of(
          StoreKeys.CANCELLATION_PREFIX, StoreKeys.CLUSTER_VERSION, StoreKeys.MACHINE_TYPES);

  private static final ImmutableList<String> AFTER_JOBS =
      ImmutableList.of(StoreKeys.RENT_PREFIX, StoreKeys.RETURN_PREFIX);

  private static final String FIRST_PAGE = "";

  private final ControllerContext context;
  private final RangeReader reader;
  private final JobPageReader jobPageReader;
  private final StoredRecordRestorer restorer;
  private final CancellationTracker cancellations;
  private final FinishedJobLoader finishedJobLoader;

  /** Makes the recovery; it begins with {@link #read}. */
  public FullReadRecovery(
      ControllerContext context,
      RangeReader reader,
      JobPageReader jobPageReader,
      StoredRecordRestorer restorer,
      CancellationTracker cancellations,
      FinishedJobLoader finishedJobLoader) {
    this.context = context;
    this.reader = reader;
    this.jobPageReader = jobPageReader;
    this.restorer = restorer;
    this.cancellations = cancellations;
    this.finishedJobLoader = finishedJobLoader;
  }

  /**
   * Reads and restores everything, as long as this node leads this term.
   *
   * @param onComplete takes the revision of the first read, after which changes may be missing
   */
  void read(long leadingTerm, LongConsumer onComplete) {
    readRanges(
        BEFORE_JOBS,
        leadingTerm,
        revision ->
            readJobs(FIRST_PAGE, leadingTerm, () -> readRest(leadingTerm, revision, onComplete)));
  }

  private void readRest(long leadingTerm, long firstRevision, LongConsumer onComplete) {
    readRanges(AFTER_JOBS, leadingTerm, revision -> onComplete.accept(firstRevision));
  }

  /** Reads one range after the other; {@code onComplete} takes the revision of the first. */
  private void readRanges(
      ImmutableList<String> prefixes, long leadingTerm, LongConsumer onComplete) {
    String prefix = prefixes.get(0);
    ImmutableList<String> others = prefixes.subList(1, prefixes.size());
    long requestedMs = context.nowMs();
    reader.scan(
        prefix,
        FIRST_PAGE,
        leadingTerm,
        restorer::restore,
        revision -> {
          if (prefix.equals(StoreKeys.CANCELLATION_PREFIX)) {
            // Pages are read one after the other, so that only the first request's time is sure.
            cancellations.recordCaughtUp(requestedMs);
          }
          if (others.isEmpty()) {
            onComplete.accept(revision);
          } else {
            readRanges(others, leadingTerm, ignored -> onComplete.accept(revision));
          }
        });
  }

  /** Reads jobs a page at a time, and keeps of the finished ones what memory can hold. */
  private void readJobs(String afterJob, long leadingTerm, Runnable onComplete) {
    jobPageReader.read(
        afterJob,
        leadingTerm,
        RequestPriority.START,
        page -> {
          page.jobs().forEach(restorer::restore);
          page.allocs().forEach(restorer::restore);
          finishedJobLoader.evictExcess(page, afterJob);
          if (page.continueAfter() == null) {
            onComplete.run();
          } else {
            readJobs(page.continueAfter(), leadingTerm, onComplete);
          }
        });
  }
}
