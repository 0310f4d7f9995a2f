package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.QuotaAmount;
import eiderfork.controller.quota.TeamId;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The tasks that are to be stopped right after their next checkpoint. They are hints: nothing was
 * sent for them, and a new leader judges anew.
 */
final class DeferredPreemptions {
  private static final Logger LOG = LoggerFactory.getLogger(DeferredPreemptions.class);

  private record Pending(JobState preemptor, long stopAtMs) {}

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final FreeCapacity capacity;
  private final Map<Reservation, Pending> pending = new LinkedHashMap<>();

  /** Counts the changes of what is pending. */
  private long revision;

  DeferredPreemptions(ControllerContext context, JobRegistry jobs, FreeCapacity capacity) {
    this.context = context;
    this.jobs = jobs;
    this.capacity = capacity;
  }

  void clear() {
    revision++;
    pending.clear();
  }

  /** Has a task stopped for a job once it has written its next checkpoint. */
  void preemptAfterCheckpoint(Reservation victim, JobState preemptor, double checkpointDelayS) {
    revision++;
    pending.put(
        victim, new Pending(preemptor, context.nowMs + Math.round(checkpointDelayS * 1000)));
  }

  /** A task is not to be stopped after all. */
  void cancel(Reservation victim) {
    revision++;
    pending.remove(victim);
  }

  boolean isPending(Reservation victim) {
    return pending.containsKey(victim);
  }

  /** Stays as it is while nothing changes here. */
  long revision() {
    return revision;
  }

  /** What is to be stopped of a team's work. */
  QuotaAmount pendingAmountOf(TeamId team) {
    QuotaAmount sum = QuotaAmount.NONE;
    for (Reservation victim : pending.keySet()) {
      if (victim.job.spec.team().equals(team.name())) {
        sum = sum.plus(amountFreedBy(victim));
      }
    }
    return sum;
  }

  /** What ends with a task: itself, or its whole gang. */
  static QuotaAmount amountFreedBy(Reservation victim) {
    int tasks = victim.job.gang == null ? 1 : victim.job.reservations().size();
    return QuotaAmount.of(victim.job.spec.taskResources()).times(tasks);
  }

  /** Stops what has come to its checkpoint, and drops what nobody waits for any more. */
  void tick() {
    for (Iterator<Map.Entry<Reservation, Pending>> all = pending.entrySet().iterator();
        all.hasNext(); ) {
      Map.Entry<Reservation, Pending> each = all.next();
      Reservation victim = each.getKey();
      Pending plan = each.getValue();
      boolean stands = victim.job.tasks().holds(victim) && victim.isDesired();
      if (!stands
          || plan.preemptor.isTerminal()
          || !capacity.hasClaim(plan.preemptor, victim.machine)) {
        all.remove();
        revision++;
      } else if (context.nowMs >= plan.stopAtMs) {
        all.remove();
        revision++;
        preemptNow(victim, plan.preemptor);
      }
    }
  }

  private void preemptNow(Reservation victim, JobState preemptor) {
    LOG.info(
        "{} has written a checkpoint and ends for {}", victim.toAttempt(), preemptor.spec.uid());
    if (victim.job.gang == null) {
      victim.skipSave();
      victim.requestStop();
    } else {
      victim.job.gang.stopAfterCheckpoint();
    }
    victim.machine.requestCommand();
    jobs.refreshIndexes(victim.job);
  }
}
