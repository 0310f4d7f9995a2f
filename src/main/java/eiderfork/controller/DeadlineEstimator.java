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
  private final Map<String, List<Double>> deadlineFactorsByClass = new HashMap<>();

  DeadlineEstimator(ControllerContext context, MachineRegistry fleet) {
    this.context = context;
    this.fleet = fleet;
  }

  /**
   * The latest moment at which the job may start to meet the strictest of its deadlines that it can
   * still meet; empty where it has none, or can meet none any more.
   */
  OptionalLong latestStartMs(JobState entry) {
    Job job = entry.spec;
    if (job.deadlineS() == null) {
      return OptionalLong.empty();
    }
    for (double times : deadlineFactors(job)) {
      long latestMs = deadlineMs(entry, times) - toMs(job.estimatedRunS() + longestFetchS(job));
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
  boolean hasNoTimeForRerun(JobState job) {
    OptionalLong latestMs = latestStartMs(job);
    return latestMs.isPresent()
        && latestMs.getAsLong() - context.nowMs < toMs(job.spec.estimatedRunS());
  }

  /** Whether a running task is in time as it is, and would not be if it were run again from now. */
  boolean isLateIfRerun(Reservation reservation) {
    Job job = reservation.job.spec;
    if (job.deadlineS() == null) {
      return false;
    }
    for (double times : deadlineFactors(job)) {
      long leftMs = deadlineMs(reservation.job, times) - toMs(job.estimatedRunS());
      if (reservation.runningSinceMs() <= leftMs) {
        return context.nowMs > leftMs;
      }
    }
    return false;
  }

  private List<Double> deadlineFactors(Job job) {
    return deadlineFactorsByClass.computeIfAbsent(
        job.jobClass(), context.settings::deadlineFactors);
  }

  private static long deadlineMs(JobState job, double times) {
    return job.firstSeenMs + toMs(times * job.spec.deadlineS());
  }

  /** How long the job's image takes on the slowest machine that it may run on. */
  private double longestFetchS(Job job) {
    double fetchS = 0;
    for (MachineType type : fleet.types().values()) {
      if (job.allowsType(type.name()) && job.taskResources().fitsIn(type.capacity())) {
        fetchS = Math.max(fetchS, job.imageGb() / type.imageFetchGbPerS());
      }
    }
    return fetchS;
  }

  private static long toMs(double seconds) {
    return (long) (seconds * 1000);
  }
}
