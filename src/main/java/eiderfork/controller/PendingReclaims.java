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
final class PendingReclaims {
  private static final Logger LOG = LoggerFactory.getLogger(PendingReclaims.class);

  private record Pending(JobState taker, long stopAtMs) {}

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final FreeCapacity room;
  private final Map<Reservation, Pending> pending = new LinkedHashMap<>();

  /** Counts the changes of what is pending. */
  private long changes;

  PendingReclaims(ControllerContext context, JobRegistry jobs, FreeCapacity room) {
    this.context = context;
    this.jobs = jobs;
    this.room = room;
  }

  void clear() {
    changes++;
    pending.clear();
  }

  /** Has a task stopped for a job once it has written its next checkpoint. */
  void stopLater(Reservation victim, JobState taker, double delayS) {
    changes++;
    pending.put(victim, new Pending(taker, context.nowMs + Math.round(delayS * 1000)));
  }

  /** A task is not to be stopped after all. */
  void cancel(Reservation victim) {
    changes++;
    pending.remove(victim);
  }

  boolean isPending(Reservation victim) {
    return pending.containsKey(victim);
  }

  /** Stays as it is while nothing changes here. */
  long changes() {
    return changes;
  }

  /** What is to be stopped of a team's work. */
  QuotaAmount of(TeamId team) {
    QuotaAmount sum = QuotaAmount.NONE;
    for (Reservation victim : pending.keySet()) {
      if (victim.job.job.team().equals(team.name())) {
        sum = sum.plus(amount(victim));
      }
    }
    return sum;
  }

  /** What ends with a task: itself, or its whole gang. */
  static QuotaAmount amount(Reservation victim) {
    int tasks = victim.job.gang == null ? 1 : victim.job.placed.size();
    return QuotaAmount.of(victim.job.job.need()).times(tasks);
  }

  /** Stops what has come to its checkpoint, and drops what nobody waits for any more. */
  void tick() {
    for (Iterator<Map.Entry<Reservation, Pending>> all = pending.entrySet().iterator();
        all.hasNext(); ) {
      Map.Entry<Reservation, Pending> each = all.next();
      Reservation victim = each.getKey();
      Pending plan = each.getValue();
      boolean stands = victim.job.placed.get(victim.index) == victim && victim.wanted();
      if (!stands || plan.taker.over() || !room.hasClaim(plan.taker, victim.machine)) {
        all.remove();
        changes++;
      } else if (context.nowMs >= plan.stopAtMs) {
        all.remove();
        changes++;
        stopNow(victim, plan.taker);
      }
    }
  }

  private void stopNow(Reservation victim, JobState taker) {
    LOG.info("{} has written a checkpoint and ends for {}", victim.id(), taker.job.uid());
    if (victim.job.gang == null) {
      victim.endWithoutSave();
      victim.stop();
    } else {
      victim.job.gang.endAfterCheckpoint();
    }
    victim.machine.setUrgent();
    jobs.changed(victim.job);
  }
}
