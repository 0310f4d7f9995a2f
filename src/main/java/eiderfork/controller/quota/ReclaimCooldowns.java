package eiderfork.controller.quota;

import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Cooldowns during which reclaimed capacity may not be borrowed again. Each reversal on a machine
 * (a reclaim after its capacity was borrowed again) doubles the cooldown, up to a bound. A reversal
 * expires after {@value #DECAY_COOLDOWNS} first cooldowns without another one. With a first
 * cooldown of {@code b} seconds, a machine has at most {@value #MAX_LEVEL} + t / ({@value
 * #DECAY_COOLDOWNS} b) reversals in t seconds, and each of its GPUs is reclaimed at most once per
 * reversal.
 */
public final class ReclaimCooldowns {
  /** The maximum level: level 1 is the first cooldown, and each further level doubles it. */
  static final int MAX_LEVEL = 4;

  /** A reversal expires after this many first cooldowns without another one. */
  static final int DECAY_COOLDOWNS = 8;

  /** The levels added for a loan that was shorter than the start and save of its borrower. */
  private static final int SHORT_LOAN_LEVELS = 2;

  private record Reclaimed(String preemptorUid, Resources resources) {}

  /** The cooldown of one machine. */
  private static final class MachineCooldown {
    private int level;
    private long firstCooldownMs;
    private long endsAtMs;
    private long decaysAtMs;
    private final List<Reclaimed> reclaimed = new ArrayList<>();

    boolean isActive(long nowMs) {
      return nowMs < endsAtMs;
    }

    void restart(long nowMs, long newFirstCooldownMs, boolean isShortLoan) {
      reclaimed.clear();
      firstCooldownMs = newFirstCooldownMs;
      level = Math.min(MAX_LEVEL, level + (isShortLoan ? SHORT_LOAN_LEVELS : 1));
      endsAtMs = nowMs + cooldownMs(level, firstCooldownMs);
      decaysAtMs = nowMs + DECAY_COOLDOWNS * firstCooldownMs;
    }

    /** Removes a reversal if it has expired, and returns whether none is left. */
    boolean decay(long nowMs) {
      if (nowMs < decaysAtMs || isActive(nowMs)) {
        return false;
      }
      level--;
      decaysAtMs = nowMs + DECAY_COOLDOWNS * firstCooldownMs;
      return level <= 0;
    }
  }

  private final Map<String, MachineCooldown> machines = new HashMap<>();

  /** The maximum number of reversals on a machine in {@code timeS} with this first cooldown. */
  public static double maxReversals(double timeS, double firstCooldownS) {
    return MAX_LEVEL + timeS / (DECAY_COOLDOWNS * firstCooldownS);
  }

  /** The cooldown after this many reversals with this first cooldown. */
  public static long cooldownMs(int reversals, long firstCooldownMs) {
    return firstCooldownMs << (Math.min(MAX_LEVEL, reversals) - 1);
  }

  /** Removes all cooldowns. */
  public void clear() {
    machines.clear();
  }

  /**
   * Records that capacity was reclaimed on a machine for a job.
   *
   * @param firstCooldownMs the first cooldown
   * @param isShortLoan whether the borrower ran for less time than its start and save take, which
   *     counts as two reversals
   */
  public void recordReclaim(
      String machine,
      String preemptorUid,
      Resources resources,
      long nowMs,
      long firstCooldownMs,
      boolean isShortLoan) {
    MachineCooldown cooldown = machines.computeIfAbsent(machine, name -> new MachineCooldown());
    if (!cooldown.isActive(nowMs)) {
      cooldown.restart(nowMs, firstCooldownMs, isShortLoan);
    }
    cooldown.reclaimed.add(new Reclaimed(preemptorUid, resources));
  }

  /** Returns whether the machine's cooldown is active. */
  public boolean isCoolingDown(String machine, long nowMs) {
    MachineCooldown cooldown = machines.get(machine);
    return cooldown != null && cooldown.isActive(nowMs);
  }

  /**
   * The capacity of a machine that is withheld from borrowers: the capacity reclaimed during the
   * current cooldown for jobs that no longer hold it.
   *
   * @param hasReservation tests whether the job with a given uid holds capacity on the machine or
   *     is about to
   */
  public Resources withheld(String machine, long nowMs, Predicate<String> hasReservation) {
    Resources withheld = Resources.NONE;
    if (isCoolingDown(machine, nowMs)) {
      for (Reclaimed entry : machines.get(machine).reclaimed) {
        if (!hasReservation.test(entry.preemptorUid)) {
          withheld = withheld.plus(entry.resources);
        }
      }
    }
    return withheld;
  }

  /** Removes the reversals that have expired. */
  public void decay(long nowMs) {
    machines.values().removeIf(cooldown -> cooldown.decay(nowMs));
  }
}
