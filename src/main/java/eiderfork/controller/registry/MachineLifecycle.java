package eiderfork.controller.registry;

import eiderfork.model.ListedMachine;

/** Where a machine stands between its request from the cloud and its return. */
public final class MachineLifecycle {
  private long lastAliveMs;
  private long knownSinceMs;
  private boolean booting;
  private long firstRunningMs;
  private boolean listedByCloud;
  private boolean scalingIn;
  private long unreachableScaleInMs;
  private boolean draining;
  private long drainingSinceMs;
  private long drainableSinceMs;
  private long idleSinceMs;

  MachineLifecycle(long nowMs) {
    knownSinceMs = nowMs;
    lastAliveMs = nowMs;
  }

  /** When anything last proved that the machine exists. */
  long lastAliveMs() {
    return lastAliveMs;
  }

  /** When the machine was requested or first known. */
  public long knownSinceMs() {
    return knownSinceMs;
  }

  /** Whether the machine has just been rented, or the cloud's list says that it boots. */
  public boolean isBooting() {
    return booting;
  }

  /** When the cloud's list first called the machine running in this term; 0 for not yet. */
  public long firstRunningMs() {
    return firstRunningMs;
  }

  /** Whether the cloud has listed the machine in this term. */
  public boolean isListedByCloud() {
    return listedByCloud;
  }

  /** Whether its return is decided, so that nothing starts here any more. */
  public boolean isScalingIn() {
    return scalingIn;
  }

  /** When its return was decided because it was unreachable; 0 for other reasons. */
  public long unreachableScaleInMs() {
    return unreachableScaleInMs;
  }

  /** Whether its replicas are being migrated away, so that nothing starts here. */
  public boolean isDraining() {
    return draining;
  }

  /** Since when it is draining. */
  public long drainingSinceMs() {
    return drainingSinceMs;
  }

  /** Since when all of its tasks would fit elsewhere; 0 while they would not. */
  public long drainableSinceMs() {
    return drainableSinceMs;
  }

  /** Since when the machine holds nothing; 0 while it holds something. */
  public long idleSinceMs() {
    return idleSinceMs;
  }

  /** The cloud has just provisioned the machine. */
  public void onProvisioned(boolean hasHeartbeat, long nowMs) {
    booting = !hasHeartbeat;
    lastAliveMs = nowMs;
  }

  /** A heartbeat of the machine's worker arrived. */
  public void onHeartbeat(long nowMs) {
    lastAliveMs = nowMs;
    booting = false;
  }

  /**
   * The cloud lists the machine.
   *
   * @param listedMs the earliest time that the list may describe
   */
  void onListed(ListedMachine listed, boolean hasHeartbeat, long listedMs, long nowMs) {
    listedByCloud = true;
    lastAliveMs = Math.max(lastAliveMs, listedMs);
    knownSinceMs = Math.min(knownSinceMs, nowMs - (long) (listed.ageS() * 1000));
    booting = !hasHeartbeat && listed.state() == ListedMachine.State.BOOTING;
    if (listed.state() == ListedMachine.State.RUNNING && firstRunningMs == 0) {
      firstRunningMs = nowMs;
    }
  }

  /** The machine is to be returned to the cloud. */
  public void beginScaleIn() {
    scalingIn = true;
  }

  /** The machine is to be returned to the cloud because it is unreachable. */
  public void recordUnreachableScaleIn(long nowMs) {
    unreachableScaleInMs = nowMs;
  }

  /** The machine is kept: it became reachable before the cloud was asked to take it back. */
  public void cancelScaleIn() {
    scalingIn = false;
    unreachableScaleInMs = 0;
  }

  /** The machine's tasks are to be migrated away. */
  public void beginDraining(long nowMs) {
    draining = true;
    drainingSinceMs = nowMs;
  }

  /** Draining took too long; the machine is used again unless it is being returned. */
  public void abandonDraining() {
    draining = scalingIn;
  }

  /** All of the machine's tasks would fit elsewhere. */
  public void markDrainable(long nowMs) {
    if (drainableSinceMs == 0) {
      drainableSinceMs = nowMs;
    }
  }

  /** The machine's tasks would not fit elsewhere. */
  public void clearDrainable() {
    drainableSinceMs = 0;
  }

  /** The machine holds nothing and is not needed. */
  public void beginIdle(long nowMs) {
    idleSinceMs = nowMs;
  }

  /** The machine holds something or is needed. */
  public void clearIdle() {
    idleSinceMs = 0;
  }
}
