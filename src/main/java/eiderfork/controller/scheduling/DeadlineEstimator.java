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
 * Estimates which deadlines jobs can still meet, from the run time estimates of their owners and
 * the image fetch time.
 *
 * <p>Time counts from when this leader first saw the job, which is shortly after its submission or,
 * after a failover, later. The estimates may therefore order jobs but must not decide whether a job
 * runs.
 */
final class DeadlineEstimator {
  private final ControllerContext context;
  private final MachineRegistry fleet;

  /** The multiples of the deadline that have an objective, by job class. */
  private final Map<String, List<Double>> deadlineFactorsByClass = new HashMap<>();

  DeadlineEstimator(ControllerContext context, MachineRegistry fleet) {
    this.context = context;
    this.fleet = fleet;
  }

  /**
   * Returns the latest start time with which the job meets the strictest deadline that it still
   * can; empty if it has no deadline or can't meet any.
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
   * Returns whether a task of the job that starts now and is lost can't be rerun in time. Such jobs
   * belong on machines that the cloud does not reclaim.
   */
  boolean hasNoTimeForRerun(JobState job) {
    OptionalLong latestMs = latestStartMs(job);
    return latestMs.isPresent()
        && latestMs.getAsLong() - context.nowMs() < toMs(job.spec().estimatedRunS());
  }

  /**
   * Returns whether a running task meets a deadline that it would miss if it were rerun from now.
   */
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

  /** Returns the image fetch time on the slowest machine type that the job may use. */
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
