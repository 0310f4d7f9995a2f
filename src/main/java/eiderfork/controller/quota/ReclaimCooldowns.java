package eiderfork.controller.quota;

import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * How soon room that was reclaimed may be lent again. Each reversal on a machine (a reclaim after
 * its room was lent anew) doubles the time, up to a bound, and a reversal is forgotten after a calm
 * of several times the first cooldown. With a first cooldown of {@code b} seconds a machine sees at
 * most {@value #MAX_LEVEL} + t / ({@value #DECAY_COOLDOWNS} b) reversals in t seconds, and each of
 * its GPUs is reclaimed at most once for each.
 */
public final class ReclaimCooldowns {
  /** The cooldown doubles this often at most, counted from 1. */
  static final int MAX_LEVEL = 4;

  /** A reversal is forgotten after this many first cooldowns without another. */
  static final int DECAY_COOLDOWNS = 8;

  private record Hold(String preemptorUid, Resources resources) {}

  private static final class MachineCooldown {
    int level;
    long firstMs;
    long untilMs;
    long decaysAtMs;
    final List<Hold> holds = new ArrayList<>();
  }

  private final Map<String, MachineCooldown> machines = new HashMap<>();

  /** The most reversals that a machine can see in this time, with such a first cooldown. */
  public static double maxReversals(double timeS, double firstCooldownS) {
    return MAX_LEVEL + timeS / (DECAY_COOLDOWNS * firstCooldownS);
  }

  /** The cooldown after so many reversals, with such a first one. */
  public static long cooldownMs(int reversals, long firstMs) {
    return firstMs << (Math.min(MAX_LEVEL, reversals) - 1);
  }

  /** Forgets everything. */
  public void clear() {
    machines.clear();
  }

  /**
   * Room was reclaimed on a machine for a job.
   *
   * @param firstMs the first cooldown
   * @param isShortLoan whether the borrower ran for less than its start and save take, which counts
   *     as two reversals
   */
  public void recordReclaim(
      String machine,
      String preemptorUid,
      Resources room,
      long nowMs,
      long firstMs,
      boolean isShortLoan) {
    MachineCooldown it = machines.computeIfAbsent(machine, name -> new MachineCooldown());
    if (nowMs >= it.untilMs) {
      it.holds.clear();
      it.firstMs = firstMs;
      it.level = Math.min(MAX_LEVEL, it.level + (isShortLoan ? 2 : 1));
      it.untilMs = nowMs + cooldownMs(it.level, firstMs);
      it.decaysAtMs = nowMs + DECAY_COOLDOWNS * firstMs;
    }
    it.holds.add(new Hold(preemptorUid, room));
  }

  /** Whether some room of the machine is kept from borrowers. */
  public boolean isCoolingDown(String machine, long nowMs) {
    MachineCooldown it = machines.get(machine);
    return it != null && nowMs < it.untilMs;
  }

  /**
   * The room of a machine that is kept from borrowers: what was reclaimed there for jobs that do
   * not hold it any more.
   *
   * @param hasReservation whether a job still holds room on the machine, or is about to
   */
  public Resources withheld(String machine, long nowMs, Predicate<String> hasReservation) {
    Resources kept = Resources.NONE;
    if (isCoolingDown(machine, nowMs)) {
      for (Hold hold : machines.get(machine).holds) {
        kept = hasReservation.test(hold.preemptorUid) ? kept : kept.plus(hold.resources);
      }
    }
    return kept;
  }

  /** Forgets the reversals that are long past. */
  public void decay(long nowMs) {
    for (Iterator<MachineCooldown> all = machines.values().iterator(); all.hasNext(); ) {
      MachineCooldown it = all.next();
      if (nowMs >= it.decaysAtMs && nowMs >= it.untilMs) {
        it.level--;
        it.decaysAtMs = nowMs + DECAY_COOLDOWNS * it.firstMs;
        if (it.level <= 0) {
          all.remove();
        }
      }
    }
  }
}
