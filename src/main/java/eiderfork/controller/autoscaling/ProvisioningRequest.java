package eiderfork.controller.autoscaling;

import eiderfork.controller.ratelimit.Backoff;
import java.util.random.RandomGenerator;

/** A call to the cloud, from the intent that is stored for it until it is settled. */
abstract class ProvisioningRequest {
  private final String key;
  private final Backoff backoff;
  private boolean committed;
  private boolean sent;
  private boolean inFlight;
  private long nextAttemptMs;

  /**
   * @param key the store's key of the intent
   */
  ProvisioningRequest(String key, Backoff backoff) {
    this.key = key;
    this.backoff = backoff;
  }

  /** The store's key of the intent. */
  final String key() {
    return key;
  }

  /** The intent is stored, so that the call may be made. */
  final void intentCommitted() {
    committed = true;
  }

  /** Whether the intent is stored. */
  final boolean isCommitted() {
    return committed;
  }

  /** The call is made. */
  final void callStarted() {
    sent = true;
    inFlight = true;
  }

  /** The call was answered, or is not waited for any more. */
  final void callEnded() {
    inFlight = false;
  }

  /** Whether the call was made at least once. */
  final boolean hasBeenSent() {
    return sent;
  }

  /** Whether a call is under way. */
  final boolean isInFlight() {
    return inFlight;
  }

  /** The call has failed and is made again after a growing pause. */
  final void scheduleRetry(long nowMs, RandomGenerator random) {
    nextAttemptMs = nowMs + backoff.nextPauseMs(random);
  }

  /** Whether the call is to be made now. */
  boolean isDue(long nowMs) {
    return committed && !inFlight && nowMs >= nextAttemptMs;
  }
}
