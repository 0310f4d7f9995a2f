package eiderfork.controller;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import eiderfork.model.JobStatus;

/**
 * The jobs that this node has seen to be over. That never changes, so their state may be told at
 * any time, also without the state service.
 */
final class FinalStatusCache {
  /** More than users ask about at a time; one takes some hundred bytes. */
  private static final int MAX_ENTRIES = 4096;

  private final Cache<String, JobStatus> cache =
      Caffeine.newBuilder().maximumSize(MAX_ENTRIES).executor(Runnable::run).build();

  /** Null unless the job is known to be over. */
  JobStatus get(String uid) {
    return cache.getIfPresent(uid);
  }

  void putIfFinal(JobStatus status) {
    if (status.phase().isFinal()) {
      cache.put(status.uid(), status);
    }
  }
}
