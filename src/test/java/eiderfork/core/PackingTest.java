package eiderfork.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.core.context.Context;
import eiderfork.core.state.StateGate;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Onto which machines a plan puts tasks, and which machines it wants to rent for them. */
class PackingTest {
  private static final MachineType GPU_MACHINE =
      new MachineType("g8", new Resources(40, 8, 400), 50, 2, 20, 8, 4, ImmutableList.of("a"));
  private static final MachineType CPU_MACHINE =
      new MachineType("c8", new Resources(8, 0, 64), 50, 2, 1, 0.4, 4, ImmutableList.of("a"));
  private static final Cloud.Kind GPU_KIND = new Cloud.Kind("g8", "a", false);

  /** Each GPU takes four processors, so eight of a GPU machine's forty are to spare. */
  private static final GpuBalance FOUR_CPUS_A_GPU = new GpuBalance(4);

  private final Bin gpuBin = new Bin(null, GPU_KIND, GPU_MACHINE.room(), GPU_MACHINE.room());

  private Packing packing(MachineType... types) {
    Context context = new Context(Samples.settings("roost-0"), new Random(1), 1000);
    StateGate gate = new StateGate(context);
    Fleet fleet = new Fleet(context, new JobTable(context, gate, null, null));
    fleet.types(ImmutableList.copyOf(types));
    Cloud cloud = new Cloud(context, null, gate, fleet);
    return new Packing(context, fleet, cloud, FOUR_CPUS_A_GPU, new ArrayList<>(List.of(gpuBin)));
  }

  private static Job cpuService(int tasks) {
    return Samples.job(1, JobKind.SERVICE, tasks, 0, "blue", Priority.HIGH, false, false);
  }

  private static int put(Packing packing, Job job) {
    return packing.put(job, job.tasks(), new HashMap<>(), job.perZone());
  }

  /** Small services once left up to 94 of 584 GPUs without processors, and arrays waited. */
  @Test
  void tasksWithoutGpusLeaveFreeGpusTheirProcessors() {
    Packing packing = packing(GPU_MACHINE, CPU_MACHINE);
    assertEquals(20, put(packing, cpuService(20)));
    assertEquals(32, gpuBin.left.cpus(), "eight were to spare");
    assertEquals(2, packing.toRent().size(), "twelve tasks on machines of eight processors");
    assertTrue(packing.toRent().stream().allMatch(bin -> bin.kind.type().equals("c8")));
  }

  @Test
  void tasksWithoutGpusTakeWhatThereIsWhereNoOtherMachineCanBeHad() {
    Packing packing = packing(GPU_MACHINE);
    assertEquals(60, put(packing, cpuService(60)));
    assertEquals(0, gpuBin.left.cpus());
    assertEquals(1, packing.toRent().size(), "a further GPU machine for the last twenty");
  }

  @Test
  void processorsBesideGpusInUseAreFree() {
    Packing packing = packing(GPU_MACHINE, CPU_MACHINE);
    gpuBin.left = new Resources(20, 0, 200);
    assertEquals(20, put(packing, cpuService(20)));
    assertEquals(List.of(), packing.toRent());
  }

  @Test
  void aZoneTakesNoMoreThanItMay() {
    Packing packing = packing(GPU_MACHINE, CPU_MACHINE);
    Job spread = Samples.job(1, JobKind.SERVICE, 5, 0, "blue", Priority.HIGH, true, false);
    assertEquals(3, put(packing, spread));
    assertEquals(0, packing.put(spread, 1, new HashMap<>(Map.of("a", 3)), 3));
  }
}
