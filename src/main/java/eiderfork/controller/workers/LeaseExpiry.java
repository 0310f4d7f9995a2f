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
 * Settles the reservations of machines whose worker leases have surely expired, unless a {@link
 * LeaseProxy} renewed them.
 */
public final class LeaseExpiry {
  /** The share of a lease after which plans replace a silent machine. */
  private static final double SUSPECT_SHARE = 0.5;

  /** The same where its whole zone is unreachable: lease proxies take until then to start. */
  private static final double PARTITIONED_SUSPECT_SHARE = 0.75;

  /** A lease that has expired, and from when it ran. */
  private record ExpiredLease(MachineState machine, long leaseStartMs) {
    /**
     * Whether it is still the machine's lease. An earlier read of the records says nothing of a
     * lease that began later, even if that has expired by now.
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
   * Makes an instance for all terms of this node.
   *
   * @param readProxiedMachines reads which machines' leases other nodes renew
   * @param requestRound is called where a scheduling round has something new to place
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

  /** A term begins; a read of an earlier one is not waited for. */
  public void onElected() {
    proxyReadInFlight = false;
  }

  /** Whether a lease proxy's record was seen lately that names the machine. */
  public boolean isProxied(MachineState machine) {
    return machine.leaseProxySeenMs() > 0
        && context.nowMs() - machine.leaseProxySeenMs() <= 2 * context.stepMs();
  }

  /**
   * Whether a silent machine may be lost. Where its whole zone is unreachable it is suspected
   * later, since nodes there may renew its lease.
   */
  public boolean isSuspected(MachineState machine) {
    double share =
        peers.isZoneUnreachable(machine.zone()) ? PARTITIONED_SUSPECT_SHARE : SUSPECT_SHARE;
    return !isProxied(machine)
        && liveness.timeSinceLastContactMs(machine) > context.workerLeaseMs() * share;
  }

  /** Settles the reservations of machines whose leases have expired and were not proxied. */
  void settleExpired() {
    if (proxyReadInFlight || context.nowMs() < nextProxyReadMs) {
      return;
    }
    List<ExpiredLease> expiredLeases = new ArrayList<>();
    boolean hasSilentMachine = false;
    long suspectMs = (long) (context.workerLeaseMs() * SUSPECT_SHARE);
    for (MachineState machine : fleet.machinesWithLeaseOlderThan(suspectMs)) {
      if (!machine.reservations().isEmpty()) {
        if (hasExpired(machine)) {
          expiredLeases.add(new ExpiredLease(machine, machine.incarnation().leaseStartMs()));
        }
        hasSilentMachine |=
            machine.lastHeartbeat() != null && liveness.timeSinceLastContactMs(machine) > suspectMs;
      }
    }
    if (!canBeProxied()) {
      expiredLeases.forEach(expired -> settle(expired.machine, 0));
    } else if (hasSilentMachine || !expiredLeases.isEmpty()) {
      proxyReadInFlight = true;
      nextProxyReadMs = context.nowMs() + context.stepMs() / 2;
      long requestedMs = context.nowMs();
      readProxiedMachines.accept(names -> onProxiedMachinesRead(expiredLeases, requestedMs, names));
    }
  }

  /** Whether another zone has nodes, since only those renew leases for the leader. */
  private boolean canBeProxied() {
    return context.settings.peerZones().values().stream()
        .anyMatch(zone -> !zone.equals(context.settings.zone()));
  }

  /**
   * Settles what a read of the proxies' records does not contradict.
   *
   * @param requestedMs when the read was sent, after all of the leases had expired
   * @param machineNames the machines that the records name; null where the read failed
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
        leaseLog.keptByProxy();
      } else if (!expired.isCurrent()) {
        leaseLog.staleRead();
      } else {
        settle(machine, context.nowMs() - requestedMs);
      }
    }
  }

  private void settle(MachineState machine, long readMs) {
    leaseLog.leaseExpired(machine, readMs);
    fleet.settleReservations(machine);
    requestRound.run();
  }

  /**
   * Whether the worker has surely ended and forgotten all earlier tasks. While it has not shown a
   * token of this term, an earlier leader may have renewed its lease until that leader's term ended
   * for sure.
   */
  public boolean hasExpired(MachineState machine) {
    if (!machine.incarnation().mayLeaseHaveExpired(context.nowMs(), context.workerLeaseMs())) {
      return false;
    }
    long olderTermsMs = liveness.hasTokenOfTerm(machine) ? 0 : peers.earlierTermsEndedMs();
    if (olderTermsMs == Long.MAX_VALUE) {
      return false;
    }
    return machine
        .incarnation()
        .hasLeaseSurelyExpired(
            context.nowMs(), context.workerLeaseMs(), olderTermsMs, context.stepMs() / 2);
  }
}
