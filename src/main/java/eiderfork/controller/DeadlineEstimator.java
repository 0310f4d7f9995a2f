package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.model.Job;
import eiderfork.model.MachineType;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Which deadlines jobs can still meet, by their owners' estimates of the run and by the image.
 *
 * <p>The time counts from when this leader learned of the job, which is a moment after its
 * submission or, after a takeover, later; that makes the order a hint and decides no rule.
 */
final class DeadlineEstimator {
  private final ControllerContext context;
  private final MachineRegistry fleet;

  /** How many times their deadline jobs of a class may take; looked up once. */
  private final Map<String, List<Double>> timesByClass = new HashMap<>();

  DeadlineEstimator(ControllerContext context, MachineRegistry fleet) {
    this.context = context;
    this.fleet = fleet;
  }

  /**
   * The latest moment at which the job may start to meet the strictest of its deadlines that it can
   * still meet; empty where it has none, or can meet none any more.
   */
  OptionalLong latestStartMs(JobState entry) {
    Job job = entry.job;
    if (job.deadlineS() == null) {
      return OptionalLong.empty();
    }
    for (double times : times(job)) {
      long latestMs = endMs(entry, times) - toMs(job.estimateS() + fetchS(job));
      if (latestMs >= context.nowMs) {
        return OptionalLong.of(latestMs);
      }
    }
    return OptionalLong.empty();
  }

  /**
   * Whether a task of the job that starts now and is lost on its way can't be run again in time:
   * such work belongs on machines that are not taken back.
   */
  boolean leavesNoSecondRun(JobState entry) {
    OptionalLong latestMs = latestStartMs(entry);
    return latestMs.isPresent()
        && latestMs.getAsLong() - context.nowMs < toMs(entry.job.estimateS());
  }

  /** Whether a running task is in time as it is, and would not be if it were run again from now. */
  boolean lateIfRunAgain(Reservation p) {
    Job job = p.job.job;
    if (job.deadlineS() == null) {
      return false;
    }
    for (double times : times(job)) {
      long leftMs = endMs(p.job, times) - toMs(job.estimateS());
      if (p.runningSinceMs <= leftMs) {
        return context.nowMs > leftMs;
      }
    }
    return false;
  }

  private List<Double> times(Job job) {
    return timesByClass.computeIfAbsent(job.jobClass(), context.settings::deadlineTimes);
  }

  private static long endMs(JobState entry, double times) {
    return entry.sinceMs + toMs(times * entry.job.deadlineS());
  }

  /** How long the job's image takes on the slowest machine that it may run on. */
  private double fetchS(Job job) {
    double fetchS = 0;
    for (MachineType type : fleet.types().values()) {
      if (job.allowsType(type.name()) && job.need().fitsIn(type.room())) {
        fetchS = Math.max(fetchS, job.imageGb() / type.fetchGbPerS());
      }
    }
    return fetchS;
  }

  private static long toMs(double seconds) {
    return (long) (seconds * 1000);
  }
}
