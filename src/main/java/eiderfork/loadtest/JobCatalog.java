package eiderfork.loadtest;

import eiderfork.model.Job;
import java.util.HashMap;
import java.util.Map;

/** The jobs submitted by the users of a cell; workers look up task run times here. */
final class JobCatalog {
  /** A job, the time of its first submission, and the run time of its tasks (0 if unlimited). */
  record Entry(Job job, LoadTestSettings.JobClass jobClass, long submittedMs, long taskMs) {}

  private final Map<String, Entry> entries = new HashMap<>();

  void add(Entry entry) {
    entries.put(entry.job().uid(), entry);
  }

  /** Returns the entry of a job, or null if no user has submitted it. */
  Entry get(String uid) {
    return entries.get(uid);
  }
}
