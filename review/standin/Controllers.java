import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The real controllers: their settings files, ports and processes. */
final class Controllers {
  /** One controller; its address stays the same over restarts. */
  static final class Node {
    final int number;
    final String name;
    final String zone;
    final int publicPort;
    final int peerPort;
    final int statePort;
    final State.Gate gate;
    Process process;
    int starts;
    volatile boolean meantToEnd;
    Path settings;
    Path log;

    Node(int number, String zone, State.Gate gate) throws IOException {
      this.number = number;
      this.name = "roost-" + number;
      this.zone = zone;
      this.gate = gate;
      publicPort = Net.freePort();
      peerPort = Net.freePort();
      statePort = Net.freePort();
    }

    long pid() {
      return process.pid();
    }
  }

  final Path root;
  final Path folder;
  final List<Node> nodes = new ArrayList<>();
  private final String deployment;
  private final int cloudPort;

  /** The port at which a node reaches each other node; by default the node's own. */
  interface PeerPorts {
    int port(Node from, Node to);
  }

  PeerPorts peerPorts = (from, to) -> to.peerPort;

  Controllers(Path root, Path folder, String deployment, int cloudPort) {
    this.root = root;
    this.folder = folder;
    this.deployment = deployment;
    this.cloudPort = cloudPort;
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  Node add(String zone, State state, State.Gate gate) throws IOException {
    Node node = new Node(nodes.size(), zone, gate);
    nodes.add(node);
    state.listen(node.statePort, node.name, gate);
    return node;
  }

  void writeSettings() throws IOException {
    for (Node node : nodes) {
      StringBuilder text = new StringBuilder();
      text.append("host_name = \"" + node.name + "\"\nzone = \"" + node.zone + "\"\n");
      text.append("public_addr = \"127.0.0.1:" + node.publicPort + "\"\n");
      text.append("peer_listen = \"127.0.0.1:" + node.peerPort + "\"\n");
      for (Node other : nodes) {
        if (other != node) {
          text.append("[[others]]\nhost_name = \"" + other.name + "\"\nzone = \"" + other.zone);
          text.append("\"\nendpoint = \"127.0.0.1:" + peerPorts.port(node, other) + "\"\n");
        }
      }
      text.append("[endpoints]\ncloud = \"127.0.0.1:" + cloudPort + "\"\n");
      text.append("state = \"127.0.0.1:" + node.statePort + "\"\n");
      text.append(deployment);
      node.settings = folder.resolve(node.name + ".toml");
      node.log = folder.resolve(node.name + ".log");
      Files.writeString(node.settings, text);
    }
  }

  /** The command line of the deploy file. */
  private List<String> command() throws IOException {
    String deploy = Files.readString(root.resolve("deploy/service.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no run in the deploy file");
    }
    return new ArrayList<>(Arrays.asList(run.group(1).trim().split("\\s+")));
  }

  void start(Node node) throws IOException {
    start(node, 0);
  }

  /** Starts a node; with maxOpenFiles, its process alone gets that limit on open files. */
  void start(Node node, int maxOpenFiles) throws IOException {
    List<String> command = command();
    command.add(node.settings.toString());
    if (maxOpenFiles > 0) {
      command.addAll(0, List.of("sh", "-c", "ulimit -n " + maxOpenFiles + "; exec \"$0\" \"$@\""));
    }
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(node.log.toFile()));
    node.meantToEnd = false;
    node.process = builder.start();
    node.starts++;
    Record.log("start %s pid=%d", node.name, node.pid());
    Process started = node.process;
    started.onExit().thenRun(() -> {
      if (!node.meantToEnd || started != node.process) {
        Record.log("ended-by-itself %s exit=%d", node.name, started.exitValue());
      }
    });
  }

  void kill(Node node) throws InterruptedException {
    node.meantToEnd = true;
    node.process.destroyForcibly();
    node.process.waitFor();
    Record.log("kill %s", node.name);
  }

  void signal(Node node, String name) throws IOException, InterruptedException {
    Record.log("signal %s %s", name, node.name);
    new ProcessBuilder("kill", "-" + name, Long.toString(node.pid())).start().waitFor();
  }

  void killAll() {
    for (Node node : nodes) {
      if (node.process != null) {
        node.meantToEnd = true;
        node.process.destroyForcibly();
      }
    }
  }

  /** Returns whether the health check of a node is answered with 200. */
  boolean isHealthy(Node node) {
    Net.Response response = Net.call(node.publicPort, "GET", "/healthz", "", 1000);
    return response != null && response.status() == 200;
  }

  void awaitHealthy() throws InterruptedException {
    long endMs = Record.nowMs() + 20_000;
    for (Node node : nodes) {
      while (!isHealthy(node)) {
        if (Record.nowMs() > endMs) {
          throw new IllegalStateException(node.name + " does not get healthy");
        }
        Thread.sleep(100);
      }
    }
  }
}
