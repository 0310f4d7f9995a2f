package review2;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** The controllers, started with the command of the deploy file. */
final class Controllers {
  private static final int FIRST_PORT = 20_000;
  private static final int PORTS = 12_000;

  private final Record record;
  private final Path directory;
  private final List<String> command;
  private final List<Process> processes = new ArrayList<>();
  final List<String> zones;
  final int[] publicPorts;
  final int[] peerPorts;

  /** Creates {@code zones.size()} controllers, the one with number i in the i-th zone given. */
  Controllers(Record record, Path directory, List<String> zones) throws IOException {
    this.record = record;
    this.directory = directory;
    this.zones = zones;
    String run = new TomlMapper().readTree(new File("deploy/service.toml")).path("run").asText();
    command = List.of(run.trim().split(" +"));
    publicPorts = new int[zones.size()];
    peerPorts = new int[zones.size()];
    Random random = new Random();
    for (int i = 0; i < zones.size(); i++) {
      publicPorts[i] = freePort(random);
      peerPorts[i] = freePort(random);
      processes.add(null);
    }
  }

  /** A free port below those that the system gives to outgoing connections. */
  private static int freePort(Random random) throws IOException {
    for (int i = 0; i < 1000; i++) {
      int port = FIRST_PORT + random.nextInt(PORTS);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (java.net.BindException e) {
        continue;
      }
    }
    throw new IOException("no free port");
  }

  String name(int number) {
    return "roost-" + number;
  }

  int size() {
    return zones.size();
  }

  private Path settings(int number) {
    return directory.resolve(name(number) + ".toml");
  }

  void writeSettings(int number, String text) throws IOException {
    Files.writeString(settings(number), text);
  }

  void start(int number) throws IOException {
    List<String> full = new ArrayList<>(command);
    full.add(settings(number).toString());
    ProcessBuilder builder = new ProcessBuilder(full);
    builder.environment().put("LOG_LEVEL", "info");
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.redirectError(
        ProcessBuilder.Redirect.appendTo(directory.resolve(name(number) + ".log").toFile()));
    synchronized (processes) {
      processes.set(number, builder.start());
    }
    record.line("controller %s started", name(number));
  }

  void kill(int number) {
    synchronized (processes) {
      if (processes.get(number) != null) {
        processes.get(number).destroyForcibly();
      }
    }
    record.line("controller %s killed", name(number));
  }

  /** Stops a process, or lets it continue. */
  void signal(int number, String signal) throws IOException, InterruptedException {
    Process process;
    synchronized (processes) {
      process = processes.get(number);
    }
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    record.line("controller %s gets SIG%s", name(number), signal);
  }

  boolean isAlive(int number) {
    synchronized (processes) {
      return processes.get(number) != null && processes.get(number).isAlive();
    }
  }

  /** Ends all processes. */
  void close() {
    synchronized (processes) {
      for (Process process : processes) {
        if (process != null) {
          process.destroyForcibly();
        }
      }
      for (Process process : processes) {
        try {
          if (process != null) {
            process.waitFor(5, TimeUnit.SECONDS);
          }
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  boolean isHealthy(int number) {
    return Http.once(publicPorts[number], "GET", "/healthz", null, 1000).status() == 200;
  }

  /** Lines of the controllers' logs that contain one of these texts. */
  List<String> logged(String... texts) throws IOException {
    List<String> found = new ArrayList<>();
    for (int i = 0; i < size(); i++) {
      Path log = directory.resolve(name(i) + ".log");
      if (Files.exists(log)) {
        for (String line : Files.readAllLines(log)) {
          for (String text : texts) {
            if (line.contains(text)) {
              found.add(name(i) + ": " + line);
              break;
            }
          }
        }
      }
    }
    return found;
  }
}
