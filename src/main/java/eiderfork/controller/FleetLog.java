package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.store.StoreClient;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Log lines that tell of the fleet as a whole. */
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

  /** Says now and then how full the fleet is and who waits, so that a log can be read later. */
  void logIfDue(int placementExamined, int planExamined) {
    if (context.nowMs < nextLogMs) {
      return;
    }
    nextLogMs = context.nowMs + context.workerLeaseMs();
    Map<String, int[]> kinds = new TreeMap<>();
    for (MachineState machine : fleet.machines()) {
      if (machine.spec() == null || machine.capacity() == null) {
        continue;
      }
      int[] n =
          kinds.computeIfAbsent(
              machine.spec().type() + (machine.spec().spot() ? " spot" : ""), k -> new int[4]);
      n[0]++;
      n[1] += liveness.isSchedulable(machine) ? 1 : 0;
      n[2] += (int) (machine.freeCapacity().gpus() > 0 ? machine.freeCapacity().gpus() : 0);
      n[3] += (int) (machine.freeCapacity().cpus() > 0 ? machine.freeCapacity().cpus() : 0);
    }
    Map<String, int[]> classes = new TreeMap<>();
    for (JobState job : jobs.activeJobs()) {
      int[] n = classes.computeIfAbsent(job.spec.jobClass(), k -> new int[2]);
      n[0] += job.reservations().size();
      n[1] += job.pendingTaskCount();
    }
    StringBuilder text = new StringBuilder();
    kinds.forEach(
        (kind, n) ->
            text.append(kind)
                .append(" ")
                .append(n[0])
                .append(" (")
                .append(n[1])
                .append(" usable, free gpus ")
                .append(n[2])
                .append(" cpus ")
                .append(n[3])
                .append("), "));
    classes.forEach(
        (name, n) ->
            text.append(name).append(" ").append(n[0]).append("+").append(n[1]).append(" "));
    LOG.info("fleet: {}", text);
    LOG.info("writes that went out: {}", store.drainWriteWaits());
    LOG.info("looked at machines {} times to place, {} to plan", placementExamined, planExamined);
  }
}
