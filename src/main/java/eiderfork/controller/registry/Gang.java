package eiderfork.controller.registry;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state that the tasks of a gang share. They are reserved together as one attempt and are
 * stopped together; no task starts again before all tasks of the previous attempt are known to have
 * ended.
 */
public final class Gang {
  /** The way in which the current attempt is being stopped. */
  private enum StopMode {
    NONE,
    /** Each task gets the time that it needs to save. */
    SAVING,
    IMMEDIATE
  }

  private static final Logger LOG = LoggerFactory.getLogger(Gang.class);

  private final JobState job;
  private StopMode stopMode = StopMode.NONE;

  Gang(JobState job) {
    this.job = job;
  }

  /** Returns whether no reservation of an earlier attempt is left, so that a new one may start. */
  public boolean canStartAttempt() {
    return job.reservations().isEmpty();
  }

  /** Records that a new attempt is reserved. */
  void onAttemptStarted() {
    stopMode = StopMode.NONE;
  }

  /**
   * Stops the remaining tasks immediately after one has ended without completing. They can't
   * continue, and their work since the last checkpoint is either lost or already saved, since a
   * task that has saved exits only once all tasks have saved.
   */
  void onTaskLost() {
    if (!job.reservations().isEmpty()) {
      LOG.info(
          "gang-task-lost job={} remainingTasks={}", job.spec().uid(), job.reservations().size());
    }
    stop(StopMode.IMMEDIATE);
  }

  /** Requests that all tasks save and stop, unless they are already being stopped. */
  public void requestSave() {
    if (stopMode == StopMode.NONE) {
      LOG.info("gang-save-requested job={}", job.spec().uid());
      stop(StopMode.SAVING);
    }
  }

  /** Stops a gang that has just written a checkpoint, without saving again. */
  public void stopAfterCheckpoint() {
    if (stopMode == StopMode.NONE) {
      LOG.info("gang-stopped-after-checkpoint job={}", job.spec().uid());
      stop(StopMode.IMMEDIATE);
    }
  }

  /** Revokes a stop request that was not yet sent to any machine. */
  void revokeStop() {
    stopMode = StopMode.NONE;
    job.reservations().values().forEach(Reservation::revokeStop);
  }

  /**
   * Handles the cloud's notice that it terminates one of the gang's machines in {@code noticeS}
   * seconds. The gang saves if there is enough time; otherwise it continues, since it may complete
   * before.
   */
  public void onTerminationNotice(double noticeS) {
    if (job.spec().checkpointIntervalS() > 0 && noticeS > job.spec().saveDurationS()) {
      requestSave();
    }
  }

  private void stop(StopMode mode) {
    stopMode = mode;
    for (Reservation reservation : job.reservations().values()) {
      reservation.requestStop();
      reservation.machine().requestCommand();
    }
  }

  /** The time that a task gets to save when it is stopped, in seconds. */
  double stopGraceS() {
    return stopMode == StopMode.SAVING ? job.spec().saveDurationS() : 0;
  }
}
