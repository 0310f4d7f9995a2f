package eiderfork.controller.jobs;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import eiderfork.model.JobStatus;

/**
 * The final statuses that this node has seen. They never change, so queries are answered from here
 * at any time, also without the store.
 */
final class FinalStatusCache {
  /** More than users query at a time. */
  private static final int MAX_ENTRIES = 4096;

  private final Cache<String, JobStatus> cache =
      Caffeine.newBuilder().maximumSize(MAX_ENTRIES).executor(Runnable::run).build();

  /** The final status of a job; null where it is not known. */
  JobStatus get(String uid) {
    return cache.getIfPresent(uid);
  }

  /** Keeps a status that never changes again. */
  void putIfFinal(JobStatus status) {
    if (status.phase().isFinal()) {
      cache.put(status.uid(), status);
    }
  }
}
