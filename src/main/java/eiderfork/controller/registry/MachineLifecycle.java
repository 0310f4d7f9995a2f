package eiderfork.controller.registry;

import eiderfork.model.ListedMachine;

/** The lifecycle of a machine, from its request to its return to the cloud. */
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

  /** The last time for which there is proof that the machine existed. */
  long lastAliveMs() {
    return lastAliveMs;
  }

  /** The time when the machine was requested or first became known. */
  public long knownSinceMs() {
    return knownSinceMs;
  }

  /** Returns whether the machine was just provisioned, or the cloud lists it as booting. */
  public boolean isBooting() {
    return booting;
  }

  /** The time when the cloud first listed the machine as running in this term; 0 for not yet. */
  public long firstRunningMs() {
    return firstRunningMs;
  }

  /** Returns whether the cloud has listed the machine in this term. */
  public boolean isListedByCloud() {
    return listedByCloud;
  }

  /** Returns whether the machine is to be returned, so that no task starts on it any more. */
  public boolean isScalingIn() {
    return scalingIn;
  }

  /** The time when the machine was scaled in because it was unreachable; 0 if it was not. */
  public long unreachableScaleInMs() {
    return unreachableScaleInMs;
  }

  /** Returns whether the machine's tasks are being migrated away, so that none starts on it. */
  public boolean isDraining() {
    return draining;
  }

  /** The time when draining began. */
  public long drainingSinceMs() {
    return drainingSinceMs;
  }

  /** The time since which all of the machine's tasks would fit elsewhere; 0 if they would not. */
  public long drainableSinceMs() {
    return drainableSinceMs;
  }

  /** The time since which the machine is idle; 0 while it holds tasks or is needed. */
  public long idleSinceMs() {
    return idleSinceMs;
  }

  /** Records that the cloud has provisioned the machine. */
  public void onProvisioned(boolean hasHeartbeat, long nowMs) {
    booting = !hasHeartbeat;
    lastAliveMs = nowMs;
  }

  /** Records a heartbeat of the machine's worker. */
  public void onHeartbeat(long nowMs) {
    lastAliveMs = nowMs;
    booting = false;
  }

  /**
   * Records that the cloud lists the machine.
   *
   * @param listedMs the earliest time of which the list may show the state
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

  /** Marks the machine to be returned to the cloud. */
  public void beginScaleIn() {
    scalingIn = true;
  }

  /** Records that the machine is to be returned to the cloud because it is unreachable. */
  public void recordUnreachableScaleIn(long nowMs) {
    unreachableScaleInMs = nowMs;
  }

  /** Keeps a machine that became reachable before its return was requested from the cloud. */
  public void cancelScaleIn() {
    scalingIn = false;
    unreachableScaleInMs = 0;
  }

  /** Marks the machine for draining: its tasks are to be migrated away. */
  public void beginDraining(long nowMs) {
    draining = true;
    drainingSinceMs = nowMs;
  }

  /** Ends draining that took too long; the machine is used again unless it is being returned. */
  public void abandonDraining() {
    draining = scalingIn;
  }

  /** Records that all of the machine's tasks would fit elsewhere. */
  public void markDrainable(long nowMs) {
    if (drainableSinceMs == 0) {
      drainableSinceMs = nowMs;
    }
  }

  /** Records that the machine's tasks would not fit elsewhere. */
  public void clearDrainable() {
    drainableSinceMs = 0;
  }

  /** Records that the machine holds no tasks and is not needed. */
  public void beginIdle(long nowMs) {
    idleSinceMs = nowMs;
  }

  /** Records that the machine holds tasks or is needed. */
  public void clearIdle() {
    idleSinceMs = 0;
  }
}
