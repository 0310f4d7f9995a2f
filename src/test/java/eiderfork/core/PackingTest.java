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
import java.util.Set;
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
    return packing(Set.of(), types);
  }

  private Packing packing(Set<Cloud.Kind> lateKinds, MachineType... types) {
    Context context = new Context(Samples.settings("roost-0"), new Random(1), 1000);
    StateGate gate = new StateGate(context);
    Fleet fleet = new Fleet(context, new JobTable(context, gate, null, null));
    fleet.types(ImmutableList.copyOf(types));
    Cloud cloud = new Cloud(context, null, gate, fleet);
    return new Packing(
        context, fleet, cloud, FOUR_CPUS_A_GPU, new ArrayList<>(List.of(gpuBin)), lateKinds);
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

  private static MachineType cpuMachine(String name, double price, String... zones) {
    ImmutableList<String> where = ImmutableList.copyOf(zones);
    return new MachineType(name, new Resources(8, 0, 64), 50, 2, price, price, 4, where);
  }

  private static List<String> rented(Packing packing) {
    return packing.toRent().stream().map(bin -> bin.kind.type() + bin.kind.zone()).toList();
  }

  /** Where half of the machines of a kind are overdue another zone or type takes its place. */
  @Test
  void kindsThatComeUpLateAreRentedLast() {
    Cloud.Kind late = new Cloud.Kind("c8", "a", false);
    MachineType cheap = cpuMachine("c8", 1, "a", "b");
    Packing zones = packing(Set.of(late), cheap);
    gpuBin.left = Resources.NONE;
    put(zones, cpuService(24));
    assertEquals(List.of("c8b", "c8b", "c8b"), rented(zones));
    MachineType other = cpuMachine("d8", 1.5, "a");
    Packing types = packing(Set.of(late), cpuMachine("c8", 1, "a"), other);
    put(types, cpuService(8));
    assertEquals(List.of("d8a"), rented(types));
    MachineType dear = cpuMachine("d8", 3, "a");
    Packing prices = packing(Set.of(late), cpuMachine("c8", 1, "a"), dear);
    put(prices, cpuService(8));
    assertEquals(List.of("c8a"), rented(prices), "the other costs more than the wait");
  }
}
