package eiderfork.controller.registry;

import eiderfork.controller.ratelimit.Backoff;
import eiderfork.model.StoredRecord;
import java.util.random.RandomGenerator;

/** The committed allocation of a job and the state of the write that replaces it. */
public final class AllocationWriteState {
  private final Backoff retryBackoff;
  private final Backoff oversizeBackoff;

  private StoredRecord.Allocation committed = StoredRecord.Allocation.EMPTY;
  private long version;

  /** True if the in-memory state differs from the one that is committed or being written. */
  private boolean dirty;

  private boolean inFlight;
  private boolean completionInFlight;
  private long lastWriteMs;
  private long retryAtMs;
  private long blockedUntilMs;

  /**
   * @param retryBackoff the backoff between retries of a write whose result is unknown
   * @param oversizeBackoff the backoff between writes of a record that is too large for the store
   */
  AllocationWriteState(Backoff retryBackoff, Backoff oversizeBackoff) {
    this.retryBackoff = retryBackoff;
    this.oversizeBackoff = oversizeBackoff;
  }

  /** The committed allocation. */
  public StoredRecord.Allocation committed() {
    return committed;
  }

  /** The version of the committed allocation; 0 for none. */
  public long version() {
    return version;
  }

  /**
   * Returns whether the in-memory state differs from the one that is committed or being written.
   */
  public boolean isDirty() {
    return dirty;
  }

  /** Returns whether a write is in flight. */
  public boolean isInFlight() {
    return inFlight;
  }

  /**
   * Returns whether the write in flight completes the job. It may have been applied and read by
   * another node, so until its result is known the job's status must not be answered from memory.
   */
  public boolean isCompletionInFlight() {
    return completionInFlight;
  }

  /** The time when the last write was sent to the store; 0 for never. */
  public long lastWriteMs() {
    return lastWriteMs;
  }

  /** Returns whether a write may begin now. */
  boolean canBegin(long nowMs) {
    return !inFlight && nowMs >= blockedUntilMs;
  }

  /** Records the committed allocation that a new leader has read. */
  void onRestored(StoredRecord.Allocation allocation, long version) {
    committed = allocation;
    this.version = version;
  }

  /** Records that the in-memory state has changed and has to be written. */
  void onChanged() {
    dirty = true;
  }

  /** Records that a write of this allocation is sent to the store. */
  public void onWriteBegun(StoredRecord.Allocation allocation, long nowMs) {
    dirty = false;
    inFlight = true;
    completionInFlight = allocation.done();
    lastWriteMs = nowMs;
  }

  /** Records that the write in flight was applied and that the key now has this version. */
  void onApplied(StoredRecord.Allocation allocation, long version) {
    onNotApplied();
    retryBackoff.reset();
    committed = allocation;
    this.version = version;
  }

  /** Records that the write in flight was definitely not applied. */
  public void onNotApplied() {
    inFlight = false;
    completionInFlight = false;
  }

  /** Records that the store rejected the write in flight because its record is too large. */
  void onTooLarge(long nowMs, RandomGenerator random) {
    onNotApplied();
    blockedUntilMs = nowMs + oversizeBackoff.nextPauseMs(random);
  }

  /** Schedules a retry of the write in flight, whose result is unknown. */
  void scheduleRetry(long nowMs, RandomGenerator random) {
    retryAtMs = nowMs + retryBackoff.nextPauseMs(random);
  }

  /** Returns whether the backoff before the retry is over. */
  boolean isRetryDue(long nowMs) {
    return nowMs >= retryAtMs;
  }
}
