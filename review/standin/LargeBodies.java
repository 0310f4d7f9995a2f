import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users submit large jobs over slow links at the same time. Without the disruption the same
 * submissions come a few at a time. The platform ends a controller that holds too much memory.
 */
public final class LargeBodies {
  private static final int MEMORY_MB = 148;
  private static final int CONNECTIONS = 250;
  private static final int ROUNDS = 4;
  private static final int BODY_BYTES = 65_400;
  private static final int CHUNKS = 16;
  private static final int LINK_MS = 2000;

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
    setup.cloud.capacity = 4;
    for (int i = 0; i < 3; i++) {
      setup.addNode("almaty-tau", new State.Gate());
    }
    setup.controllers.writeSettings();
    for (Controllers.Node node : setup.controllers.nodes) {
      setup.controllers.start(node);
    }
    setup.controllers.awaitHealthy();
    setup.awaitLeader(20);
    int status = setup.submit(Setup.job("run-000001", "kozildirik", "zakaz-bolimi", "standing",
        "production", 4, 4, 1, 20, 0), 30);
    if (status != 201 && status != 200 || !setup.awaitPlaced(4, 30)) {
      throw new IllegalStateException("the service does not run");
    }
    Controllers.Node leader = setup.leader();
    Controllers.Node node =
        setup.controllers.nodes.stream().filter(each -> each != leader).findFirst().orElseThrow();
    Record.log("%s leads, users come to %s", leader.name, node.name);
    AtomicInteger most = new AtomicInteger();
    Net.daemon("platform", () -> watch(setup, node, most));
    int next = 1000;
    for (int round = 0; round < ROUNDS && node.process.isAlive(); round++) {
      int atOnce = Setup.TROUBLE ? CONNECTIONS : 25;
      for (int sent = 0; sent < CONNECTIONS && node.process.isAlive(); sent += atOnce) {
        submitAtOnce(setup, node, next, atOnce);
        next += atOnce;
      }
      Thread.sleep(1000);
    }
    boolean broken = most.get() > MEMORY_MB;
    setup.finish(broken ? 1 : 0, node.name + " held " + most + " MB, allowed are " + MEMORY_MB);
  }

  /** Ends the controller, as the platform does, once it holds more than its memory. */
  private static void watch(Setup setup, Controllers.Node node, AtomicInteger most) {
    try {
      while (node.process.isAlive()) {
        int heldMb = heldMb(node);
        if (heldMb > most.get()) {
          most.set(heldMb);
          Record.log("%s holds %d MB and has %d open files", node.name, heldMb,
              new java.io.File("/proc/" + node.pid() + "/fd").list().length);
        }
        if (heldMb > MEMORY_MB) {
          setup.fleet.violation("node_restarts", node.name + " is ended for memory: " + heldMb
              + " MB");
          setup.controllers.kill(node);
        }
        Thread.sleep(50);
      }
    } catch (IOException | InterruptedException e) {
      Record.log("not watched any more: %s", e);
    }
  }

  /** The memory of the process alone, without pages of files. */
  private static int heldMb(Controllers.Node node) throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + node.pid() + "/status"))) {
      if (line.startsWith("RssAnon:")) {
        return Integer.parseInt(line.replaceAll("[^0-9]", "")) / 1024;
      }
    }
    return 0;
  }

  private static void submitAtOnce(Setup setup, Controllers.Node node, int first, int count)
      throws InterruptedException {
    List<Thread> users = new ArrayList<>();
    AtomicInteger answered = new AtomicInteger();
    for (int i = 0; i < count; i++) {
      String uid = String.format("run-%06d", first + i);
      ObjectNode job = Setup.job(uid, "kozildirik-tasqyn", "zakaz-bolimi", "standing", "high", 1,
          4, 1, 20, 0);
      job.put("Note", "");
      job.put("Note", "x".repeat(BODY_BYTES - job.toString().length()));
      setup.fleet.jobs.put(uid, job);
      byte[] body = job.toString().getBytes(StandardCharsets.UTF_8);
      users.add(Net.daemon("user", () -> answered.addAndGet(submitSlowly(node, body))));
    }
    for (Thread user : users) {
      user.join();
    }
    Record.log("%d submissions of %d bytes at once to %s, %d answered", count, BODY_BYTES,
        node.name, answered.get());
  }

  /** Sends a submission in parts over two seconds; returns 1 if it is answered within 5 s. */
  private static int submitSlowly(Controllers.Node node, byte[] body) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(Net.HOST, node.publicPort), 2000);
      OutputStream out = socket.getOutputStream();
      String head = "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
          + "Content-Length: " + body.length + "\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      int chunk = body.length / CHUNKS + 1;
      for (int from = 0; from < body.length; from += chunk) {
        out.write(body, from, Math.min(chunk, body.length - from));
        out.flush();
        Thread.sleep(LINK_MS / CHUNKS);
      }
      socket.setSoTimeout(5000);
      return socket.getInputStream().read() >= 0 ? 1 : 0;
    } catch (IOException | InterruptedException e) {
      return 0;
    }
  }
}
