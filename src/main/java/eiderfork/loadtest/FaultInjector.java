package eiderfork.loadtest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** Injects the faults of a load test at their times and repairs them afterwards. */
final class FaultInjector {
  private record PendingRestart(ControllerProcess controller, long atMs) {}

  /** The repair of a fault; runs on its cell's event loop. */
  private record Repair(EmulatedCell cell, Runnable action, long atMs) {}

  /** Ordered by time, the next one first. */
  private final List<LoadTestSettings.Fault> pendingFaults;

  private final List<EmulatedCell> cells;
  private final List<PendingRestart> restarts = new ArrayList<>();
  private final List<Repair> repairs = new ArrayList<>();

  FaultInjector(List<LoadTestSettings.Fault> faults, List<EmulatedCell> cells) {
    this.pendingFaults = new ArrayList<>(faults);
    this.pendingFaults.sort(Comparator.comparingDouble(LoadTestSettings.Fault::atS));
    this.cells = cells;
  }

  /**
   * Injects faults due {@code elapsedS} seconds after the start of the load and runs due repairs.
   */
  void tick(double elapsedS) throws IOException, InterruptedException {
    injectDue(elapsedS);
    repairDue();
  }

  /** Returns whether a controller was killed by a fault and has not been restarted yet. */
  boolean isDown(ControllerProcess controller) {
    return restarts.stream().anyMatch(restart -> restart.controller == controller);
  }

  private void injectDue(double elapsedS) throws InterruptedException {
    while (!pendingFaults.isEmpty() && pendingFaults.get(0).atS() <= elapsedS) {
      LoadTestSettings.Fault fault = pendingFaults.remove(0);
      EmulatedCell cell = cells.get(fault.cell());
      cell.call(
          () -> {
            cell.startRecoveryTimer(fault);
            return null;
          });
      inject(fault, cell);
    }
  }

  private void inject(LoadTestSettings.Fault fault, EmulatedCell cell) throws InterruptedException {
    switch (fault.kind()) {
      case "leader" -> kill(cell.controllers().get(cell.call(cell::leader)), fault);
      case "controllers" -> cell.controllers().forEach(each -> kill(each, fault));
      case "rack" -> partition(fault, cell, EmulatedCell::isInFirstRack);
      case "third" -> partition(fault, cell, EmulatedCell::isInFirstThird);
      case "workers" -> partition(fault, cell, worker -> true);
      case "zone" -> {
        injectAndRepair(fault, cell, cell::closeZone, cell::openZone);
        cell.controllers().stream().filter(cell::isInClosedZone).forEach(each -> kill(each, fault));
      }
      default -> throw new IllegalStateException("unknown kind of fault: " + fault.kind());
    }
  }

  private void partition(
      LoadTestSettings.Fault fault, EmulatedCell cell, Predicate<EmulatedWorker> selected) {
    injectAndRepair(
        fault,
        cell,
        () -> cell.setPartitioned(selected, true),
        () -> cell.setPartitioned(selected, false));
  }

  private void injectAndRepair(
      LoadTestSettings.Fault fault, EmulatedCell cell, Runnable inject, Runnable repair) {
    cell.loop.execute(inject);
    repairs.add(new Repair(cell, repair, repairAtMs(fault)));
  }

  private static long repairAtMs(LoadTestSettings.Fault fault) {
    return SteadyClock.nowMs() + (long) (1000 * fault.forS());
  }

  private void kill(ControllerProcess controller, LoadTestSettings.Fault fault) {
    restarts.add(new PendingRestart(controller, repairAtMs(fault)));
    controller.kill();
  }

  private void repairDue() throws IOException {
    for (PendingRestart restart : List.copyOf(restarts)) {
      if (SteadyClock.nowMs() >= restart.atMs && !restart.controller.isAlive()) {
        restart.controller.start();
        restarts.remove(restart);
      }
    }
    for (Repair repair : List.copyOf(repairs)) {
      if (SteadyClock.nowMs() >= repair.atMs) {
        repair.cell.loop.execute(repair.action);
        repairs.remove(repair);
      }
    }
  }
}
