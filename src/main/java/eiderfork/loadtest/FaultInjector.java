package eiderfork.loadtest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/** Makes a run's failures at their times, and mends them. */
final class FaultInjector {
  private record Restart(ControllerProcess controller, long atMs) {}

  /** What mends a trouble, carried out on its cell's thread. */
  private record Mending(EmulatedCell cell, Runnable what, long atMs) {}

  /** Those that are still to come, the next one first. */
  private final List<LoadTestSettings.Trouble> troubles;

  private final List<EmulatedCell> cells;
  private final List<Restart> restarts = new ArrayList<>();
  private final List<Mending> mendings = new ArrayList<>();

  FaultInjector(List<LoadTestSettings.Trouble> troubles, List<EmulatedCell> cells) {
    this.troubles = new ArrayList<>(troubles);
    this.troubles.sort(Comparator.comparingDouble(LoadTestSettings.Trouble::atS));
    this.cells = cells;
  }

  /** Makes and mends what is due {@code elapsedS} after the beginning of the load. */
  void tick(double elapsedS) throws IOException, InterruptedException {
    makeDue(elapsedS);
    undoDue();
  }

  /** Whether a controller was killed and is to come back later. */
  boolean isDown(ControllerProcess controller) {
    return restarts.stream().anyMatch(it -> it.controller == controller);
  }

  private void makeDue(double elapsedS) throws InterruptedException {
    while (!troubles.isEmpty() && troubles.get(0).atS() <= elapsedS) {
      LoadTestSettings.Trouble fault = troubles.remove(0);
      EmulatedCell cell = cells.get(fault.cell());
      LoadTest.on(
          cell,
          () -> {
            cell.troubleBegins(fault);
            return null;
          });
      make(fault, cell);
    }
  }

  private void make(LoadTestSettings.Trouble fault, EmulatedCell cell) throws InterruptedException {
    switch (fault.kind()) {
      case "leader" -> kill(cell.controllers().get(LoadTest.on(cell, cell::leader)), fault);
      case "controllers" -> cell.controllers().forEach(each -> kill(each, fault));
      case "rack" -> cutOff(fault, cell, EmulatedCell::isInFirstRack);
      case "third" -> cutOff(fault, cell, EmulatedCell::isInFirstThird);
      case "workers" -> cutOff(fault, cell, worker -> true);
      case "zone" -> {
        makeAndMend(fault, cell, cell::closeZone, cell::openZone);
        cell.controllers().stream().filter(cell::isInClosedZone).forEach(each -> kill(each, fault));
      }
      default -> throw new IllegalStateException(fault.kind());
    }
  }

  private void cutOff(
      LoadTestSettings.Trouble fault, EmulatedCell cell, Predicate<EmulatedWorker> which) {
    makeAndMend(fault, cell, () -> cell.cutOff(which, true), () -> cell.cutOff(which, false));
  }

  private void makeAndMend(
      LoadTestSettings.Trouble fault, EmulatedCell cell, Runnable make, Runnable mend) {
    cell.loop.execute(make);
    mendings.add(new Mending(cell, mend, untilMs(fault)));
  }

  private static long untilMs(LoadTestSettings.Trouble fault) {
    return SteadyClock.nowMs() + (long) (1000 * fault.forS());
  }

  private void kill(ControllerProcess controller, LoadTestSettings.Trouble fault) {
    restarts.add(new Restart(controller, untilMs(fault)));
    controller.kill();
  }

  private void undoDue() throws IOException {
    for (Restart it : List.copyOf(restarts)) {
      if (SteadyClock.nowMs() >= it.atMs && !it.controller.isAlive()) {
        it.controller.start();
        restarts.remove(it);
      }
    }
    for (Mending it : List.copyOf(mendings)) {
      if (SteadyClock.nowMs() >= it.atMs) {
        it.cell.loop.execute(it.what);
        mendings.remove(it);
      }
    }
  }
}
