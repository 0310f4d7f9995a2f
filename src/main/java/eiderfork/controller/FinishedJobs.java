package eiderfork.controller;

import com.google.common.collect.Iterables;
import java.util.LinkedHashMap;
import java.util.Map;

/** The terminal jobs in a leader's memory of which nothing is reserved, oldest first. */
final class FinishedJobs {
  /** A job, and since when this leader knows that nothing of it is reserved. */
  record FinishedJob(JobState job, long finishedMs) {}

  private final Map<String, FinishedJob> jobs = new LinkedHashMap<>();

  void add(JobState job, long nowMs) {
    jobs.putIfAbsent(job.spec.uid(), new FinishedJob(job, nowMs));
  }

  void remove(String uid) {
    jobs.remove(uid);
  }

  void clear() {
    jobs.clear();
  }

  boolean contains(JobState job) {
    return jobs.containsKey(job.spec.uid());
  }

  int size() {
    return jobs.size();
  }

  /** All of them, the one that finished first in front. */
  Iterable<FinishedJob> oldestFirst() {
    return Iterables.unmodifiableIterable(jobs.values());
  }
}
