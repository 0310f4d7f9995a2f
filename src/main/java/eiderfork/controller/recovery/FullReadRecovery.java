package eiderfork.controller.recovery;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.store.RequestPriority;
import java.util.function.LongConsumer;

/** Recovers a new leader's state by reading everything that is committed from the store. */
public final class FullReadRecovery {
  /**
   * The ranges that are read before the jobs. Cancellations come first, because no worker's lease
   * is renewed before they are known.
   */
  private static final ImmutableList<String> RANGES_BEFORE_JOBS =
      ImmutableList.of(
          StoreKeys.CANCELLATION_PREFIX, StoreKeys.CLUSTER_VERSION, StoreKeys.MACHINE_TYPES);

  private static final ImmutableList<String> RANGES_AFTER_JOBS =
      ImmutableList.of(StoreKeys.SCALE_OUT_INTENT_PREFIX, StoreKeys.SCALE_IN_INTENT_PREFIX);

  private static final String FIRST_PAGE = "";

  private final ControllerContext context;
  private final RangeReader reader;
  private final JobPageReader jobPageReader;
  private final StoredRecordRestorer restorer;
  private final CancellationTracker cancellations;
  private final FinishedJobLoader finishedJobLoader;

  /** Creates a recovery, which starts when {@link #read} is called. */
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
   * Reads and restores everything, as long as this node leads in the given term.
   *
   * @param onComplete takes the revision of the first read; changes after this revision may be
   *     missing
   */
  void read(long leadingTerm, LongConsumer onComplete) {
    readRanges(
        RANGES_BEFORE_JOBS,
        leadingTerm,
        revision ->
            readJobs(
                FIRST_PAGE,
                leadingTerm,
                () -> readRangesAfterJobs(leadingTerm, revision, onComplete)));
  }

  private void readRangesAfterJobs(long leadingTerm, long firstRevision, LongConsumer onComplete) {
    readRanges(RANGES_AFTER_JOBS, leadingTerm, revision -> onComplete.accept(firstRevision));
  }

  /**
   * Reads the ranges one after the other.
   *
   * @param onComplete takes the revision of the first range
   */
  private void readRanges(
      ImmutableList<String> prefixes, long leadingTerm, LongConsumer onComplete) {
    String prefix = prefixes.get(0);
    ImmutableList<String> remaining = prefixes.subList(1, prefixes.size());
    long requestedMs = context.nowMs();
    reader.scan(
        prefix,
        FIRST_PAGE,
        leadingTerm,
        restorer::restore,
        revision -> {
          if (prefix.equals(StoreKeys.CANCELLATION_PREFIX)) {
            // Pages are read one after the other, so only what was stored at the time of the first
            // request is certain to be complete.
            cancellations.recordCaughtUp(requestedMs);
          }
          if (remaining.isEmpty()) {
            onComplete.accept(revision);
          } else {
            readRanges(remaining, leadingTerm, ignored -> onComplete.accept(revision));
          }
        });
  }

  /** Reads jobs one page at a time, and keeps only as many finished jobs as fit into memory. */
  private void readJobs(String afterUid, long leadingTerm, Runnable onComplete) {
    jobPageReader.read(
        afterUid,
        leadingTerm,
        RequestPriority.START,
        page -> {
          page.jobs().forEach(restorer::restore);
          page.allocations().forEach(restorer::restore);
          finishedJobLoader.evictExcess(page, afterUid);
          if (page.nextAfterUid() == null) {
            onComplete.run();
          } else {
            readJobs(page.nextAfterUid(), leadingTerm, onComplete);
          }
        });
  }
}
