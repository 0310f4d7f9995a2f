package review2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The rules ran_cancelled, ran_twice, not_done, went_back and forgotten, judged by what machines run
 * and what users were told.
 */
final class Checker {
  private final Record record;
  private final long cancelMs;
  private final Map<String, Job> jobs = new HashMap<>();

  /** The machines that each task is on. */
  private final Map<String, Set<String>> machinesByTask = new HashMap<>();

  private final Set<String> done = new LinkedHashSet<>();
  private final List<String> breaches = new ArrayList<>();
  private final Set<String> overdue = new LinkedHashSet<>();

  Checker(Record record, double cancelS) {
    this.record = record;
    cancelMs = (long) (1000 * cancelS);
  }

  synchronized void submitted(Job job) {
    jobs.putIfAbsent(job.uid, job);
  }

  synchronized Job job(String uid) {
    return jobs.get(uid);
  }

  /** A task is on a machine from now on. */
  synchronized void started(String machine, String task, long attempt) {
    Set<String> machines = machinesByTask.computeIfAbsent(task, key -> new LinkedHashSet<>());
    record.line("machine %s: task %s attempt %d starts", machine, task, attempt);
    Job job = jobs.get(task.substring(0, task.indexOf('/')));
    if (!machines.isEmpty()) {
      breach("ran_twice: task " + task + " starts on " + machine + " while it is on " + machines);
    }
    machines.add(machine);
    if (job.cancelledMs >= 0 && record.nowMs() - job.cancelledMs > cancelMs) {
      breach(
          String.format(
              "ran_cancelled: task %s starts on %s, %.1f s after its user was told that the job is"
                  + " cancelled",
              task, machine, (record.nowMs() - job.cancelledMs) / 1000.0));
    }
  }

  synchronized void stopped(String machine, String task, String how) {
    Set<String> machines = machinesByTask.get(task);
    if (machines != null && machines.remove(machine)) {
      record.line("machine %s: task %s is gone (%s)", machine, task, how);
    }
  }

  /** A task has completed; its result is kept. */
  synchronized void completed(String task) {
    done.add(task);
  }

  synchronized boolean isCompleted(String task) {
    return done.contains(task);
  }

  /** Judges an answer to a request that was sent at the given time. */
  synchronized void answered(Job job, int status, String stance, long requestedMs) {
    boolean denied = status == 404 || status == 400 || status == 422;
    if (denied && job.acceptedMs >= 0 && requestedMs >= job.acceptedMs) {
      breach("forgotten: " + job.uid + " gets " + status + " after it was accepted");
    }
    if (status != 200 && status != 201) {
      return;
    }
    if (job.acceptedMs < 0) {
      job.acceptedMs = record.nowMs();
    }
    if (job.finalStance != null
        && requestedMs >= job.finalMs
        && !stance.equals(job.finalStance)) {
      breach("went_back: " + job.uid + " was " + job.finalStance + " and is called " + stance);
    }
    if (stance.equals("aborted") && !job.cancelRequested) {
      breach("went_back: " + job.uid + " is called cancelled, which nobody asked for");
    }
    if (stance.equals("done")) {
      for (int i = 0; i < job.tasks; i++) {
        if (!done.contains(job.uid + "/" + i)) {
          breach("not_done: " + job.uid + " is called done before task " + i);
          break;
        }
      }
    }
    if (job.finalStance == null && (stance.equals("done") || stance.equals("aborted"))) {
      job.finalMs = record.nowMs();
      job.finalStance = stance;
      if (stance.equals("aborted")) {
        job.cancelledMs = record.nowMs();
      }
    }
  }

  /** Looks for tasks that are on a machine too long after their cancellation. */
  synchronized void tick() {
    machinesByTask.forEach(
        (task, machines) -> {
          Job job = jobs.get(task.substring(0, task.indexOf('/')));
          if (!machines.isEmpty()
              && job.cancelledMs >= 0
              && record.nowMs() - job.cancelledMs > cancelMs
              && overdue.add(task)) {
            breach("ran_cancelled: task " + task + " is still on " + machines);
          }
        });
  }

  synchronized int running(String uid) {
    int count = 0;
    for (var each : machinesByTask.entrySet()) {
      count += each.getKey().startsWith(uid + "/") && !each.getValue().isEmpty() ? 1 : 0;
    }
    return count;
  }

  /** The machines that a task is on. */
  synchronized Set<String> machines(String task) {
    return Set.copyOf(machinesByTask.getOrDefault(task, Set.of()));
  }

  private void breach(String text) {
    breaches.add(text);
    record.line("BROKEN %s", text);
  }

  synchronized List<String> breaches() {
    return List.copyOf(breaches);
  }
}
