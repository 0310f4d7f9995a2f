package eiderfork.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Makes a run's failures at their times, and mends them. */
final class TroubleMaker {
  private record Restart(ControllerProcess controller, long atMs) {}

  private record Reopening(Cell cell, String kind, long atMs) {}

  /** Those that are still to come, the next one first. */
  private final List<ScaleSettings.Trouble> troubles;

  private final List<Cell> cells;
  private final List<Restart> restarts = new ArrayList<>();
  private final List<Reopening> reopenings = new ArrayList<>();

  TroubleMaker(List<ScaleSettings.Trouble> troubles, List<Cell> cells) {
    this.troubles = new ArrayList<>(troubles);
    this.troubles.sort(Comparator.comparingDouble(ScaleSettings.Trouble::atS));
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
      ScaleSettings.Trouble trouble = troubles.remove(0);
      Cell cell = cells.get(trouble.cell());
      ScaleRun.on(
          cell,
          () -> {
            cell.troubleBegins(trouble);
            return null;
          });
      make(trouble, cell);
    }
  }

  private void make(ScaleSettings.Trouble trouble, Cell cell) throws InterruptedException {
    switch (trouble.kind()) {
      case "leader" -> kill(cell.controllers().get(ScaleRun.on(cell, cell::leader)), trouble);
      case "controllers" -> cell.controllers().forEach(each -> kill(each, trouble));
      case "rack" -> cell.loop.execute(() -> cell.cutRack(true));
      case "zone" -> {
        cell.loop.execute(cell::closeZone);
        cell.controllers().stream()
            .filter(cell::isInClosedZone)
            .forEach(each -> kill(each, trouble));
      }
      default -> throw new IllegalStateException(trouble.kind());
    }
    if (trouble.kind().equals("rack") || trouble.kind().equals("zone")) {
      reopenings.add(new Reopening(cell, trouble.kind(), untilMs(trouble)));
    }
  }

  private static long untilMs(ScaleSettings.Trouble trouble) {
    return Clock.nowMs() + (long) (1000 * trouble.forS());
  }

  private void kill(ControllerProcess controller, ScaleSettings.Trouble trouble) {
    restarts.add(new Restart(controller, untilMs(trouble)));
    controller.kill();
  }

  private void undoDue() throws IOException {
    for (Restart it : List.copyOf(restarts)) {
      if (Clock.nowMs() >= it.atMs && !it.controller.isAlive()) {
        it.controller.start();
        restarts.remove(it);
      }
    }
    for (Reopening it : List.copyOf(reopenings)) {
      if (Clock.nowMs() >= it.atMs) {
        it.cell.loop.execute(
            () -> {
              if (it.kind.equals("rack")) {
                it.cell.cutRack(false);
              } else {
                it.cell.openZone();
              }
            });
        reopenings.remove(it);
      }
    }
  }
}
