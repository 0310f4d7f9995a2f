package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.PreemptionDecision;
import eiderfork.controller.quota.TeamUsage;
import eiderfork.model.Job;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Tells operators what is reclaimed, what is refused and what teams borrow. */
final class QuotaReclaimLog {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaReclaimLog.class);

  private static final long LOG_INTERVAL_MS = 60_000;

  private final ControllerContext context;
  private final Map<PreemptionDecision.Refusal, Long> refusals =
      new EnumMap<>(PreemptionDecision.Refusal.class);
  private long reclaimCount;
  private long nextLogMs;

  QuotaReclaimLog(ControllerContext context) {
    this.context = context;
  }

  void clear() {
    refusals.clear();
    reclaimCount = 0;
  }

  /** A task, or a gang, is reclaimed for a job. */
  void recordReclaim(Job preemptor, PreemptionPolicy.Choice choice) {
    reclaimCount++;
    Job spec = choice.task().job.spec;
    LOG.info(
        "reclaim taker={} taker_team={} victim={} victim_team={} machine={} ground={} mode={}"
            + " delay_s={} lost_s={} cost={}",
        preemptor.uid(),
        preemptor.team(),
        choice.task().toAttempt(),
        spec.team(),
        choice.task().machine.name(),
        choice.reason(),
        choice.plan().mode(),
        "%.1f".formatted(choice.plan().delayS()),
        "%.1f".formatted(choice.plan().lostWorkS()),
        "%.1f".formatted(choice.cost()));
  }

  /** Some work was found that may not be stopped for a job. */
  void recordRefusal(PreemptionDecision.Refusal reason) {
    refusals.merge(reason, 1L, Long::sum);
  }

  /** Once a minute: what each team uses and borrows, and how often what was refused. */
  void logIfDue(Supplier<List<TeamUsage>> accounts) {
    if (context.nowMs < nextLogMs) {
      return;
    }
    nextLogMs = context.nowMs + LOG_INTERVAL_MS;
    for (TeamUsage account : accounts.get()) {
      LOG.info(
          "lending team={} guaranteed_gpus={} used_gpus={} borrowed_gpus={} asked_gpus={}"
              + " lacked_gpus={} used_cpus={} borrowed_cpus={}",
          account.team(),
          account.guarantee().gpus(),
          account.used().gpus(),
          account.borrowed().gpus(),
          account.requested().gpus(),
          account.shortfallWithinGuarantee().gpus(),
          account.used().cpus(),
          account.borrowed().cpus());
    }
    LOG.info("lending reclaims={} refusals={}", reclaimCount, refusals);
    clear();
  }
}
