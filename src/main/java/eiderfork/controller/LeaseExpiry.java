package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Settles the tasks of machines whose workers' leases have surely lapsed, unless a {@link
 * LeaseProxy} renewed them.
 */
final class LeaseExpiry {
  /** The share of a lease after which machines for the tasks of a silent one are planned. */
  private static final double SUSPECT_SHARE = 0.5;

  /** The same where its whole zone can't be reached, for lease proxies take until then to begin. */
  private static final double PARTITIONED_SUSPECT_SHARE = 0.75;

  /** A lease that has lapsed, and from when it ran. */
  private record ExpiredLease(MachineState machine, long leaseStartMs) {
    /**
     * Whether it is still the machine's lease. Of one that began later, and may have lapsed by now,
     * an older read of the records says nothing.
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
   * @param readProxiedMachines reads which machines other nodes answer in this one's place
   * @param requestRound is called where a round has something new to place
   */
  LeaseExpiry(
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

  /** A term begins; an answer to what an earlier one asked is of no use. */
  void onElected() {
    proxyReadInFlight = false;
  }

  /** Whether another node answered the machine's worker in this one's place not long ago. */
  boolean isProxied(MachineState machine) {
    return machine.leaseProxySeenMs() > 0
        && context.nowMs - machine.leaseProxySeenMs() <= 2 * context.stepMs();
  }

  /**
   * Whether a machine that is silent may be lost. For a while it is not where its whole zone can't
   * be reached, and nodes there may answer for this one.
   */
  boolean isSuspected(MachineState machine) {
    double share =
        peers.isZoneUnreachable(machine.zone()) ? PARTITIONED_SUSPECT_SHARE : SUSPECT_SHARE;
    return !isProxied(machine)
        && liveness.sinceLastContactMs(machine) > context.workerLeaseMs() * share;
  }

  /** Takes the tasks off machines whose leases have lapsed, unless a leaseProxy renewed them. */
  void settleExpired() {
    if (proxyReadInFlight || context.nowMs < nextProxyReadMs) {
      return;
    }
    List<ExpiredLease> expiredLeases = new ArrayList<>();
    boolean silent = false;
    long suspectMs = (long) (context.workerLeaseMs() * SUSPECT_SHARE);
    for (MachineState machine : fleet.withLeaseNotRenewedFor(suspectMs)) {
      if (!machine.reservations().isEmpty()) {
        if (hasExpired(machine)) {
          expiredLeases.add(new ExpiredLease(machine, machine.incarnation().leaseStartMs()));
        }
        silent |=
            machine.lastHeartbeat() != null && liveness.sinceLastContactMs(machine) > suspectMs;
      }
    }
    if (!canBeProxied()) {
      expiredLeases.forEach(expired -> settle(expired.machine, 0));
    } else if (silent || !expiredLeases.isEmpty()) {
      proxyReadInFlight = true;
      nextProxyReadMs = context.nowMs + context.stepMs() / 2;
      long requestedMs = context.nowMs;
      readProxiedMachines.accept(names -> onProxiedMachinesRead(expiredLeases, requestedMs, names));
    }
  }

  /** Only nodes of another zone than the leader's stand in for it. */
  private boolean canBeProxied() {
    return context.settings.peerZones().values().stream()
        .anyMatch(zone -> !zone.equals(context.settings.zone()));
  }

  /**
   * What was read after the leases in {@code expiredLeases} had expired as far as this node knows.
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
        machine.onLeaseProxySeen(context.nowMs);
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
        settle(machine, context.nowMs - requestedMs);
      }
    }
  }

  private void settle(MachineState machine, long readMs) {
    leaseLog.leaseExpired(machine, readMs);
    fleet.settleReservations(machine);
    requestRound.run();
  }

  /**
   * The worker has surely killed and forgotten everything that was started before. Where it does
   * not show this term's token yet, an older leader may have renewed its lease for as long as there
   * was one: a leader that took over while a zone was cut off once left the zone's replicas
   * unplaced until the cut was over.
   */
  boolean hasExpired(MachineState machine) {
    if (!machine.incarnation().mayLeaseHaveExpired(context.nowMs, context.workerLeaseMs())) {
      return false;
    }
    long olderTermsMs = liveness.hasTokenOfTerm(machine) ? 0 : peers.earlierTermsEndedMs();
    if (olderTermsMs == Long.MAX_VALUE) {
      return false;
    }
    return machine
        .incarnation()
        .hasLeaseSurelyExpired(
            context.nowMs, context.workerLeaseMs(), olderTermsMs, context.stepMs() / 2);
  }
}
