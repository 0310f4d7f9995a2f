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

/** Tests which machines tasks are packed onto, and which machines are rented for them. */
class BinPackingTest {
  private static final MachineType GPU_MACHINE =
      new MachineType("g8", new Resources(40, 8, 400), 50, 2, 20, 8, 4, ImmutableList.of("a"));
  private static final MachineType CPU_MACHINE =
      new MachineType("c8", new Resources(8, 0, 64), 50, 2, 1, 0.4, 4, ImmutableList.of("a"));
  private static final MachineKind GPU_KIND = new MachineKind("g8", "a", false);

  /** With four CPUs per GPU, a GPU machine can spare 8 of its 40 CPUs. */
  private static final CpusPerGpu FOUR_CPUS_PER_GPU = new CpusPerGpu(4);

  private final Bin gpuBin =
      new Bin(null, GPU_KIND, GPU_MACHINE.capacity(), GPU_MACHINE.capacity());

  private BinPacking packing(MachineType... types) {
    return packing(Set.of(), types);
  }

  private BinPacking packing(Set<MachineKind> lateKinds, MachineType... types) {
    ControllerContext context =
        new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 1000);
    StoreClient store = new StoreClient(context);
    MachineRegistry fleet =
        new MachineRegistry(context, new JobRegistry(context, store, null, null));
    fleet.updateTypes(ImmutableList.copyOf(types));
    CloudProvisioner cloud = new CloudProvisioner(context, null, store, fleet);
    return new BinPacking(
        context, fleet, cloud, FOUR_CPUS_PER_GPU, new ArrayList<>(List.of(gpuBin)), lateKinds);
  }

  private static Job cpuService(int tasks) {
    return TestFixtures.job(1, JobKind.SERVICE, tasks, 0, "blue", Priority.HIGH, false, false);
  }

  private static int packAll(BinPacking packing, Job job) {
    return packing.packTasks(job, job.tasks(), new HashMap<>(), job.maxTasksPerZone());
  }

  /**
   * Guards against small services that use up the CPUs of GPU machines. This left up to 94 of 584
   * GPUs without CPUs, so that arrays stayed pending.
   */
  @Test
  void tasksWithoutGpusLeaveFreeGpusTheirCpus() {
    BinPacking packing = packing(GPU_MACHINE, CPU_MACHINE);
    assertEquals(20, packAll(packing, cpuService(20)));
    assertEquals(32, gpuBin.free().cpus(), "8 CPUs could be spared");
    assertEquals(
        2, packing.binsToRent().size(), "12 tasks with 1 CPU each on machines with 8 CPUs");
    assertTrue(packing.binsToRent().stream().allMatch(bin -> bin.kind().type().equals("c8")));
  }

  @Test
  void tasksWithoutGpusUseGpuMachinesWhereNoOtherCanBeRented() {
    BinPacking packing = packing(GPU_MACHINE);
    assertEquals(60, packAll(packing, cpuService(60)));
    assertEquals(0, gpuBin.free().cpus());
    assertEquals(1, packing.binsToRent().size(), "one more GPU machine for the last 20 tasks");
  }

  @Test
  void cpusBesideGpusInUseAreAvailable() {
    BinPacking packing = packing(GPU_MACHINE, CPU_MACHINE);
    gpuBin.pack(new Resources(20, 8, 200));
    assertEquals(20, packAll(packing, cpuService(20)));
    assertEquals(List.of(), packing.binsToRent());
  }

  @Test
  void zoneHoldsAtMostTheAllowedTasks() {
    BinPacking packing = packing(GPU_MACHINE, CPU_MACHINE);
    Job spread = TestFixtures.job(1, JobKind.SERVICE, 5, 0, "blue", Priority.HIGH, true, false);
    assertEquals(3, packAll(packing, spread));
    assertEquals(0, packing.packTasks(spread, 1, new HashMap<>(Map.of("a", 3)), 3));
  }

  private static MachineType cpuMachine(String name, double price, String... zones) {
    ImmutableList<String> zoneList = ImmutableList.copyOf(zones);
    return new MachineType(name, new Resources(8, 0, 64), 50, 2, price, price, 4, zoneList);
  }

  private static List<String> rentedKinds(BinPacking packing) {
    return packing.binsToRent().stream().map(bin -> bin.kind().type() + bin.kind().zone()).toList();
  }

  /**
   * A kind of which half of the machines boot late is replaced by the same type in another zone, or
   * by another type if that is cheap enough.
   */
  @Test
  void lateKindsAreRentedLast() {
    MachineKind lateKind = new MachineKind("c8", "a", false);
    MachineType cheap = cpuMachine("c8", 1, "a", "b");
    BinPacking zonePacking = packing(Set.of(lateKind), cheap);
    gpuBin.pack(gpuBin.free());
    packAll(zonePacking, cpuService(24));
    assertEquals(List.of("c8b", "c8b", "c8b"), rentedKinds(zonePacking));
    MachineType other = cpuMachine("d8", 1.5, "a");
    BinPacking typePacking = packing(Set.of(lateKind), cpuMachine("c8", 1, "a"), other);
    packAll(typePacking, cpuService(8));
    assertEquals(List.of("d8a"), rentedKinds(typePacking));
    MachineType expensive = cpuMachine("d8", 3, "a");
    BinPacking pricePacking = packing(Set.of(lateKind), cpuMachine("c8", 1, "a"), expensive);
    packAll(pricePacking, cpuService(8));
    assertEquals(
        List.of("c8a"),
        rentedKinds(pricePacking),
        "the other type costs more than the late kind with its cost factor");
  }
}
