package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.QuotaAmount;
import eiderfork.controller.quota.TeamId;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.Reservation;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tasks to preempt right after their next checkpoint. Pending preemptions are neither sent nor
 * stored; a new leader makes its own decisions.
 */
final class DeferredPreemptions {
  private static final Logger LOG = LoggerFactory.getLogger(DeferredPreemptions.class);

  private record Pending(JobState preemptor, long dueMs) {}

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final FreeCapacity capacity;
  private final Map<Reservation, Pending> pendingByVictim = new LinkedHashMap<>();
  private long revision;

  DeferredPreemptions(ControllerContext context, JobRegistry jobs, FreeCapacity capacity) {
    this.context = context;
    this.jobs = jobs;
    this.capacity = capacity;
  }

  /** Discards the pending preemptions of the previous leadership term. */
  void clear() {
    revision++;
    pendingByVictim.clear();
  }

  /** Schedules the preemption of a task after its next checkpoint. */
  void preemptAfterCheckpoint(Reservation victim, JobState preemptor, double checkpointDelayS) {
    revision++;
    long dueMs = context.nowMs() + Math.round(checkpointDelayS * 1000);
    pendingByVictim.put(victim, new Pending(preemptor, dueMs));
  }

  /** Cancels the pending preemption of a task. */
  void cancel(Reservation victim) {
    revision++;
    pendingByVictim.remove(victim);
  }

  /** Returns whether a task is to be preempted after its next checkpoint. */
  boolean isPending(Reservation victim) {
    return pendingByVictim.containsKey(victim);
  }

  /** Returns a counter that increases whenever the pending preemptions change. */
  long revision() {
    return revision;
  }

  /** Returns the part of a team's usage that pending preemptions will free. */
  QuotaAmount pendingAmountOf(TeamId team) {
    QuotaAmount sum = QuotaAmount.NONE;
    for (Reservation victim : pendingByVictim.keySet()) {
      if (victim.job().spec().team().equals(team.name())) {
        sum = sum.plus(amountFreedBy(victim));
      }
    }
    return sum;
  }

  /** Returns the usage that ends when a task is preempted: its own, or that of its whole gang. */
  static QuotaAmount amountFreedBy(Reservation victim) {
    int tasks = victim.job().gang() == null ? 1 : victim.job().reservations().size();
    return QuotaAmount.of(victim.job().spec().taskResources()).times(tasks);
  }

  /**
   * Preempts the tasks whose checkpoint is due and drops preemptions that no job needs any more.
   */
  void tick() {
    for (Iterator<Map.Entry<Reservation, Pending>> entries = pendingByVictim.entrySet().iterator();
        entries.hasNext(); ) {
      Map.Entry<Reservation, Pending> entry = entries.next();
      Reservation victim = entry.getKey();
      Pending pending = entry.getValue();
      if (!isStillNeeded(victim, pending.preemptor)) {
        entries.remove();
        revision++;
      } else if (context.nowMs() >= pending.dueMs) {
        entries.remove();
        revision++;
        preemptNow(victim, pending.preemptor);
      }
    }
  }

  private boolean isStillNeeded(Reservation victim, JobState preemptor) {
    boolean isCurrent =
        victim.job().reservations().get(victim.taskIndex()) == victim && victim.isDesired();
    return isCurrent && !preemptor.isTerminal() && capacity.hasClaim(preemptor, victim.machine());
  }

  private void preemptNow(Reservation victim, JobState preemptor) {
    LOG.info(
        "deferred-preemption victim={} attempt={} machine={} preemptor={}",
        victim.toAttempt().task(),
        victim.attempt(),
        victim.machine().name(),
        preemptor.spec().uid());
    if (victim.job().gang() == null) {
      victim.skipSave();
      victim.requestStop();
    } else {
      victim.job().gang().stopAfterCheckpoint();
    }
    victim.machine().requestCommand();
    jobs.refreshIndexes(victim.job());
  }
}
