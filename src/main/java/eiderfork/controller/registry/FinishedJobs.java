package eiderfork.controller.registry;

import com.google.common.collect.Iterables;
import java.util.LinkedHashMap;
import java.util.Map;

/** The terminal jobs without reservations in a leader's memory, oldest first. */
public final class FinishedJobs {
  /** A job, and the time when this leader learned that it is terminal and has no reservations. */
  public record FinishedJob(JobState job, long finishedMs) {}

  private final Map<String, FinishedJob> jobs = new LinkedHashMap<>();

  /** Adds a job that has just finished; a job that is already contained keeps its time. */
  void add(JobState job, long nowMs) {
    jobs.putIfAbsent(job.spec().uid(), new FinishedJob(job, nowMs));
  }

  /** Removes a job that is archived, evicted or active again. */
  public void remove(String uid) {
    jobs.remove(uid);
  }

  /** Removes all jobs. */
  void clear() {
    jobs.clear();
  }

  /** Returns whether the job is one of the finished jobs. */
  public boolean contains(JobState job) {
    return jobs.containsKey(job.spec().uid());
  }

  /** The number of finished jobs in memory. */
  public int size() {
    return jobs.size();
  }

  /** The finished jobs in the order in which they finished. */
  public Iterable<FinishedJob> oldestFirst() {
    return Iterables.unmodifiableIterable(jobs.values());
  }
}
