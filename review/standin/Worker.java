import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A machine with its worker: reports, session, lease, token and commands as the protocol says. */
final class Worker {
  private static final class Task {
    String stance = "pulling";
    String cause;
    double cpus;
    double gpus;
    double ramGb;
    long readyMs;
    long endMs;
  }

  final String name;
  final Cloud.Kind kind;
  final String zone;
  final boolean spot;
  final Fleet fleet;
  final int port;
  final long rentedMs = Record.nowMs();
  final long upMs;
  volatile long goneMs;
  volatile boolean ended;

  /** Reports do not arrive. */
  volatile boolean mute;

  /** Answers and direct commands do not arrive. */
  volatile boolean deaf;

  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private long tenure = 1;
  private long tally;
  private long warrant;
  private long leaseFromMs;
  private long tokenReportedMs = -100_000;
  private boolean changed;
  private int node;
  private ServerSocket server;
  private final Map<Integer, Net.Connection> connections = new HashMap<>();

  Worker(String name, Cloud.Kind kind, String zone, boolean spot, Fleet fleet, long bootMs)
      throws IOException {
    this.name = name;
    this.kind = kind;
    this.zone = zone;
    this.spot = spot;
    this.fleet = fleet;
    this.upMs = rentedMs + bootMs;
    port = Net.freePort();
  }

  void boot() {
    Net.daemon("worker-" + name, this::run);
  }

  /** The machine is gone with all that is on it. */
  synchronized void end() {
    ended = true;
    dropTasks("gone");
    try {
      if (server != null) {
        server.close();
      }
    } catch (IOException e) {
      // Closed all the same.
    }
  }

  private void run() {
    try {
      Thread.sleep(Math.max(0, upMs - Record.nowMs()));
      if (ended) {
        return;
      }
      server = Net.serve(port, this::handle);
      leaseFromMs = Record.nowMs();
      Net.daemon("clock-" + name, this::clock);
      node = ThreadLocalRandom.current().nextInt(fleet.publicPorts.size());
      while (!ended) {
        long pauseMs = report();
        long endMs = Record.nowMs() + pauseMs;
        long soonestMs = Record.nowMs() + Math.min(500, pauseMs);
        while (!ended && Record.nowMs() < endMs && !(changed && Record.nowMs() >= soonestMs)) {
          Thread.sleep(20);
        }
      }
    } catch (InterruptedException | IOException e) {
      Record.log("worker-stopped %s %s", name, e);
    }
  }

  private void clock() {
    while (!ended) {
      try {
        Thread.sleep(20);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        if (ended) {
          return;
        }
        if (Record.nowMs() - leaseFromMs > fleet.leaseMs) {
          if (!tasks.isEmpty()) {
            Record.log("lease-over %s tenure=%d", name, tenure);
          }
          dropTasks("lease");
          tenure++;
          leaseFromMs = Record.nowMs();
          changed = true;
        }
        tasks.forEach(this::advance);
      }
    }
  }

  private void advance(String key, Task task) {
    String id = key.substring(0, key.indexOf('#'));
    long attempt = Long.parseLong(key.substring(key.indexOf('#') + 1));
    if (task.stance.equals("pulling") && Record.nowMs() >= task.readyMs) {
      task.stance = "running";
      changed = true;
      fleet.onMachine(id, attempt, this);
    } else if (task.stance.equals("running")) {
      fleet.checkCancelled(id, this);
      if (task.endMs > 0 && Record.nowMs() >= task.endMs) {
        end(key, task, "done");
      }
    }
  }

  private void dropTasks(String why) {
    tasks.forEach((key, task) -> {
      if (task.stance.equals("running")) {
        fleet.offMachine(key.substring(0, key.indexOf('#')),
            Long.parseLong(key.substring(key.indexOf('#') + 1)), this, why);
      }
    });
    tasks.clear();
  }

  private void end(String key, Task task, String cause) {
    boolean ran = task.stance.equals("running");
    task.stance = "ended";
    task.cause = cause;
    changed = true;
    if (ran) {
      fleet.offMachine(key.substring(0, key.indexOf('#')),
          Long.parseLong(key.substring(key.indexOf('#') + 1)), this, cause);
    }
  }

  private synchronized String reportBody() {
    ObjectNode body = State.JSON.createObjectNode();
    body.put("Roost", name).put("Addr", "127.0.0.1:" + port).put("Breed", kind.name());
    body.put("Shore", zone).put("Driftwood", spot).put("Tenure", tenure).put("Tally", ++tally);
    body.put("Warrant", warrant).putNull("WarningS");
    ArrayNode list = body.putArray("Hatchlings");
    tasks.forEach((key, task) -> {
      ObjectNode item = list.addObject();
      item.put("Hatchling", key.substring(0, key.indexOf('#')));
      item.put("Try", Long.parseLong(key.substring(key.indexOf('#') + 1)));
      item.put("Stance", task.stance);
      if (task.cause != null) {
        item.put("Cause", task.cause);
      }
    });
    return body.toString();
  }

  /** Sends one report; returns the pause before the next. */
  private long report() {
    long sentMs = Record.nowMs();
    long sentTenure;
    String body;
    synchronized (this) {
      changed = false;
      sentTenure = tenure;
      body = reportBody();
    }
    Net.Response response = null;
    if (fleet.checkSizes && body.length() > Fleet.MAX_BYTES) {
      // A request body may be at most 64 KiB, so that this report can't be sent.
      Record.log("report-too-large %s %d bytes, %d tasks", name, body.length(), taskCount());
      pause(1000);
      return 0;
    }
    if (mute) {
      pause(4000);
    } else {
      Net.Connection connection =
          connections.computeIfAbsent(node, n -> new Net.Connection(fleet.publicPorts.get(n)));
      response = connection.call("POST", "/v1/report", body, 4000);
    }
    if (deaf && response != null) {
      pause(Math.max(0, sentMs + 4000 - Record.nowMs()));
      response = null;
    }
    if (ended) {
      return 0;
    }
    int status = response == null ? 0 : response.status();
    if (response != null) {
      fleet.checkSize("response to a report of " + name, response.body());
    }
    if (status == 200) {
      accept(response.body(), sentMs, sentTenure);
      return (long) (fleet.reportMs * (0.75 + 0.5 * ThreadLocalRandom.current().nextDouble()));
    }
    String herald = status == 421 ? herald(response.body()) : null;
    int named = herald == null ? -1 : fleet.nodeNames.indexOf(herald);
    Net.Connection old = connections.remove(node);
    if (old != null) {
      old.close();
    }
    if (named >= 0 && named != node) {
      node = named;
      return ThreadLocalRandom.current().nextInt(500);
    }
    node = (node + 1) % fleet.publicPorts.size();
    return 1000;
  }

  private static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String herald(String body) {
    try {
      return State.JSON.readTree(body).path("Herald").asText(null);
    } catch (IOException e) {
      return null;
    }
  }

  private synchronized void accept(String body, long sentMs, long sentTenure) {
    try {
      JsonNode answer = State.JSON.readTree(body);
      if (sentTenure != tenure || !answer.has("Warrant")
          || answer.get("Warrant").asLong() < warrant) {
        return;
      }
      leaseFromMs = Math.max(leaseFromMs, sentMs);
      seeToken(answer.get("Warrant").asLong());
      answer.path("Calls").forEach(call -> execute(call, "report"));
    } catch (IOException e) {
      Record.log("bad answer %s %s", name, body);
    }
  }

  private void seeToken(long token) {
    if (token > warrant) {
      warrant = token;
      if (Record.nowMs() - tokenReportedMs > fleet.leaseMs / 2) {
        tokenReportedMs = Record.nowMs();
        changed = true;
      }
    }
  }

  private Net.Response handle(Net.Request request) throws InterruptedException {
    while (deaf && !ended) {
      Thread.sleep(50);
    }
    if (ended) {
      return null;
    }
    if (request.path().equals("/inspect")) {
      return new Net.Response(200, reportBody());
    }
    fleet.checkSize("request to /do of " + name, request.body());
    synchronized (this) {
      try {
        JsonNode body = State.JSON.readTree(request.body());
        if (!body.has("Warrant") || !body.has("Tenure")) {
          return new Net.Response(400, "{}");
        }
        if (body.get("Warrant").asLong() < warrant || body.get("Tenure").asLong() != tenure) {
          return new Net.Response(409, reportBody());
        }
        seeToken(body.get("Warrant").asLong());
        body.path("Calls").forEach(call -> execute(call, "do"));
        return new Net.Response(200, reportBody());
      } catch (IOException e) {
        return new Net.Response(400, "{}");
      }
    }
  }

  private void execute(JsonNode call, String way) {
    String id = call.get("Hatchling").asText();
    String key = id + "#" + call.get("Try").asLong();
    Task task = tasks.get(key);
    if (!fleet.checkSizes) {
      Record.log("command %s %s %s try=%d by %s", name, call.get("Call").asText(), id,
          call.get("Try").asLong(), way);
    }
    switch (call.get("Call").asText()) {
      case "run" -> {
        if (task == null) {
          run(id, key);
        }
      }
      case "kill" -> {
        if (task != null && !task.stance.equals("ended")) {
          end(key, task, "halted");
        }
      }
      default -> {
        if (task != null && task.stance.equals("ended")) {
          tasks.remove(key);
          changed = true;
        }
      }
    }
  }

  private void run(String id, String key) {
    Task task = new Task();
    changed = true;
    JsonNode job = fleet.jobs.get(id.substring(0, id.indexOf('/')));
    double cpus = 0;
    double gpus = 0;
    double ramGb = 0;
    boolean inUse = false;
    for (Map.Entry<String, Task> other : tasks.entrySet()) {
      if (!other.getValue().stance.equals("ended")) {
        cpus += other.getValue().cpus;
        gpus += other.getValue().gpus;
        ramGb += other.getValue().ramGb;
        inUse |= other.getKey().startsWith(id + "#");
      }
    }
    tasks.put(key, task);
    if (job == null) {
      end(key, task, "unknown");
      return;
    }
    task.cpus = job.get("Cpus").asDouble();
    task.gpus = job.get("Gpus").asDouble();
    task.ramGb = job.get("RamGb").asDouble();
    if (inUse) {
      end(key, task, "in_use");
    } else if (cpus + task.cpus > kind.cpus() + 1e-6 || gpus + task.gpus > kind.gpus() + 1e-6
        || ramGb + task.ramGb > kind.ramGb() + 1e-6) {
      end(key, task, "full");
    } else {
      task.readyMs = Record.nowMs() + 300;
      boolean standing = job.get("Guise").asText().equals("standing");
      task.endMs = standing ? 0 : task.readyMs + (long) (job.get("ReckonS").asDouble() * 1000);
    }
  }

  private synchronized int taskCount() {
    return tasks.size();
  }

  synchronized List<String> running() {
    List<String> list = new ArrayList<>();
    tasks.forEach((key, task) -> {
      if (task.stance.equals("running")) {
        list.add(key);
      }
    });
    return list;
  }
}
