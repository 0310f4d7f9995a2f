import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** All machines, the jobs' descriptions, and what is checked of the tasks on them. */
final class Fleet {
  final Map<String, JsonNode> jobs = new ConcurrentHashMap<>();
  final Map<String, Long> cancelledMs = new ConcurrentHashMap<>();
  final List<String> violations = new ArrayList<>();
  final List<Integer> publicPorts = new ArrayList<>();
  final List<String> nodeNames = new ArrayList<>();
  final Map<String, Integer> starts = new ConcurrentHashMap<>();
  private final Map<String, Worker> workers = new TreeMap<>();
  /** The tasks that are on a machine, each with that machine. */
  private final Map<String, String> placed = new HashMap<>();
  static final int MAX_BYTES = 64 * 1024;

  /** The number of tasks that have ended as done. */
  final java.util.concurrent.atomic.AtomicInteger done =
      new java.util.concurrent.atomic.AtomicInteger();

  /** Whether the sizes of messages are checked; then single tasks are not recorded. */
  boolean checkSizes;

  long reportMs = 1000;
  long leaseMs = 10_000;
  long cancelMs = 35_000;

  synchronized void add(Worker worker) {
    workers.put(worker.name, worker);
    worker.boot();
  }

  synchronized Worker get(String name) {
    return workers.get(name);
  }

  synchronized Collection<Worker> all() {
    return new ArrayList<>(workers.values());
  }

  synchronized int size() {
    return (int) workers.values().stream().filter(w -> w.goneMs == 0).count();
  }

  synchronized void violation(String rule, String text) {
    violations.add(rule);
    Record.log("VIOLATION %s %s", rule, text);
  }

  /** Checks the limit of 64 KiB, which holds for a request's body and for a line of a response. */
  void checkSize(String what, String message) {
    int longest = 0;
    for (String line : message.split("\n")) {
      longest = Math.max(longest, line.getBytes(java.nio.charset.StandardCharsets.UTF_8).length);
    }
    if (checkSizes && longest > MAX_BYTES) {
      violation("message_size", what + " has " + longest + " bytes: "
          + message.substring(0, 200) + "...");
    }
  }

  /** A task has its image on a machine. */
  synchronized void onMachine(String task, long attempt, Worker worker) {
    String other = placed.put(task, worker.name);
    starts.merge(task, 1, Integer::sum);
    if (!checkSizes || task.startsWith("run-000001/")) {
      Record.log("task-starts %s try=%d %s", task, attempt, worker.name);
    }
    if (other != null && !other.equals(worker.name)) {
      violation("ran_twice", task + " starts on " + worker.name + " while it is on " + other);
    }
    checkCancelled(task, worker);
  }

  synchronized void offMachine(String task, long attempt, Worker worker, String why) {
    placed.remove(task, worker.name);
    if (why.equals("done")) {
      done.incrementAndGet();
    }
    if (!checkSizes || task.startsWith("run-000001/")) {
      Record.log("task-ends %s try=%d %s %s", task, attempt, worker.name, why);
    }
  }

  synchronized void checkCancelled(String task, Worker worker) {
    Long since = cancelledMs.get(task.substring(0, task.indexOf('/')));
    if (since != null && Record.nowMs() - since > cancelMs) {
      violation("ran_cancelled", task + " on " + worker.name + " "
          + (Record.nowMs() - since) + " ms after the answer");
    }
  }

  synchronized int countPlaced() {
    return placed.size();
  }

  synchronized Map<String, String> placed() {
    return new HashMap<>(placed);
  }
}
