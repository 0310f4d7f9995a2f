package eiderfork.controller.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.TestFixtures;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineKind;
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

/** On which machines a plan packs tasks, and which machines it rents for them. */
class BinPackingTest {
  private static final MachineType GPU_MACHINE =
      new MachineType("g8", new Resources(40, 8, 400), 50, 2, 20, 8, 4, ImmutableList.of("a"));
  private static final MachineType CPU_MACHINE =
      new MachineType("c8", new Resources(8, 0, 64), 50, 2, 1, 0.4, 4, ImmutableList.of("a"));
  private static final MachineKind GPU_KIND = new MachineKind("g8", "a", false);

  /** Each GPU takes four processors, so eight of a GPU machine's forty are to spare. */
  private static final CpusPerGpu FOUR_CPUS_A_GPU = new CpusPerGpu(4);

  private final Bin gpuBin =
      new Bin(null, GPU_KIND, GPU_MACHINE.capacity(), GPU_MACHINE.capacity());

  private BinPacking packing(MachineType... types) {
    return packing(Set.of(), types);
  }

  private BinPacking packing(Set<MachineKind> overdueKinds, MachineType... types) {
    ControllerContext context =
        new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 1000);
    StoreClient store = new StoreClient(context);
    MachineRegistry fleet =
        new MachineRegistry(context, new JobRegistry(context, store, null, null));
    fleet.updateTypes(ImmutableList.copyOf(types));
    CloudProvisioner cloud = new CloudProvisioner(context, null, store, fleet);
    return new BinPacking(
        context, fleet, cloud, FOUR_CPUS_A_GPU, new ArrayList<>(List.of(gpuBin)), overdueKinds);
  }

  private static Job cpuService(int tasks) {
    return TestFixtures.job(1, JobKind.SERVICE, tasks, 0, "blue", Priority.HIGH, false, false);
  }

  private static int placeAll(BinPacking packing, Job job) {
    return packing.place(job, job.tasks(), new HashMap<>(), job.maxTasksPerZone());
  }

  /** Small services once left up to 94 of 584 GPUs without processors, and arrays waited. */
  @Test
  void tasksWithoutGpusLeaveFreeGpusTheirProcessors() {
    BinPacking packing = packing(GPU_MACHINE, CPU_MACHINE);
    assertEquals(20, placeAll(packing, cpuService(20)));
    assertEquals(32, gpuBin.free().cpus(), "eight were to spare");
    assertEquals(2, packing.binsToRent().size(), "twelve tasks on machines of eight processors");
    assertTrue(packing.binsToRent().stream().allMatch(bin -> bin.kind().type().equals("c8")));
  }

  @Test
  void tasksWithoutGpusUseGpuMachinesWhereNoOtherCanBeRented() {
    BinPacking packing = packing(GPU_MACHINE);
    assertEquals(60, placeAll(packing, cpuService(60)));
    assertEquals(0, gpuBin.free().cpus());
    assertEquals(1, packing.binsToRent().size(), "a further GPU machine for the last twenty");
  }

  @Test
  void processorsBesideGpusInUseAreAvailable() {
    BinPacking packing = packing(GPU_MACHINE, CPU_MACHINE);
    gpuBin.pack(new Resources(20, 8, 200));
    assertEquals(20, placeAll(packing, cpuService(20)));
    assertEquals(List.of(), packing.binsToRent());
  }

  @Test
  void zoneHoldsAtMostTheAllowedTasks() {
    BinPacking packing = packing(GPU_MACHINE, CPU_MACHINE);
    Job spread = TestFixtures.job(1, JobKind.SERVICE, 5, 0, "blue", Priority.HIGH, true, false);
    assertEquals(3, placeAll(packing, spread));
    assertEquals(0, packing.place(spread, 1, new HashMap<>(Map.of("a", 3)), 3));
  }

  private static MachineType cpuMachine(String name, double price, String... zones) {
    ImmutableList<String> where = ImmutableList.copyOf(zones);
    return new MachineType(name, new Resources(8, 0, 64), 50, 2, price, price, 4, where);
  }

  private static List<String> rentedKinds(BinPacking packing) {
    return packing.binsToRent().stream().map(bin -> bin.kind().type() + bin.kind().zone()).toList();
  }

  /** Where half of the machines of a kind are overdue another zone or type takes its place. */
  @Test
  void overdueKindsAreRentedLast() {
    MachineKind overdue = new MachineKind("c8", "a", false);
    MachineType cheap = cpuMachine("c8", 1, "a", "b");
    BinPacking zones = packing(Set.of(overdue), cheap);
    gpuBin.pack(gpuBin.free());
    placeAll(zones, cpuService(24));
    assertEquals(List.of("c8b", "c8b", "c8b"), rentedKinds(zones));
    MachineType other = cpuMachine("d8", 1.5, "a");
    BinPacking types = packing(Set.of(overdue), cpuMachine("c8", 1, "a"), other);
    placeAll(types, cpuService(8));
    assertEquals(List.of("d8a"), rentedKinds(types));
    MachineType dear = cpuMachine("d8", 3, "a");
    BinPacking prices = packing(Set.of(overdue), cpuMachine("c8", 1, "a"), dear);
    placeAll(prices, cpuService(8));
    assertEquals(List.of("c8a"), rentedKinds(prices), "the other costs more than the wait");
  }
}
