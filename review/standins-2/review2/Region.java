package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;

/** A small deployment: controllers as processes of their own, all else as stand-ins. */
final class Region implements Cloud.Machines, AutoCloseable {
  /** What a case chooses. */
  record Settings(
      List<String> nodeZones,
      String site,
      String settingsTail,
      double reportS,
      double leaseS,
      double cancelS,
      double listLagS,
      int machinesPerZone) {}

  final Record record;
  final Checker checker;
  final Controllers controllers;
  final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Settings settings;
  private final Path directory;
  private final State state = new State();
  private final Cloud cloud;
  private final List<String> zones;
  private final Random random = new Random(1);
  private final Thread closing = new Thread(this::end);

  /** For each zone, the ports at which its hosts reach the controllers. */
  private final Map<String, int[]> publicPortsFrom = new HashMap<>();

  /** The zone whose network to the other zone is interrupted; null for none. */
  volatile String cutOff;

  /** The controllers whose packets to and from the state service are held back. */
  final java.util.Set<Integer> withoutState = java.util.concurrent.ConcurrentHashMap.newKeySet();

  private volatile Worker.ReportListener listener = (worker, to, body) -> {};

  Region(Path recordFile, Settings settings) throws IOException {
    this.settings = settings;
    record = new Record(recordFile);
    directory = Files.createTempDirectory("review");
    checker = new Checker(record, settings.cancelS());
    zones = settings.nodeZones().stream().distinct().toList();
    controllers = new Controllers(record, directory, settings.nodeZones());
    cloud = new Cloud(record, this, zones, settings.machinesPerZone(), settings.listLagS(), 1500);
    Runtime.getRuntime().addShutdownHook(closing);
    for (String zone : zones) {
      int[] ports = new int[controllers.size()];
      for (int i = 0; i < ports.length; i++) {
        ports[i] = controllers.publicPorts[i];
        if (!controllers.zones.get(i).equals(zone)) {
          String name = zone + "->" + controllers.name(i);
          ports[i] = new Link(ports[i], this::isInterrupted, name, record).port();
        }
      }
      publicPortsFrom.put(zone, ports);
    }
    for (int i = 0; i < controllers.size(); i++) {
      controllers.writeSettings(i, settingsOf(i));
    }
  }

  private boolean isInterrupted() {
    return cutOff != null;
  }

  private String settingsOf(int self) throws IOException {
    StringBuilder text = new StringBuilder();
    String zone = controllers.zones.get(self);
    text.append("host_name = \"" + controllers.name(self) + "\"\nzone = \"" + zone + "\"\n");
    text.append("public_addr = \"127.0.0.1:" + controllers.publicPorts[self] + "\"\n");
    text.append("peer_listen = \"127.0.0.1:" + controllers.peerPorts[self] + "\"\n");
    for (int i = 0; i < controllers.size(); i++) {
      if (i != self) {
        int port = controllers.peerPorts[i];
        if (!controllers.zones.get(i).equals(zone)) {
          String name = controllers.name(self) + "->" + controllers.name(i);
          port = new Link(port, this::isInterrupted, name, record).port();
        }
        text.append("[[others]]\nhost_name = \"" + controllers.name(i) + "\"\n");
        text.append("zone = \"" + controllers.zones.get(i) + "\"\n");
        text.append("endpoint = \"127.0.0.1:" + port + "\"\n");
      }
    }
    text.append("[endpoints]\ncloud = \"127.0.0.1:" + cloud.port() + "\"\n");
    Link stateLink =
        new Link(
            state.port(), () -> withoutState.contains(self), "->state of " + self, record);
    text.append("state = \"127.0.0.1:" + stateLink.port() + "\"\n");
    return text.append(settings.settingsTail()).toString();
  }

  void setListener(Worker.ReportListener reportListener) {
    listener = reportListener;
  }

  @Override
  public synchronized String create(String name, String breed, String zone, boolean spot)
      throws IOException {
    List<Worker.Node> nodes = new ArrayList<>();
    for (int i = 0; i < controllers.size(); i++) {
      nodes.add(new Worker.Node(controllers.name(i), publicPortsFrom.get(zone)[i]));
    }
    Worker worker =
        new Worker(
            name,
            breed,
            zone,
            spot,
            nodes,
            16,
            settings.reportS(),
            settings.leaseS(),
            record,
            checker,
            random.nextLong());
    // Only the leader contacts workers; commands to the zone that is cut off from it are held.
    Link link = new Link(worker.port(), () -> zone.equals(cutOff), "->" + name, record);
    worker.setAddress("127.0.0.1:" + link.port());
    worker.setListener((from, to, body) -> listener.sent(from, to, body));
    workers.put(name, worker);
    return "127.0.0.1:" + link.port();
  }

  @Override
  public void up(String name) {
    Worker worker;
    synchronized (this) {
      worker = workers.get(name);
    }
    if (worker != null) {
      worker.start();
    }
  }

  @Override
  public synchronized void gone(String name) {
    workers.remove(name).stop();
  }

  synchronized List<Worker> workers() {
    return List.copyOf(workers.values());
  }

  void startAll() throws IOException {
    for (int i = 0; i < controllers.size(); i++) {
      controllers.start(i);
    }
  }

  /** Waits until the condition holds; returns whether it did in time. */
  boolean await(long seconds, java.util.function.BooleanSupplier condition)
      throws InterruptedException {
    long endMs = record.nowMs() + 1000 * seconds;
    while (record.nowMs() < endMs) {
      if (condition.getAsBoolean()) {
        return true;
      }
      Thread.sleep(50);
    }
    return condition.getAsBoolean();
  }

  State state() {
    return state;
  }

  boolean allHealthy() {
    for (int i = 0; i < controllers.size(); i++) {
      if (!controllers.isHealthy(i)) {
        return false;
      }
    }
    return true;
  }

  /** The number of the controller that the workers are answered by; -1 if they disagree. */
  int leader() {
    String name = null;
    for (Worker worker : workers()) {
      if (worker.answeredBy() == null || name != null && !name.equals(worker.answeredBy())) {
        return -1;
      }
      name = worker.answeredBy();
    }
    return name == null ? -1 : Integer.parseInt(name.substring("roost-".length()));
  }

  /** A healthy controller, as the load balancer chooses one. */
  private int pick() {
    int first = random.nextInt(controllers.size());
    for (int i = 0; i < controllers.size(); i++) {
      int number = (first + i) % controllers.size();
      if (controllers.isAlive(number)) {
        return number;
      }
    }
    return first;
  }

  /** Submits a job, with retries; returns whether it was accepted. */
  boolean submit(Job job) throws InterruptedException {
    checker.submitted(job);
    for (int i = 0; i < 30; i++) {
      int number = pick();
      long sentMs = record.nowMs();
      Http.Response response =
          Http.once(controllers.publicPorts[number], "POST", "/v2/runs", job.body(), 5000);
      record.line(
          "user: submits %s to %s: %d %s",
          job.uid, controllers.name(number), response.status(), response.text());
      String stance = stance(response);
      checker.answered(job, response.status(), stance, sentMs);
      if (response.status() == 200 || response.status() == 201) {
        job.accepted = true;
        return true;
      }
      if (response.status() == 400 || response.status() == 422) {
        return false;
      }
      String after = response.headers().get("retry-after");
      Thread.sleep(after == null ? 1000 : Math.max(1000, Math.min(30, Long.parseLong(after)) * 1000));
    }
    return false;
  }

  /** Cancels a job, with retries; returns whether its user was told that it is cancelled. */
  boolean cancel(Job job) throws InterruptedException {
    for (int i = 0; i < 30; i++) {
      int number = pick();
      long sentMs = record.nowMs();
      job.cancelRequested = true;
      Http.Response response =
          Http.once(
              controllers.publicPorts[number], "POST", "/v2/runs/" + job.uid + "/abort", "{}", 5000);
      record.line(
          "user: cancels %s at %s: %d %s",
          job.uid, controllers.name(number), response.status(), response.text());
      if (response.status() == 200) {
        checker.answered(job, 200, stance(response), sentMs);
        return stance(response).equals("aborted");
      }
      Thread.sleep(1000);
    }
    return false;
  }

  /** Asks a controller for a job's state; returns the status. */
  int query(Job job, int number) {
    long sentMs = record.nowMs();
    Http.Response response =
        Http.once(controllers.publicPorts[number], "GET", "/v2/runs/" + job.uid, null, 2000);
    String stance = stance(response);
    if (!stance.equals(job.lastStance) || response.status() != 200) {
      job.lastStance = stance;
      record.line(
          "user: asks %s for %s, %d ms ago: %d %s",
          controllers.name(number), job.uid, record.nowMs() - sentMs, response.status(),
          response.text());
    }
    checker.answered(job, response.status(), stance, sentMs);
    return response.status();
  }

  private static String stance(Http.Response response) {
    try {
      return Server.JSON.readTree(response.body()).path("Stance").asText();
    } catch (IOException e) {
      return "";
    }
  }

  private void end() {
    controllers.close();
    try (Stream<Path> files = Files.walk(directory)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    } catch (IOException e) {
      System.err.println("the temporary folder could not be removed: " + e);
    }
  }

  @Override
  public void close() {
    Runtime.getRuntime().removeShutdownHook(closing);
    end();
    record.close();
  }
}
