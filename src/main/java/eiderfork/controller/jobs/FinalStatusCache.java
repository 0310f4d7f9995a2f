package eiderfork.controller.jobs;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import eiderfork.model.JobStatus;

/**
 * A cache of the final job statuses that this node has seen. Final statuses never change, so
 * queries can be answered from the cache at any time, also while the store is unreachable.
 */
final class FinalStatusCache {
  /** The maximum number of entries, more than the number of jobs that users query at a time. */
  private static final int MAX_ENTRIES = 4096;

  private final Cache<String, JobStatus> cache =
      Caffeine.newBuilder().maximumSize(MAX_ENTRIES).executor(Runnable::run).build();

  /** Returns the final status of a job; null if it is not cached. */
  JobStatus get(String uid) {
    return cache.getIfPresent(uid);
  }

  /** Caches a status if it is final. */
  void putIfFinal(JobStatus status) {
    if (status.phase().isFinal()) {
      cache.put(status.uid(), status);
    }
  }
}
