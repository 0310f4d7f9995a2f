package eiderfork.controller.registry;

import eiderfork.controller.ratelimit.Backoff;
import eiderfork.model.StoredRecord;
import java.util.random.RandomGenerator;

/** What is committed of a job's allocation, and how the write of a newer one stands. */
public final class AllocationWriteState {
  private final Backoff retryBackoff;
  private final Backoff oversizeBackoff;

  private StoredRecord.Allocation committed = StoredRecord.Allocation.EMPTY;
  private long version;

  /** Memory differs from what is committed. */
  private boolean dirty;

  private boolean inFlight;
  private boolean completionInFlight;
  private long lastWriteMs;
  private long retryAtMs;
  private long blockedUntilMs;

  /**
   * @param retryBackoff between retries of a write whose result is unknown
   * @param oversizeBackoff between writes of a record that is too large for the store
   */
  AllocationWriteState(Backoff retryBackoff, Backoff oversizeBackoff) {
    this.retryBackoff = retryBackoff;
    this.oversizeBackoff = oversizeBackoff;
  }

  /** The committed allocation. */
  public StoredRecord.Allocation committed() {
    return committed;
  }

  /** The version of the committed allocation; 0 where there is none. */
  public long version() {
    return version;
  }

  /** Whether memory differs from what is committed or being written. */
  public boolean isDirty() {
    return dirty;
  }

  /** Whether a write is in flight. */
  public boolean isInFlight() {
    return inFlight;
  }

  /**
   * Whether the write in flight completes the job. It may have been applied and read by another
   * node, so until its result is known the job's status must not be answered from memory.
   */
  public boolean isCompletionInFlight() {
    return completionInFlight;
  }

  /** When the last write was handed over; 0 for never. */
  public long lastWriteMs() {
    return lastWriteMs;
  }

  /** Whether a write may begin now. */
  boolean canBegin(long nowMs) {
    return !inFlight && nowMs >= blockedUntilMs;
  }

  /** A new leader has read the allocation. */
  void onRestored(StoredRecord.Allocation allocation, long version) {
    committed = allocation;
    this.version = version;
  }

  /** Memory has changed and has to be written. */
  void onChanged() {
    dirty = true;
  }

  /** A write of this allocation is handed over to the store. */
  public void onWriteBegun(StoredRecord.Allocation allocation, long nowMs) {
    dirty = false;
    inFlight = true;
    completionInFlight = allocation.done();
    lastWriteMs = nowMs;
  }

  /** The write in flight was applied, which gave the key this version. */
  void onApplied(StoredRecord.Allocation allocation, long version) {
    onNotApplied();
    retryBackoff.reset();
    committed = allocation;
    this.version = version;
  }

  /** The write in flight surely was not applied. */
  public void onNotApplied() {
    inFlight = false;
    completionInFlight = false;
  }

  /** The write in flight surely was not applied, since its record is too large for the store. */
  void onTooLarge(long nowMs, RandomGenerator random) {
    onNotApplied();
    blockedUntilMs = nowMs + oversizeBackoff.nextPauseMs(random);
  }

  /** The result of the write in flight is unknown; it is retried after a pause. */
  void scheduleRetry(long nowMs, RandomGenerator random) {
    retryAtMs = nowMs + retryBackoff.nextPauseMs(random);
  }

  /** Whether the pause before the retry is over. */
  boolean isRetryDue(long nowMs) {
    return nowMs >= retryAtMs;
  }
}
