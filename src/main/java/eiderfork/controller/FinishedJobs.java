package eiderfork.controller;

import com.google.common.collect.Iterables;
import java.util.LinkedHashMap;
import java.util.Map;

/** The jobs in a leader's memory that are over and of which no reservation is left. */
final class FinishedJobs {
  /** A job, and since when this leader knows that nothing of it is left. */
  record Ended(JobState entry, long sinceMs) {}

  private final Map<String, Ended> jobs = new LinkedHashMap<>();

  void add(JobState entry, long nowMs) {
    jobs.putIfAbsent(entry.job.uid(), new Ended(entry, nowMs));
  }

  void remove(String uid) {
    jobs.remove(uid);
  }

  void clear() {
    jobs.clear();
  }

  boolean contains(JobState entry) {
    return jobs.containsKey(entry.job.uid());
  }

  int size() {
    return jobs.size();
  }

  /** All of them, the one that ended first in front. */
  Iterable<Ended> oldestFirst() {
    return Iterables.unmodifiableIterable(jobs.values());
  }
}
