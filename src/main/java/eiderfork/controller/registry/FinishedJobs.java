package eiderfork.controller.registry;

import com.google.common.collect.Iterables;
import java.util.LinkedHashMap;
import java.util.Map;

/** The terminal jobs in a leader's memory of which nothing is reserved, oldest first. */
public final class FinishedJobs {
  /** A job, and since when this leader knows that nothing of it is reserved. */
  public record FinishedJob(JobState job, long finishedMs) {}

  private final Map<String, FinishedJob> jobs = new LinkedHashMap<>();

  /** Adds a job that has just finished; one that is known keeps its time. */
  void add(JobState job, long nowMs) {
    jobs.putIfAbsent(job.spec().uid(), new FinishedJob(job, nowMs));
  }

  /** Removes a job that is archived, evicted or active again. */
  public void remove(String uid) {
    jobs.remove(uid);
  }

  /** Forgets all jobs. */
  void clear() {
    jobs.clear();
  }

  /** Whether the job is known to have finished. */
  public boolean contains(JobState job) {
    return jobs.containsKey(job.spec().uid());
  }

  /** How many finished jobs are in memory. */
  public int size() {
    return jobs.size();
  }

  /** All of them, the one that finished first in front. */
  public Iterable<FinishedJob> oldestFirst() {
    return Iterables.unmodifiableIterable(jobs.values());
  }
}
