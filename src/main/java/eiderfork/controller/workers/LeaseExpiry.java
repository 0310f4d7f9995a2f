package eiderfork.controller.workers;

import eiderfork.controller.cluster.PeerMonitor;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Settles the reservations of machines whose worker leases are certain to have expired and were not
 * renewed by a {@link LeaseProxy}.
 */
public final class LeaseExpiry {
  /**
   * The fraction of a lease after which a silent machine is suspected, and plans may replace it.
   */
  private static final double SUSPECT_LEASE_SHARE = 0.5;

  /**
   * The same fraction if the machine's whole zone is unreachable; lease proxies may take this long
   * to start.
   */
  private static final double PARTITIONED_SUSPECT_LEASE_SHARE = 0.75;

  /**
   * A machine's expired lease.
   *
   * @param leaseStartMs the time from which the lease ran
   */
  private record ExpiredLease(MachineState machine, long leaseStartMs) {
    /**
     * Returns whether this is still the machine's lease. A read of the proxy records says nothing
     * about a lease that began after the read was sent, even if that lease has expired by now.
     */
    boolean isCurrent() {
      return machine.incarnation().leaseStartMs() == leaseStartMs;
    }
  }

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final PeerMonitor peers;
  private final MachineLiveness liveness;
  private final WorkerLeaseLog leaseLog;
  private final Consumer<Consumer<Set<String>>> readProxiedMachines;
  private final Runnable requestRound;
  private boolean proxyReadInFlight;
  private long nextProxyReadMs;

  /**
   * Creates an instance for all terms of this node.
   *
   * @param readProxiedMachines reads the names of the machines whose leases other nodes renew
   * @param requestRound requests a scheduling round, called when settled tasks can be placed again
   */
  public LeaseExpiry(
      ControllerContext context,
      MachineRegistry fleet,
      PeerMonitor peers,
      MachineLiveness liveness,
      WorkerLeaseLog leaseLog,
      Consumer<Consumer<Set<String>>> readProxiedMachines,
      Runnable requestRound) {
    this.context = context;
    this.fleet = fleet;
    this.peers = peers;
    this.liveness = liveness;
    this.leaseLog = leaseLog;
    this.readProxiedMachines = readProxiedMachines;
    this.requestRound = requestRound;
  }

  /**
   * Resets the state at the start of a term; a read that an earlier term has in flight is not
   * awaited.
   */
  public void onElected() {
    proxyReadInFlight = false;
  }

  /**
   * Returns whether a lease proxy's record that names the machine was read within the last two
   * steps.
   */
  public boolean isProxied(MachineState machine) {
    return machine.leaseProxySeenMs() > 0
        && context.nowMs() - machine.leaseProxySeenMs() <= 2 * context.stepMs();
  }

  /**
   * Returns whether a silent machine may be lost. If its whole zone is unreachable it is suspected
   * later, because nodes in that zone may renew its lease.
   */
  public boolean isSuspected(MachineState machine) {
    double share =
        peers.isZoneUnreachable(machine.zone())
            ? PARTITIONED_SUSPECT_LEASE_SHARE
            : SUSPECT_LEASE_SHARE;
    return !isProxied(machine)
        && liveness.timeSinceLastContactMs(machine) > context.workerLeaseMs() * share;
  }

  /**
   * Settles the reservations of machines whose leases have expired and were not renewed by proxies.
   */
  void settleExpired() {
    if (proxyReadInFlight || context.nowMs() < nextProxyReadMs) {
      return;
    }
    List<ExpiredLease> expiredLeases = new ArrayList<>();
    boolean hasSilentMachine = false;
    long suspectMs = (long) (context.workerLeaseMs() * SUSPECT_LEASE_SHARE);
    for (MachineState machine : fleet.machinesWithLeaseOlderThan(suspectMs)) {
      if (!machine.reservations().isEmpty()) {
        if (hasExpired(machine)) {
          expiredLeases.add(new ExpiredLease(machine, machine.incarnation().leaseStartMs()));
        }
        hasSilentMachine |=
            machine.lastHeartbeat() != null && liveness.timeSinceLastContactMs(machine) > suspectMs;
      }
    }
    if (!hasNodeInOtherZone()) {
      expiredLeases.forEach(expired -> settle(expired.machine, 0));
    } else if (hasSilentMachine || !expiredLeases.isEmpty()) {
      proxyReadInFlight = true;
      nextProxyReadMs = context.nowMs() + context.stepMs() / 2;
      long requestedMs = context.nowMs();
      readProxiedMachines.accept(names -> onProxiedMachinesRead(expiredLeases, requestedMs, names));
    }
  }

  /**
   * Returns whether a peer is in another zone; only such nodes renew leases on the leader's behalf.
   */
  private boolean hasNodeInOtherZone() {
    return context.settings.peerZones().values().stream()
        .anyMatch(zone -> !zone.equals(context.settings.zone()));
  }

  /**
   * Settles the expired leases that the proxy records show not to be renewed.
   *
   * @param requestedMs the time at which the read was sent, after all of the leases had expired
   * @param machineNames the machines named by the records, or null if a record could not be read
   */
  private void onProxiedMachinesRead(
      List<ExpiredLease> expiredLeases, long requestedMs, Set<String> machineNames) {
    proxyReadInFlight = false;
    if (machineNames == null) {
      return;
    }
    for (String name : machineNames) {
      MachineState machine = fleet.get(name);
      if (machine != null) {
        machine.onLeaseProxySeen(context.nowMs());
      }
    }
    for (ExpiredLease expired : expiredLeases) {
      MachineState machine = expired.machine;
      if (fleet.get(machine.name()) != machine) {
        continue;
      }
      if (machineNames.contains(machine.name())) {
        leaseLog.recordKeptByProxy();
      } else if (!expired.isCurrent()) {
        leaseLog.recordStaleRead();
      } else {
        settle(machine, context.nowMs() - requestedMs);
      }
    }
  }

  private void settle(MachineState machine, long proxyReadMs) {
    leaseLog.recordExpiredLease(machine, proxyReadMs);
    fleet.settleReservations(machine);
    requestRound.run();
  }

  /**
   * Returns whether the machine's lease is certain to have expired, so that the worker has ended
   * all earlier tasks and no longer reports them. Until the worker has reported a fencing token of
   * this term, an earlier leader may have renewed its lease, at the latest when that leader's term
   * is certain to have ended.
   */
  public boolean hasExpired(MachineState machine) {
    if (!machine.incarnation().mayLeaseHaveExpired(context.nowMs(), context.workerLeaseMs())) {
      return false;
    }
    long earlierTermsEndMs = liveness.hasTokenOfTerm(machine) ? 0 : peers.earlierTermsEndedMs();
    if (earlierTermsEndMs == Long.MAX_VALUE) {
      return false;
    }
    return machine
        .incarnation()
        .hasLeaseSurelyExpired(
            context.nowMs(), context.workerLeaseMs(), earlierTermsEndMs, context.stepMs() / 2);
  }
}
