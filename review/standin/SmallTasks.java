import java.nio.file.Path;
import java.util.List;

/**
 * A guest's array of many small tasks comes beside a production service. Without the disruption the
 * array has as many tasks, of the size that the site file gives them.
 */
public final class SmallTasks {
  private static final int TASKS = 5000;
  private static final int SECONDS = 50;

  public static void main(String[] args) throws Exception {
    Setup setup = new Setup(Path.of(args[0]), Deployments.OPTIKA,
        new Cloud.Kind("altyn-g48", 48, 8, 288, 1), List.of("almaty-tau"), 10, 16, 8);
    try {
      play(setup);
    } catch (Exception e) {
      setup.finish(2, "could not run: " + e);
    }
  }

  private static void play(Setup setup) throws Exception {
    setup.fleet.checkSizes = true;
    setup.cloud.capacity = 56;
    for (int i = 0; i < 3; i++) {
      setup.addNode("almaty-tau", new State.Gate());
    }
    setup.controllers.writeSettings();
    for (Controllers.Node node : setup.controllers.nodes) {
      setup.controllers.start(node);
    }
    setup.controllers.awaitHealthy();
    setup.awaitLeader(20);
    submit(setup, Setup.job("run-000001", "kozildirik", "zakaz-bolimi", "standing", "production",
        4, 4, 1, 20, 0));
    if (!setup.awaitPlaced(4, 30)) {
      throw new IllegalStateException("the service does not run");
    }
    Thread.sleep(4000);
    double cpus = Setup.TROUBLE ? 0.03 : 0.25;
    double ramGb = Setup.TROUBLE ? 0.15 : 1.35;
    submit(setup, Setup.job("run-000002", "ulken-massiv", "shagala-optics", "array", "low", TASKS,
        cpus, 0, ramGb, 20));
    long endMs = Record.nowMs() + SECONDS * 1000L;
    while (Record.nowMs() < endMs) {
      Thread.sleep(1000);
      Record.log("%d tasks on machines, %d done, leader %s", setup.fleet.countPlaced(),
          setup.fleet.done.get(),
          setup.leader() == null ? "none" : setup.leader().name);
    }
    StringBuilder starts = new StringBuilder();
    for (int i = 0; i < 4; i++) {
      starts.append(' ').append(setup.fleet.starts.get("run-000001/" + i));
    }
    int broken = setup.fleet.violations.size();
    setup.finish(broken == 0 ? 0 : 1, broken + " messages over 64 KiB; " + setup.fleet.done.get()
        + " tasks of the array done; the service's tasks started" + starts + " times");
  }

  private static void submit(Setup setup, com.fasterxml.jackson.databind.node.ObjectNode job)
      throws InterruptedException {
    int status = setup.submit(job, 30);
    if (status != 200 && status != 201) {
      throw new IllegalStateException("a submission got " + status);
    }
  }
}
