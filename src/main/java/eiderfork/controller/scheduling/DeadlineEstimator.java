package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.Reservation;
import eiderfork.model.Job;
import eiderfork.model.MachineType;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Estimates which deadlines jobs can still meet, from their owners' estimates of the run and from
 * the image fetch.
 *
 * <p>Time counts from when this leader learned of the job: a moment after its submission or, after
 * a failover, later. So the estimates may order jobs, and must not decide whether one runs.
 */
final class DeadlineEstimator {
  private final ControllerContext context;
  private final MachineRegistry fleet;

  /** The multiples of their deadline that have an objective, by job class. */
  private final Map<String, List<Double>> deadlineFactorsByClass = new HashMap<>();

  DeadlineEstimator(ControllerContext context, MachineRegistry fleet) {
    this.context = context;
    this.fleet = fleet;
  }

  /**
   * The latest time at which the job may start to meet the strictest of its deadlines that it still
   * can; empty where it has none, or can't meet any.
   */
  OptionalLong latestStartMs(JobState job) {
    Job spec = job.spec();
    if (spec.deadlineS() == null) {
      return OptionalLong.empty();
    }
    for (double factor : deadlineFactors(spec)) {
      long latestMs = deadlineMs(job, factor) - toMs(spec.estimatedRunS() + longestFetchS(spec));
      if (latestMs >= context.nowMs()) {
        return OptionalLong.of(latestMs);
      }
    }
    return OptionalLong.empty();
  }

  /**
   * Whether a task of the job that starts now and is lost can't be run again in time. Such work
   * belongs on machines that the cloud does not take back.
   */
  boolean hasNoTimeForRerun(JobState job) {
    OptionalLong latestMs = latestStartMs(job);
    return latestMs.isPresent()
        && latestMs.getAsLong() - context.nowMs() < toMs(job.spec().estimatedRunS());
  }

  /** Whether a running task meets a deadline, and would not if it were run again from now. */
  boolean isLateIfRerun(Reservation reservation) {
    Job spec = reservation.job().spec();
    if (spec.deadlineS() == null) {
      return false;
    }
    for (double factor : deadlineFactors(spec)) {
      long latestStartMs = deadlineMs(reservation.job(), factor) - toMs(spec.estimatedRunS());
      if (reservation.runningSinceMs() <= latestStartMs) {
        return context.nowMs() > latestStartMs;
      }
    }
    return false;
  }

  private List<Double> deadlineFactors(Job spec) {
    return deadlineFactorsByClass.computeIfAbsent(
        spec.jobClass(), context.settings::deadlineFactors);
  }

  private static long deadlineMs(JobState job, double factor) {
    return job.firstSeenMs() + toMs(factor * job.spec().deadlineS());
  }

  /** How long the image fetch takes on the slowest machine type that the job may use. */
  private double longestFetchS(Job spec) {
    double longestS = 0;
    for (MachineType type : fleet.types().values()) {
      if (spec.allowsType(type.name()) && spec.taskResources().fitsIn(type.capacity())) {
        longestS = Math.max(longestS, spec.imageGb() / type.imageFetchGbPerS());
      }
    }
    return longestS;
  }

  private static long toMs(double seconds) {
    return (long) (seconds * 1000);
  }
}
