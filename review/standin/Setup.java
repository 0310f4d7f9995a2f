import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A small deployment: controllers, state service, cloud, workers and users' calls. */
final class Setup {
  final Path root = Path.of(System.getProperty("root", "."));
  final Path folder;
  final Fleet fleet = new Fleet();
  final State state;
  final Cloud cloud;
  final Controllers controllers;
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  Setup(Path record, String deployment, Cloud.Kind kind, List<String> zones, double listLagS,
      int txnOps, int valueKb) throws IOException {
    Record.open(record);
    folder = Files.createTempDirectory("eiderfork-review-");
    state = new State(txnOps, valueKb);
    cloud = new Cloud(kind, zones, listLagS, fleet);
    int cloudPort = Net.freePort();
    cloud.listen(cloudPort);
    controllers = new Controllers(root, folder, deployment, cloudPort);
  }

  void addNode(String zone, State.Gate gate) throws IOException {
    Controllers.Node node = controllers.add(zone, state, gate);
    fleet.publicPorts.add(node.publicPort);
    fleet.nodeNames.add(node.name);
  }

  /** The node that the state service names as leader; null if there is none. */
  Controllers.Node leader() {
    JsonNode value = state.value("leader");
    if (value == null) {
      return null;
    }
    String name = value.path("node").asText();
    return controllers.nodes.stream().filter(n -> n.name.equals(name)).findFirst().orElse(null);
  }

  Controllers.Node awaitLeader(int timeoutS) throws InterruptedException {
    long endMs = Record.nowMs() + timeoutS * 1000L;
    while (Record.nowMs() < endMs) {
      Controllers.Node leader = leader();
      if (leader != null) {
        return leader;
      }
      Thread.sleep(20);
    }
    throw new IllegalStateException("nobody leads");
  }

  static ObjectNode job(String uid, String flock, String crew, String guise, String precedence,
      int tasks, double cpus, double gpus, double ramGb, double reckonS) {
    ObjectNode job = State.JSON.createObjectNode();
    job.put("Uid", uid).put("Flock", flock).put("Crew", crew).put("Guise", guise);
    job.put("Precedence", precedence).put("Hatchlings", tasks).put("Cpus", cpus);
    job.put("Gpus", gpus).put("RamGb", ramGb).put("Plumage", "img-1").put("ImageGb", 1.0);
    job.put("Together", false).put("Scatter", false).put("Driftwood", false);
    job.put("ReckonS", reckonS).put("MoultS", 0.0).put("StowS", 0.0);
    return job;
  }

  /** Sends a user's request to a node and records it with its answer. */
  Net.Response user(Controllers.Node node, String method, String path, String body, int timeoutMs) {
    Net.Response response = Net.call(node.publicPort, method, path, body, timeoutMs);
    Record.log("user %s %s %s -> %s", node.name, method, path,
        response == null ? "no answer" : response.status() + " " + response.body());
    return response;
  }

  /** Submits a job, at one node after another, until it is accepted; returns the status. */
  int submit(ObjectNode job, int timeoutS) throws InterruptedException {
    fleet.jobs.put(job.get("Uid").asText(), job);
    long endMs = Record.nowMs() + timeoutS * 1000L;
    int status = 0;
    for (int i = 0; Record.nowMs() < endMs; i++) {
      Controllers.Node node = controllers.nodes.get(i % controllers.nodes.size());
      Net.Response response = user(node, "POST", "/v2/runs", job.toString(), 5000);
      status = response == null ? 0 : response.status();
      if (status == 200 || status == 201 || status == 400 || status == 422) {
        return status;
      }
      Thread.sleep(1000);
    }
    return status;
  }

  boolean awaitPlaced(int tasks, int timeoutS) throws InterruptedException {
    long endMs = Record.nowMs() + timeoutS * 1000L;
    while (Record.nowMs() < endMs) {
      if (fleet.countPlaced() >= tasks) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Prints the result, ends all processes and exits: 1 broken, 0 held, 2 could not run. */
  void finish(int code, String text) {
    Record.log("RESULT %d %s", code, text);
    System.out.println("exit " + code + ": " + text);
    controllers.killAll();
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs in " + folder);
    } else {
      try (var files = Files.walk(folder)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      } catch (IOException e) {
        // The folder stays.
      }
    }
    System.out.flush();
    Runtime.getRuntime().halt(code);
  }
}
