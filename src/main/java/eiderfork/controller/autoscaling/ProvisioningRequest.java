package eiderfork.controller.autoscaling;

import eiderfork.controller.ratelimit.Backoff;
import java.util.random.RandomGenerator;

/** A request to the cloud, from the storing of its intent until it is settled. */
abstract class ProvisioningRequest {
  private final String key;
  private final Backoff backoff;
  private boolean committed;
  private boolean sent;
  private boolean inFlight;
  private long nextAttemptMs;

  /**
   * @param key the key of the intent in the store
   */
  ProvisioningRequest(String key, Backoff backoff) {
    this.key = key;
    this.backoff = backoff;
  }

  /** Returns the key of the intent in the store. */
  final String key() {
    return key;
  }

  /** Records that the intent is stored, so that the call may be made. */
  final void onIntentCommitted() {
    committed = true;
  }

  /** Returns whether the intent is stored. */
  final boolean isCommitted() {
    return committed;
  }

  /** Records that a call is made. */
  final void onCallStarted() {
    sent = true;
    inFlight = true;
  }

  /** Records that the call was answered or has timed out. */
  final void onCallEnded() {
    inFlight = false;
  }

  /** Returns whether the call was made at least once. */
  final boolean hasBeenSent() {
    return sent;
  }

  /** Returns whether a call is in flight. */
  final boolean isInFlight() {
    return inFlight;
  }

  /** Schedules a retry of a failed call after the next backoff delay. */
  final void scheduleRetry(long nowMs, RandomGenerator random) {
    nextAttemptMs = nowMs + backoff.nextPauseMs(random);
  }

  /** Returns whether the call is to be made now. */
  boolean isDue(long nowMs) {
    return committed && !inFlight && nowMs >= nextAttemptMs;
  }
}
