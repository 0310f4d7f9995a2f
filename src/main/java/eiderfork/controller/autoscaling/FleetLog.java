package eiderfork.controller.autoscaling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.registry.MachineState;
import eiderfork.controller.store.StoreClient;
import eiderfork.controller.workers.MachineLiveness;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs the aggregate state of the fleet. */
final class FleetLog {
  private static final Logger LOG = LoggerFactory.getLogger(FleetLog.class);

  private final ControllerContext context;
  private final StoreClient store;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private long nextLogMs;

  FleetLog(
      ControllerContext context,
      StoreClient store,
      JobRegistry jobs,
      MachineRegistry fleet,
      MachineLiveness liveness) {
    this.context = context;
    this.store = store;
    this.jobs = jobs;
    this.fleet = fleet;
    this.liveness = liveness;
  }

  /** Logs the free capacity of the fleet and the pending work, once per worker lease. */
  void logIfDue(int examinedMachines, int examinedBins) {
    if (context.nowMs() < nextLogMs) {
      return;
    }
    nextLogMs = context.nowMs() + context.workerLeaseMs();
    logMachines();
    logJobClasses();
    LOG.info("store-writes {}", store.drainWriteWaits());
    LOG.info("machines-examined placement={} plan={}", examinedMachines, examinedBins);
  }

  /** Logs one line per machine type, with spot machines on a line of their own. */
  private void logMachines() {
    Map<String, MachineCounts> countsByType = new TreeMap<>();
    for (MachineState machine : fleet.machines()) {
      if (machine.spec() != null && machine.capacity() != null) {
        String type = "type=" + machine.spec().type() + " spot=" + machine.spec().spot();
        countsByType.computeIfAbsent(type, key -> new MachineCounts()).add(machine);
      }
    }
    if (countsByType.isEmpty()) {
      LOG.info("fleet-machines machines=0");
    }
    countsByType.forEach((type, counts) -> LOG.info("fleet-machines {} {}", type, counts));
  }

  /** Logs one line per job class. */
  private void logJobClasses() {
    Map<String, TaskTotals> totalsByClass = new TreeMap<>();
    for (JobState job : jobs.activeJobs()) {
      totalsByClass.computeIfAbsent(job.spec().jobClass(), key -> new TaskTotals()).add(job);
    }
    totalsByClass.forEach(
        (jobClass, totals) -> LOG.info("fleet-tasks class={} {}", jobClass, totals));
  }

  /** The machine counts of one type. */
  private final class MachineCounts {
    private int machines;
    private int schedulable;
    private int freeGpus;
    private int freeCpus;

    private void add(MachineState machine) {
      machines++;
      schedulable += liveness.isSchedulable(machine) ? 1 : 0;
      freeGpus += (int) Math.max(0, machine.freeCapacity().gpus());
      freeCpus += (int) Math.max(0, machine.freeCapacity().cpus());
    }

    @Override
    public String toString() {
      return "machines="
          + machines
          + " schedulable="
          + schedulable
          + " freeGpus="
          + freeGpus
          + " freeCpus="
          + freeCpus;
    }
  }

  /** The task counts of one job class. */
  private static final class TaskTotals {
    private int reserved;
    private int pending;

    private void add(JobState job) {
      reserved += job.reservations().size();
      pending += job.pendingTaskCount();
    }

    @Override
    public String toString() {
      return "reserved=" + reserved + " pending=" + pending;
    }
  }
}
