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
  private final StoreClient gate;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private long nextMs;

  FleetLog(
      ControllerContext context,
      StoreClient gate,
      JobRegistry jobs,
      MachineRegistry fleet,
      MachineLiveness liveness) {
    this.context = context;
    this.gate = gate;
    this.jobs = jobs;
    this.fleet = fleet;
    this.liveness = liveness;
  }

  /** Says now and then how full the fleet is and who waits, so that a log can be read later. */
  void tell(int placementExamined, int planExamined) {
    if (context.nowMs < nextMs) {
      return;
    }
    nextMs = context.nowMs + context.leaseMs();
    Map<String, int[]> kinds = new TreeMap<>();
    for (MachineState m : fleet.machines()) {
      if (m.machine == null || m.room == null) {
        continue;
      }
      int[] n =
          kinds.computeIfAbsent(
              m.machine.type() + (m.machine.spot() ? " spot" : ""), k -> new int[4]);
      n[0]++;
      n[1] += liveness.usable(m) ? 1 : 0;
      n[2] += (int) (m.free().gpus() > 0 ? m.free().gpus() : 0);
      n[3] += (int) (m.free().cpus() > 0 ? m.free().cpus() : 0);
    }
    Map<String, int[]> classes = new TreeMap<>();
    for (JobState entry : jobs.active()) {
      int[] n = classes.computeIfAbsent(entry.job.jobClass(), k -> new int[2]);
      n[0] += entry.placed.size();
      n[1] += entry.waiting.cardinality();
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
    LOG.info("writes that went out: {}", gate.tellWaits());
    LOG.info("looked at machines {} times to place, {} to plan", placementExamined, planExamined);
  }
}
