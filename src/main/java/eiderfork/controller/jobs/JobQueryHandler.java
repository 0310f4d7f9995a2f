package eiderfork.controller.jobs;

import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.message.UserResponse;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.store.ReadBarrier;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Answers queries for a job's status, from memory behind a read barrier if memory is authoritative,
 * and from the store otherwise.
 */
final class JobQueryHandler {
  private static final UserResponse NO_SUCH_JOB = UserResponse.refused(404, "no such job");

  private final StoreClient store;
  private final JobRegistry jobs;
  private final ReadBarrier readBarrier;
  private final ClusterVersion version;
  private final StoredJobReader storedJobs;
  private final LoadShedder loadShedder;
  private final BooleanSupplier canAnswerFromMemory;

  /**
   * @param canAnswerFromMemory returns whether this node leads with a valid lease and has recovered
   */
  JobQueryHandler(
      StoreClient store,
      JobRegistry jobs,
      ReadBarrier readBarrier,
      ClusterVersion version,
      StoredJobReader storedJobs,
      LoadShedder loadShedder,
      BooleanSupplier canAnswerFromMemory) {
    this.store = store;
    this.jobs = jobs;
    this.readBarrier = readBarrier;
    this.version = version;
    this.storedJobs = storedJobs;
    this.loadShedder = loadShedder;
    this.canAnswerFromMemory = canAnswerFromMemory;
  }

  /** Answers with a status of the job that is no older than any answer of any node before. */
  void query(String uid, Consumer<UserResponse> onComplete) {
    JobState job = canAnswerFromMemory.getAsBoolean() ? jobs.get(uid) : null;
    if (job == null) {
      queryStored(uid, onComplete);
    } else if (!isCertainlyNotArchived(job)) {
      queryArchived(job, onComplete);
    } else if (job.isTerminal()) {
      onComplete.accept(UserResponse.ok(job.status()));
    } else if (job.writes().isCompletionInFlight()) {
      queryStored(uid, onComplete);
    } else {
      readBarrier.awaitCaughtUp(caughtUp -> onBarrierPassed(job, caughtUp, onComplete));
    }
  }

  private void onBarrierPassed(JobState job, boolean caughtUp, Consumer<UserResponse> onComplete) {
    String uid = job.spec().uid();
    if (caughtUp
        && canAnswerFromMemory.getAsBoolean()
        && jobs.get(uid) == job
        && !job.writes().isCompletionInFlight()) {
      onComplete.accept(UserResponse.ok(job.status()));
    } else {
      queryStored(uid, onComplete);
    }
  }

  /** Returns whether it is certain that no archived record of the job exists. */
  boolean isCertainlyNotArchived(JobState job) {
    return job.isKnownNotArchived() || !version.isMinimumVersion(ClusterVersion.ARCHIVED_JOBS);
  }

  /** Answers from the archived record, or from memory if the job turns out not to be archived. */
  private void queryArchived(JobState job, Consumer<UserResponse> onComplete) {
    if (loadShedder.rejectIfOverloaded(store.readWaitMs(), onComplete)) {
      return;
    }
    String uid = job.spec().uid();
    storedJobs.readArchivedStatus(
        uid,
        RequestPriority.READ,
        lookup -> {
          if (lookup instanceof JobLookup.NotFound) {
            job.confirmNotArchived();
            query(uid, onComplete);
            return;
          }
          if (lookup instanceof JobLookup.Found) {
            jobs.evict(job);
            jobs.removeStaleSpec(job);
          }
          onComplete.accept(lookup.toResponse(NO_SUCH_JOB));
        });
  }

  /**
   * Answers from the store. Memory may lag behind a peer that accepted the job, so only the store
   * can show that a job does not exist.
   */
  private void queryStored(String uid, Consumer<UserResponse> onComplete) {
    if (loadShedder.rejectIfOverloaded(store.readWaitMs(), onComplete)) {
      return;
    }
    storedJobs.readStatus(
        uid, RequestPriority.READ, lookup -> onComplete.accept(lookup.toResponse(NO_SUCH_JOB)));
  }
}
