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

  private static final long INTERVAL_MS = 60_000;

  private final ControllerContext context;
  private final Map<PreemptionDecision.Refusal, Long> refusals =
      new EnumMap<>(PreemptionDecision.Refusal.class);
  private long reclaims;
  private long nextMs;

  QuotaReclaimLog(ControllerContext context) {
    this.context = context;
  }

  void clear() {
    refusals.clear();
    reclaims = 0;
  }

  /** A task, or a gang, is reclaimed for a job. */
  void reclaimed(Job taker, PreemptionPolicy.Choice choice) {
    reclaims++;
    Job its = choice.task().job.job;
    LOG.info(
        "reclaim taker={} taker_team={} victim={} victim_team={} machine={} ground={} mode={}"
            + " delay_s={} lost_s={} cost={}",
        taker.uid(),
        taker.team(),
        choice.task().id(),
        its.team(),
        choice.task().machine.name,
        choice.ground(),
        choice.plan().mode(),
        "%.1f".formatted(choice.plan().delayS()),
        "%.1f".formatted(choice.plan().lostS()),
        "%.1f".formatted(choice.loss()));
  }

  /** Some work was found that may not be stopped for a job. */
  void refused(PreemptionDecision.Refusal reason) {
    refusals.merge(reason, 1L, Long::sum);
  }

  /** Once a minute: what each team uses and borrows, and how often what was refused. */
  void tell(Supplier<List<TeamUsage>> accounts) {
    if (context.nowMs < nextMs) {
      return;
    }
    nextMs = context.nowMs + INTERVAL_MS;
    for (TeamUsage account : accounts.get()) {
      LOG.info(
          "lending team={} guaranteed_gpus={} used_gpus={} borrowed_gpus={} asked_gpus={}"
              + " lacked_gpus={} used_cpus={} borrowed_cpus={}",
          account.team(),
          account.guarantee().gpus(),
          account.used().gpus(),
          account.borrowed().gpus(),
          account.asked().gpus(),
          account.lackedWithinGuarantee().gpus(),
          account.used().cpus(),
          account.borrowed().cpus());
    }
    LOG.info("lending reclaims={} refusals={}", reclaims, refusals);
    clear();
  }
}
