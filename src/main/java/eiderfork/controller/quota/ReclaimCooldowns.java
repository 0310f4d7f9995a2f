package eiderfork.controller.quota;

import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * How soon capacity that was reclaimed may be borrowed again. Each reversal on a machine (a reclaim
 * after its capacity was borrowed again) doubles the time, up to a bound, and a reversal is
 * forgotten after several first cooldowns without another. With a first cooldown of {@code b}
 * seconds a machine sees at most {@value #MAX_LEVEL} + t / ({@value #DECAY_COOLDOWNS} b) reversals
 * in t seconds, and each of its GPUs is reclaimed at most once for each.
 */
public final class ReclaimCooldowns {
  /** The cooldown doubles this often at most, counted from 1. */
  static final int MAX_LEVEL = 4;

  /** A reversal is forgotten after this many first cooldowns without another. */
  static final int DECAY_COOLDOWNS = 8;

  /** How many levels a loan counts that was too short to be worth its start and save. */
  private static final int SHORT_LOAN_LEVELS = 2;

  private record Reclaimed(String preemptorUid, Resources resources) {}

  /** The cooldown of one machine. */
  private static final class MachineCooldown {
    private int level;
    private long firstMs;
    private long untilMs;
    private long decaysAtMs;
    private final List<Reclaimed> reclaimed = new ArrayList<>();

    boolean isActive(long nowMs) {
      return nowMs < untilMs;
    }

    void restart(long nowMs, long firstCooldownMs, boolean isShortLoan) {
      reclaimed.clear();
      firstMs = firstCooldownMs;
      level = Math.min(MAX_LEVEL, level + (isShortLoan ? SHORT_LOAN_LEVELS : 1));
      untilMs = nowMs + cooldownMs(level, firstMs);
      decaysAtMs = nowMs + DECAY_COOLDOWNS * firstMs;
    }

    /** Forgets a reversal if its time is over; whether none is left. */
    boolean decay(long nowMs) {
      if (nowMs < decaysAtMs || isActive(nowMs)) {
        return false;
      }
      level--;
      decaysAtMs = nowMs + DECAY_COOLDOWNS * firstMs;
      return level <= 0;
    }
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
   * Records that capacity was reclaimed on a machine for a job.
   *
   * @param firstMs the first cooldown
   * @param isShortLoan whether the borrower ran for less than its start and save take, which counts
   *     as two reversals
   */
  public void recordReclaim(
      String machine,
      String preemptorUid,
      Resources resources,
      long nowMs,
      long firstMs,
      boolean isShortLoan) {
    MachineCooldown cooldown = machines.computeIfAbsent(machine, name -> new MachineCooldown());
    if (!cooldown.isActive(nowMs)) {
      cooldown.restart(nowMs, firstMs, isShortLoan);
    }
    cooldown.reclaimed.add(new Reclaimed(preemptorUid, resources));
  }

  /** Whether some capacity of the machine is withheld from borrowers. */
  public boolean isCoolingDown(String machine, long nowMs) {
    MachineCooldown cooldown = machines.get(machine);
    return cooldown != null && cooldown.isActive(nowMs);
  }

  /**
   * The capacity of a machine that is withheld from borrowers: what was reclaimed there for jobs
   * that do not hold it any more.
   *
   * @param hasReservation whether a job still holds capacity on the machine, or is about to
   */
  public Resources withheld(String machine, long nowMs, Predicate<String> hasReservation) {
    Resources withheld = Resources.NONE;
    if (isCoolingDown(machine, nowMs)) {
      for (Reclaimed each : machines.get(machine).reclaimed) {
        if (!hasReservation.test(each.preemptorUid)) {
          withheld = withheld.plus(each.resources);
        }
      }
    }
    return withheld;
  }

  /** Forgets the reversals that are long past. */
  public void decay(long nowMs) {
    machines.values().removeIf(cooldown -> cooldown.decay(nowMs));
  }
}
