package eiderfork.loadtest;

import eiderfork.model.Job;
import java.util.HashMap;
import java.util.Map;

/** The jobs that users of a cell have uploaded, from which workers read how long tasks run. */
final class JobCatalog {
  /** A job, when its user first tried to submit it, and how long a task runs; 0 without end. */
  record Entry(Job job, LoadTestSettings.JobClass jobClass, long submittedMs, long taskMs) {}

  private final Map<String, Entry> entries = new HashMap<>();

  void add(Entry entry) {
    entries.put(entry.job().uid(), entry);
  }

  /** Null for a job that nobody has submitted. */
  Entry get(String uid) {
    return entries.get(uid);
  }
}
