package eiderfork.controller.autoscaling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How many tasks of services to keep free capacity for, by the arrivals of each job class within
 * the time that a machine takes to boot.
 */
final class ArrivalForecast {
  /** The time constant of the decaying memory of arrivals, in boot times. */
  private static final double MEMORY_BOOTS = 2;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final Map<String, ClassArrivals> arrivalsByClass = new LinkedHashMap<>();
  private long observedSinceMs;

  ArrivalForecast(ControllerContext context, MachineRegistry fleet) {
    this.context = context;
    this.fleet = fleet;
  }

  /** The arrivals of a job class; what is longer ago counts less. */
  private static final class ClassArrivals {
    private Job sampleJob;

    /** The decaying sum of the squares of the jobs' sizes. */
    private double squaredTasks;

    private long updatedMs;

    void add(Job job) {
      sampleJob = job;
      squaredTasks += (double) job.tasks() * job.tasks();
    }

    void decay(long nowMs, double memoryMs) {
      if (memoryMs > 0) {
        squaredTasks *= Math.exp(-(nowMs - updatedMs) / memoryMs);
        updatedMs = nowMs;
      }
    }
  }

  /** Takes so many tasks like those of a job. */
  interface HeadroomConsumer {
    /** Takes the tasks. */
    void accept(Job sampleJob, int tasks);
  }

  /** Begins anew, for a new term. */
  void reset() {
    arrivalsByClass.clear();
    observedSinceMs = context.nowMs();
  }

  /** A job was submitted. */
  void recordArrival(Job job) {
    ClassArrivals arrivals =
        arrivalsByClass.computeIfAbsent(job.jobClass(), k -> new ClassArrivals());
    arrivals.decay(context.nowMs(), fleet.longestBootMs(job) * MEMORY_BOOTS);
    arrivals.add(job);
  }

  /** Shows for each job class how many tasks to keep free capacity for. */
  void forEachClass(HeadroomConsumer consumer) {
    for (ClassArrivals arrivals : arrivalsByClass.values()) {
      consumer.accept(arrivals.sampleJob, headroomTasks(arrivals));
    }
  }

  /**
   * The standard deviation of the arrivals in a boot time, times what the operators set. Jobs
   * arrive independently and each with all of its tasks at once, so the variance is the sum of the
   * squares of their sizes.
   */
  private int headroomTasks(ClassArrivals arrivals) {
    double bootMs = fleet.longestBootMs(arrivals.sampleJob);
    if (arrivals.sampleJob.kind() != JobKind.SERVICE || bootMs <= 0) {
      return 0;
    }
    double memoryMs = bootMs * MEMORY_BOOTS;
    arrivals.decay(context.nowMs(), memoryMs);
    double observedMs = Math.max(bootMs, context.nowMs() - observedSinceMs);
    double weightMs = memoryMs * (1 - Math.exp(-observedMs / memoryMs));
    double variance = arrivals.squaredTasks / weightMs * bootMs;
    double deviations = context.settings.operator().headroomDeviations();
    return (int) Math.round(deviations * Math.sqrt(2 * variance));
  }
}
