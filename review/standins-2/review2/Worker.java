package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The worker of one machine, as the protocol describes it. */
final class Worker {
  /** A controller: its name, and the port at which this machine reaches it. */
  record Node(String name, int port) {}

  /** Sees every report that is sent, with the controller that it goes to. */
  interface ReportListener {
    void sent(Worker worker, Node node, String body);
  }

  private static final long ANSWER_MS = 4000;
  private static final long MIN_GAP_MS = 500;

  private static final class Task {
    String id;
    long attempt;
    Job job;
    String stance;
    String cause;
  }

  final String name;
  final String zone;
  private final String breed;
  private final boolean spot;
  private final List<Node> nodes;
  private final double capacity;
  private final long reportMs;
  private final long leaseMs;
  private final Record record;
  private final Checker checker;
  private final Random random;
  private final ScheduledExecutorService timers =
      Executors.newScheduledThreadPool(
          2,
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private final Server server;
  private String address;

  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Long> imageReadyMs = new HashMap<>();
  private long tenure = 1;
  private long tally;
  private long warrant;
  private long leaseFromMs;
  private boolean changed;
  private long tokenChangeMs = Long.MIN_VALUE / 2;
  private int node;
  private volatile String answeredBy;
  private volatile boolean alive;
  private volatile ReportListener listener = (worker, to, body) -> {};

  Worker(
      String name,
      String breed,
      String zone,
      boolean spot,
      List<Node> nodes,
      double capacity,
      double reportS,
      double leaseS,
      Record record,
      Checker checker,
      long seed)
      throws IOException {
    this.name = name;
    this.breed = breed;
    this.zone = zone;
    this.spot = spot;
    this.nodes = nodes;
    this.capacity = capacity;
    reportMs = (long) (1000 * reportS);
    leaseMs = (long) (1000 * leaseS);
    this.record = record;
    this.checker = checker;
    random = new Random(seed);
    server = new Server(this::handle);
  }

  /** The port of the worker's own server. */
  int port() {
    return server.port();
  }

  void setAddress(String reported) {
    address = reported;
  }

  void setListener(ReportListener reportListener) {
    listener = reportListener;
  }

  /** The controller that last answered a report with 200. */
  String answeredBy() {
    return answeredBy;
  }

  synchronized long tenure() {
    return tenure;
  }

  void start() {
    synchronized (this) {
      leaseFromMs = record.nowMs();
      node = random.nextInt(nodes.size());
    }
    alive = true;
    record.line("machine %s in %s is up", name, zone);
    Thread reporter = new Thread(this::reportAll);
    reporter.setDaemon(true);
    reporter.start();
    timers.scheduleAtFixedRate(this::checkLease, 20, 20, TimeUnit.MILLISECONDS);
  }

  /** The machine and everything on it is gone. */
  void stop() {
    alive = false;
    server.stop();
    timers.shutdownNow();
    synchronized (this) {
      tasks.values().stream()
          .filter(task -> task.stance.equals("running"))
          .forEach(task -> checker.stopped(name, task.id, "machine gone"));
      tasks.clear();
    }
  }

  private synchronized void checkLease() {
    if (alive && record.nowMs() - leaseFromMs > leaseMs) {
      tasks.values().stream()
          .filter(task -> task.stance.equals("running"))
          .forEach(task -> checker.stopped(name, task.id, "lease over"));
      tasks.clear();
      tenure++;
      leaseFromMs = record.nowMs();
      changed();
      record.line("machine %s: lease over, session %d begins", name, tenure);
    }
  }

  private void changed() {
    changed = true;
    notifyAll();
  }

  private synchronized String report() {
    ObjectNode body = Server.object();
    body.put("Roost", name).put("Addr", address).put("Breed", breed).put("Shore", zone);
    body.put("Driftwood", spot).put("Tenure", tenure).put("Tally", ++tally);
    body.put("Warrant", warrant).putNull("WarningS");
    ArrayNode list = body.putArray("Hatchlings");
    for (Task task : tasks.values()) {
      ObjectNode item = list.addObject().put("Hatchling", task.id).put("Try", task.attempt);
      item.put("Stance", task.stance);
      if (task.cause != null) {
        item.put("Cause", task.cause);
      }
    }
    return body.toString();
  }

  private void reportAll() {
    try {
      Http connection = null;
      long sentMs = record.nowMs() - reportMs;
      while (alive) {
        awaitNext(sentMs);
        String body;
        long sentTenure;
        Node to;
        synchronized (this) {
          changed = false;
          body = report();
          sentTenure = tenure;
          to = nodes.get(node);
        }
        if (connection == null || connection.port() != to.port()) {
          if (connection != null) {
            connection.close();
          }
          connection = new Http(to.port());
        }
        sentMs = record.nowMs();
        listener.sent(this, to, body);
        Http.Response response = connection.send("POST", "/v1/report", body, ANSWER_MS);
        handle(response, to, sentMs, sentTenure);
        if (response.status() != 200) {
          connection.close();
          connection = null;
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void awaitNext(long sentMs) throws InterruptedException {
    long dueMs = sentMs + (long) (reportMs * (0.75 + 0.5 * random.nextDouble()));
    while (true) {
      long nowMs = record.nowMs();
      long untilMs = changed ? Math.min(dueMs, sentMs + MIN_GAP_MS) : dueMs;
      if (nowMs >= untilMs) {
        return;
      }
      wait(untilMs - nowMs);
    }
  }

  private void handle(Http.Response response, Node to, long sentMs, long sentTenure)
      throws InterruptedException {
    if (response.status() == 200) {
      try {
        accept(Server.JSON.readTree(response.body()), to, sentMs, sentTenure);
      } catch (IOException e) {
        record.line("machine %s: %s answers what is no JSON", name, to.name());
      }
      return;
    }
    String herald = null;
    if (response.status() == 421) {
      try {
        herald = Server.JSON.readTree(response.body()).path("Herald").asText(null);
      } catch (IOException e) {
        herald = null;
      }
    }
    int named = -1;
    for (int i = 0; i < nodes.size(); i++) {
      named = nodes.get(i).name().equals(herald) && !to.name().equals(herald) ? i : named;
    }
    if (named >= 0) {
      record.line("machine %s: %s names %s", name, to.name(), herald);
      Thread.sleep(random.nextInt(500));
    } else {
      record.line("machine %s: no answer of %s (%d)", name, to.name(), response.status());
      Thread.sleep(1000);
    }
    synchronized (this) {
      node = named >= 0 ? named : (node + 1) % nodes.size();
    }
  }

  private synchronized void accept(JsonNode body, Node to, long sentMs, long sentTenure) {
    long token = body.path("Warrant").asLong(-1);
    if (sentTenure != tenure || token < warrant) {
      record.line("machine %s: answer of %s dropped, token %d", name, to.name(), token);
      return;
    }
    see(token);
    leaseFromMs = Math.max(leaseFromMs, sentMs);
    if (!to.name().equals(answeredBy)) {
      record.line(
          "machine %s: answered by %s, token %d, session %d", name, to.name(), token, tenure);
    }
    answeredBy = to.name();
    execute(body.path("Calls"), to.name());
  }

  private void see(long token) {
    if (token > warrant) {
      warrant = token;
      if (record.nowMs() - tokenChangeMs >= leaseMs / 2) {
        tokenChangeMs = record.nowMs();
        changed();
      }
    }
  }

  private Server.Answer handle(
      String method, String path, Map<String, String> query, JsonNode body) throws IOException {
    synchronized (this) {
      if (path.equals("/inspect")) {
        return new Server.Answer(200, Server.JSON.readTree(report()));
      }
      if (!body.has("Warrant") || !body.has("Tenure")) {
        return new Server.Answer(400, Server.object());
      }
      long token = body.path("Warrant").asLong();
      boolean refused = token < warrant || body.path("Tenure").asLong() != tenure;
      if (body.path("Calls").size() > 0) {
        record.line(
            "machine %s: direct command, token %d of %d, session %d of %d, %s: %s",
            name,
            token,
            warrant,
            body.path("Tenure").asLong(),
            tenure,
            refused ? "refused" : "executed",
            body.path("Calls").toString().replace("%", "%%"));
      }
      if (!refused) {
        see(token);
        execute(body.path("Calls"), "a direct command");
      }
      return new Server.Answer(refused ? 409 : 200, Server.JSON.readTree(report()));
    }
  }

  private void execute(JsonNode calls, String by) {
    for (JsonNode call : calls) {
      String id = call.path("Hatchling").asText();
      long attempt = call.path("Try").asLong();
      String key = id + "#" + attempt;
      Task task = tasks.get(key);
      switch (call.path("Call").asText()) {
        case "run" -> {
          if (task == null) {
            run(id, attempt);
          }
        }
        case "kill" -> {
          if (task != null && !task.stance.equals("ended")) {
            record.line("machine %s: kill %s attempt %d by %s", name, id, attempt, by);
            end(task, "halted");
          }
        }
        case "clear" -> {
          if (task != null && task.stance.equals("ended")) {
            tasks.remove(key);
            changed();
          }
        }
        default -> record.line("machine %s: unknown command %s", name, call);
      }
    }
  }

  private void run(String id, long attempt) {
    Task task = new Task();
    task.id = id;
    task.attempt = attempt;
    task.job = checker.job(id.substring(0, id.indexOf('/')));
    task.stance = "pulling";
    double used = 0;
    boolean other = false;
    for (Task each : tasks.values()) {
      if (!each.stance.equals("ended")) {
        used += each.job.cpus;
        other |= each.id.equals(id);
      }
    }
    tasks.put(id + "#" + attempt, task);
    changed();
    if (task.job == null) {
      end(task, "unknown");
    } else if (other) {
      end(task, "in_use");
    } else if (used + task.job.cpus > capacity + 1e-6) {
      end(task, "full");
    } else {
      long fetchMs = (long) (1000 * task.job.imageGb / 0.8);
      long readyMs =
          imageReadyMs.computeIfAbsent(task.job.image, image -> record.nowMs() + fetchMs);
      if (readyMs <= record.nowMs()) {
        begin(task);
      } else {
        timers.schedule(() -> begin(task), readyMs - record.nowMs(), TimeUnit.MILLISECONDS);
      }
    }
  }

  private synchronized void begin(Task task) {
    if (tasks.get(task.id + "#" + task.attempt) == task && task.stance.equals("pulling")) {
      task.stance = "running";
      checker.started(name, task.id, task.attempt);
      changed();
      if (checker.isCompleted(task.id)) {
        end(task, "done");
      } else if (task.job.runMs > 0) {
        timers.schedule(() -> complete(task), task.job.runMs, TimeUnit.MILLISECONDS);
      }
    }
  }

  private synchronized void complete(Task task) {
    if (tasks.get(task.id + "#" + task.attempt) == task && task.stance.equals("running")) {
      checker.completed(task.id);
      end(task, "done");
    }
  }

  private void end(Task task, String cause) {
    if (task.stance.equals("running")) {
      checker.stopped(name, task.id, cause);
    }
    task.stance = "ended";
    task.cause = cause;
    changed();
  }

  /** A running task fails; returns whether it ran here. */
  synchronized boolean fail(String id) {
    for (Task task : new ArrayList<>(tasks.values())) {
      if (task.id.equals(id) && task.stance.equals("running")) {
        record.line("machine %s: task %s attempt %d fails", name, id, task.attempt);
        end(task, "error");
        return true;
      }
    }
    return false;
  }
}
