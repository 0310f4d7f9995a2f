package eiderfork.controller.scheduling;

import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the preemptions of all policies in the same format. */
final class PreemptionLog {
  private static final Logger LOG = LoggerFactory.getLogger(PreemptionLog.class);

  private PreemptionLog() {}

  /** Logs that a task, or a gang represented by one of its tasks, is preempted for a job. */
  static void logVictim(Job preemptor, PreemptionPolicy.TaskPreemption preemption) {
    Reservation victim = preemption.task();
    LOG.info(
        "preemption preemptor={} preemptorTeam={} victim={} attempt={} victimTeam={} machine={}"
            + " reason={} mode={} delayS={} lostWorkS={} cost={}",
        preemptor.uid(),
        preemptor.team(),
        victim.toAttempt().task(),
        victim.attempt(),
        victim.job().spec().team(),
        victim.machine().name(),
        preemption.reason(),
        preemption.plan().mode(),
        oneDecimal(preemption.plan().delayS()),
        oneDecimal(preemption.plan().lostWorkS()),
        oneDecimal(preemption.cost()));
  }

  private static String oneDecimal(double value) {
    return "%.1f".formatted(value);
  }
}
