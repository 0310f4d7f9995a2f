import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Users keep more connections open than a controller has sockets, so that its new connections fail.
 * Without the disruption they send as many requests over few connections.
 */
public final class SocketLimit {
  /** The limit of the page, and the files of a controller's process that are no sockets. */
  private static final int SOCKETS = 800;

  private static final int OTHER_FILES = 48;
  private static final int POLLING = 100;
  private static final int JOBS = 10;
  /** How often the state service answers late, and for how long. */
  private static final int STALL_EVERY_MS = 3000;

  private static final int STALL_MS = 300;
  private static final int QUIET_SECONDS = 6;
  private static final int PERIODS = 3;
  private static final long PERIOD_MS = 30_000;
  private static final long POLLING_MS = 6_000;
  private static final long POLL_EVERY_MS = 1_000;

  /** Connections that users keep open and do not use for now. */
  private static final List<Net.Connection> WAITING = new ArrayList<>();

  public static void main(String[] args) throws Exception {
    Setup setup = new Setup(Path.of(args[0]), Deployments.SKRIFTHUS,
        new Cloud.Kind("nordlys-g48", 48, 4, 288, 1), List.of("bergen-vest", "stavanger-sor"), 6, 12, 4);
    try {
      play(setup);
    } catch (Exception e) {
      setup.finish(2, "could not run: " + e);
    }
  }

  /** Answers after 5 ms, but now and then takes up to 300 ms for all that comes meanwhile. */
  private static State.Gate answering() {
    return new State.Gate() {
      @Override
      boolean after(Net.Request request, Net.Response response) throws InterruptedException {
        long intoPeriodMs = Record.nowMs() % STALL_EVERY_MS;
        Thread.sleep(intoPeriodMs < STALL_MS ? STALL_MS - intoPeriodMs : 5);
        return true;
      }
    };
  }

  private static void play(Setup setup) throws Exception {
    for (int i = 0; i < 3; i++) {
      setup.addNode(i == 1 ? "stavanger-sor" : "bergen-vest", answering());
    }
    setup.controllers.writeSettings();
    for (Controllers.Node node : setup.controllers.nodes) {
      setup.controllers.start(node, SOCKETS + OTHER_FILES);
    }
    setup.controllers.awaitHealthy();
    setup.awaitLeader(20);
    for (int i = 0; i < JOBS; i++) {
      int status = setup.submit(Setup.job("run-00000" + i, "parsett-rush", "skriftlaget",
          "standing", "high", 1, 5, 1, 35, 0), 30);
      if (status != 200 && status != 201) {
        throw new IllegalStateException("a submission got " + status);
      }
    }
    if (!setup.awaitPlaced(JOBS, 30)) {
      throw new IllegalStateException("the services do not run");
    }
    Record.log("%s leads", setup.leader().name);
    List<List<Net.Connection>> users = new ArrayList<>();
    for (Controllers.Node node : setup.controllers.nodes) {
      users.add(open(node, POLLING));
    }
    Thread.sleep(500);
    for (Controllers.Node node : setup.controllers.nodes) {
      List<Net.Connection> others = open(node, Setup.TROUBLE ? SOCKETS : 0);
      WAITING.addAll(others);
      Record.log("%d users have opened connections to %s", others.size() + POLLING, node.name);
    }
    Thread.sleep(QUIET_SECONDS * 1000L);
    poll(setup, users);
  }

  /** Opens connections until one can't be opened. */
  private static List<Net.Connection> open(Controllers.Node node, int count) {
    List<Net.Connection> users = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Net.Connection user = new Net.Connection(node.publicPort);
      try {
        user.open(500);
        users.add(user);
      } catch (IOException e) {
        Record.log("connection %d is refused", i);
        return users;
      }
    }
    return users;
  }

  /** Polls at all nodes over the open connections, for some seconds in each period. */
  private static void poll(Setup setup, List<List<Net.Connection>> users) throws Exception {
    AtomicInteger asked = new AtomicInteger();
    AtomicInteger answered = new AtomicInteger();
    long startMs = Record.nowMs();
    long endMs = startMs + PERIODS * PERIOD_MS;
    for (List<Net.Connection> connections : users) {
      for (Net.Connection user : connections) {
        Net.daemon("user", () -> {
          try {
            while (Record.nowMs() < endMs) {
              long intoPeriodMs = (Record.nowMs() - startMs) % PERIOD_MS;
              Thread.sleep(intoPeriodMs < POLLING_MS
                  ? POLL_EVERY_MS - intoPeriodMs % POLL_EVERY_MS
                  : PERIOD_MS - intoPeriodMs);
              // Every second question is for a job that nobody has submitted.
              int n = asked.incrementAndGet();
              String uid = n % 2 == 0 ? "run-00000" + n % JOBS : "run-9" + n;
              Net.Response response = user.call("GET", "/v2/runs/" + uid, "", 2000);
              check(setup, uid, n % 2 == 0, response);
              if (response != null && response.status() != 503) {
                answered.incrementAndGet();
              }
            }
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
      }
    }
    while (Record.nowMs() < endMs
        && setup.controllers.nodes.stream().allMatch(node -> node.process.isAlive())) {
      Thread.sleep(1000);
      StringBuilder open = new StringBuilder();
      for (Controllers.Node node : setup.controllers.nodes) {
        open.append(", ").append(node.name).append(" has ").append(files(node));
      }
      Record.log("asked %d answered %d%s", asked.get(), answered.get(), open);
    }
    for (Controllers.Node each : setup.controllers.nodes) {
      if (!each.process.isAlive()) {
        Files.readAllLines(each.log).stream()
            .dropWhile(line -> !line.contains("ERROR")).limit(20)
            .forEach(line -> Record.log("%s: %s", each.name, line.replace("%", "%%")));
        setup.finish(1, each.name + " ended by itself with exit code "
            + each.process.exitValue() + ", broken besides: " + setup.fleet.violations);
      }
    }
    setup.finish(setup.fleet.violations.isEmpty() ? 0 : 1, "broken rules: " + setup.fleet.violations);
  }

  /** Checks that an answer belongs to its question, and that accepted jobs are known. */
  private static void check(Setup setup, String uid, boolean accepted, Net.Response response) {
    if (response == null) {
      return;
    }
    boolean ownJob = response.body().contains("\"" + uid + "\"");
    if (response.status() == 200 && !ownJob) {
      setup.fleet.violation("invented", uid + " is answered with " + response.body());
    } else if (response.status() == 200 && !accepted) {
      setup.fleet.violation("invented", uid + " is answered with " + response.body());
    } else if (response.status() == 404 && accepted) {
      setup.fleet.violation("forgotten", uid + " is answered with 404 " + response.body());
    }
  }

  /** Counts the open files of a controller's process. */
  private static String files(Controllers.Node node) {
    int sockets = 0;
    int others = 0;
    File[] files = new File("/proc/" + node.pid() + "/fd").listFiles();
    for (File file : files == null ? new File[0] : files) {
      try {
        if (Files.readSymbolicLink(file.toPath()).toString().startsWith("socket:")) {
          sockets++;
        } else {
          others++;
        }
      } catch (IOException e) {
        // Closed in the meantime.
      }
    }
    return sockets + " sockets and " + others + " other open files";
  }
}
