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
  private static final double APART_SUSPECT_SHARE = 0.75;

  /** A lease that has lapsed, and from when it ran. */
  private record Lapse(MachineState machine, long leaseFromMs) {
    /**
     * Whether it is still the machine's lease. Of one that began later, and may have lapsed by now,
     * an older read of the records says nothing.
     */
    boolean stands() {
      return machine.session.leaseFromMs() == leaseFromMs;
    }
  }

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final PeerMonitor peers;
  private final MachineLiveness liveness;
  private final WorkerLeaseLog log;
  private final Consumer<Consumer<Set<String>>> readProxied;
  private final Runnable kick;
  private boolean readingProxied;
  private long readProxiedNotBeforeMs;

  /**
   * @param readProxied reads which machines other nodes answer in this one's place
   * @param kick is called where a round has something new to place
   */
  LeaseExpiry(
      ControllerContext context,
      MachineRegistry fleet,
      PeerMonitor peers,
      MachineLiveness liveness,
      WorkerLeaseLog log,
      Consumer<Consumer<Set<String>>> readProxied,
      Runnable kick) {
    this.context = context;
    this.fleet = fleet;
    this.peers = peers;
    this.liveness = liveness;
    this.log = log;
    this.readProxied = readProxied;
    this.kick = kick;
  }

  /** A term begins; an answer to what an earlier one asked is of no use. */
  void elected() {
    readingProxied = false;
  }

  /** Whether another node answered the machine's worker in this one's place not long ago. */
  boolean proxied(MachineState m) {
    return m.proxiedMs > 0 && context.nowMs - m.proxiedMs <= 2 * context.stepMs();
  }

  /**
   * Whether a machine that is silent may be lost. For a while it is not where its whole zone can't
   * be reached, and nodes there may answer for this one.
   */
  boolean suspected(MachineState m) {
    double share = peers.apart(m.zone()) ? APART_SUSPECT_SHARE : SUSPECT_SHARE;
    return !proxied(m) && liveness.silentForMs(m) > context.leaseMs() * share;
  }

  /** Takes the tasks off machines whose leases have lapsed, unless a leaseProxy renewed them. */
  void settleLapsed() {
    if (readingProxied || context.nowMs < readProxiedNotBeforeMs) {
      return;
    }
    List<Lapse> over = new ArrayList<>();
    boolean silent = false;
    long suspectMs = (long) (context.leaseMs() * SUSPECT_SHARE);
    for (MachineState m : fleet.notRenewedFor(suspectMs)) {
      if (!m.placed.isEmpty()) {
        if (lapsed(m)) {
          over.add(new Lapse(m, m.session.leaseFromMs()));
        }
        silent |= m.report() != null && liveness.silentForMs(m) > suspectMs;
      }
    }
    if (!mayBeProxied()) {
      over.forEach(lapse -> settle(lapse.machine, 0));
    } else if (silent || !over.isEmpty()) {
      readingProxied = true;
      readProxiedNotBeforeMs = context.nowMs + context.stepMs() / 2;
      long askedMs = context.nowMs;
      readProxied.accept(names -> proxied(over, askedMs, names));
    }
  }

  /** Only nodes of another zone than the leader's stand in for it. */
  private boolean mayBeProxied() {
    return context.settings.peerZones().values().stream()
        .anyMatch(zone -> !zone.equals(context.settings.zone()));
  }

  /** What was read after the leases in {@code over} had lapsed as far as this node knows. */
  private void proxied(List<Lapse> over, long askedMs, Set<String> names) {
    readingProxied = false;
    if (names == null) {
      return;
    }
    for (String name : names) {
      MachineState m = fleet.get(name);
      if (m != null) {
        m.proxiedMs = context.nowMs;
      }
    }
    for (Lapse lapse : over) {
      MachineState m = lapse.machine;
      if (fleet.get(m.name) != m) {
        continue;
      }
      if (names.contains(m.name)) {
        log.keptByProxy();
      } else if (!lapse.stands()) {
        log.outdatedRead();
      } else {
        settle(m, context.nowMs - askedMs);
      }
    }
  }

  private void settle(MachineState m, long readMs) {
    log.lapsed(m, readMs);
    fleet.settleAll(m);
    kick.run();
  }

  /**
   * The worker has surely killed and forgotten everything that was started before. Where it does
   * not show this term's token yet, an older leader may have renewed its lease for as long as there
   * was one: a leader that took over while a zone was cut off once left the zone's replicas
   * unplaced until the cut was over.
   */
  boolean lapsed(MachineState m) {
    if (!m.session.mayBeOver(context.nowMs, context.leaseMs())) {
      return false;
    }
    long olderTermsMs = liveness.shown(m) ? 0 : peers.olderTermsOverMs();
    if (olderTermsMs == Long.MAX_VALUE) {
      return false;
    }
    return m.session.isSurelyOver(
        context.nowMs, context.leaseMs(), olderTermsMs, context.stepMs() / 2);
  }
}
