package eiderfork.controller.autoscaling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Forecasts the headroom for services: the number of tasks of each job class to keep capacity free
 * for, from the variance of its arrivals within the time that a machine takes to boot.
 */
final class ArrivalForecast {
  /** The time constant of the exponential decay of past arrivals, in boot times. */
  private static final double DECAY_TIME_BOOTS = 2;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final Map<String, ClassArrivals> arrivalsByClass = new LinkedHashMap<>();
  private long observedSinceMs;

  ArrivalForecast(ControllerContext context, MachineRegistry fleet) {
    this.context = context;
    this.fleet = fleet;
  }

  /** The arrivals of a job class, with weights that decay exponentially with their age. */
  private static final class ClassArrivals {
    private Job sampleJob;

    /** The decayed sum of the squared task counts of the jobs. */
    private double decayedSquareSum;

    private long updatedMs;

    void add(Job job) {
      sampleJob = job;
      decayedSquareSum += (double) job.tasks() * job.tasks();
    }

    void decay(long nowMs, double decayTimeMs) {
      if (decayTimeMs > 0) {
        decayedSquareSum *= Math.exp(-(nowMs - updatedMs) / decayTimeMs);
        updatedMs = nowMs;
      }
    }
  }

  /** Receives the headroom of one job class. */
  interface HeadroomConsumer {
    /** Accepts the headroom as a number of tasks like those of {@code sampleJob}. */
    void accept(Job sampleJob, int tasks);
  }

  /** Discards all recorded arrivals at the start of a term. */
  void reset() {
    arrivalsByClass.clear();
    observedSinceMs = context.nowMs();
  }

  /** Records the submission of a job. */
  void recordArrival(Job job) {
    ClassArrivals arrivals =
        arrivalsByClass.computeIfAbsent(job.jobClass(), k -> new ClassArrivals());
    arrivals.decay(context.nowMs(), fleet.longestBootMs(job) * DECAY_TIME_BOOTS);
    arrivals.add(job);
  }

  /** Passes the headroom of each job class to the consumer. */
  void forEachJobClass(HeadroomConsumer consumer) {
    for (ClassArrivals arrivals : arrivalsByClass.values()) {
      consumer.accept(arrivals.sampleJob, headroomTasks(arrivals));
    }
  }

  /**
   * Returns the headroom of a job class: the standard deviation of its arrivals in a boot time,
   * times the configured number of deviations. Jobs arrive independently of each other and submit
   * all of their tasks at once, so the variance is the sum of their squared task counts.
   */
  private int headroomTasks(ClassArrivals arrivals) {
    double bootMs = fleet.longestBootMs(arrivals.sampleJob);
    if (arrivals.sampleJob.kind() != JobKind.SERVICE || bootMs <= 0) {
      return 0;
    }
    double decayTimeMs = bootMs * DECAY_TIME_BOOTS;
    arrivals.decay(context.nowMs(), decayTimeMs);
    double observedMs = Math.max(bootMs, context.nowMs() - observedSinceMs);
    double effectiveWindowMs = decayTimeMs * (1 - Math.exp(-observedMs / decayTimeMs));
    double variance = arrivals.decayedSquareSum / effectiveWindowMs * bootMs;
    double deviations = context.settings.operator().headroomDeviations();
    return (int) Math.round(deviations * Math.sqrt(2 * variance));
  }
}
