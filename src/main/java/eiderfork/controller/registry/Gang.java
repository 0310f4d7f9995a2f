package eiderfork.controller.registry;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the tasks of a gang have in common. They are reserved together as one attempt and stop
 * together, and no task starts again before every task of the previous attempt has surely ended.
 */
public final class Gang {
  /** How the current attempt is being stopped. */
  private enum StopMode {
    NONE,
    /** Each task is given the time that it needs to save. */
    SAVING,
    IMMEDIATE
  }

  private static final Logger LOG = LoggerFactory.getLogger(Gang.class);

  private final JobState job;
  private StopMode stopMode = StopMode.NONE;

  Gang(JobState job) {
    this.job = job;
  }

  /** Whether nothing of an earlier attempt is left, so that a new one may be reserved. */
  public boolean canStartAttempt() {
    return job.reservations().isEmpty();
  }

  /** A new attempt is reserved. */
  void onAttemptStarted() {
    stopMode = StopMode.NONE;
  }

  /**
   * A task has ended without being done. The others can't go on, and what they did since the last
   * checkpoint is lost or saved already: a task that has saved exits only once all have.
   */
  void onTaskLost() {
    if (!job.reservations().isEmpty()) {
      LOG.info(
          "gang-task-lost job={} remainingTasks={}", job.spec().uid(), job.reservations().size());
    }
    stop(StopMode.IMMEDIATE);
  }

  /** Has all tasks save and stop, unless they are being stopped already. */
  public void requestSave() {
    if (stopMode == StopMode.NONE) {
      LOG.info("gang-save-requested job={}", job.spec().uid());
      stop(StopMode.SAVING);
    }
  }

  /** Stops a gang that has just written a checkpoint, without another save. */
  public void stopAfterCheckpoint() {
    if (stopMode == StopMode.NONE) {
      LOG.info("gang-stopped-after-checkpoint job={}", job.spec().uid());
      stop(StopMode.IMMEDIATE);
    }
  }

  /** Takes back a decision to stop of which nothing was sent yet. */
  void revokeStop() {
    stopMode = StopMode.NONE;
    job.reservations().values().forEach(Reservation::revokeStop);
  }

  /**
   * The cloud terminates one of the gang's machines in {@code noticeS}. The progress is saved where
   * there is time for it; otherwise the gang goes on, since it may be done before.
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

  /** The time that a task gets to save when it is stopped. */
  double stopGraceS() {
    return stopMode == StopMode.SAVING ? job.spec().saveDurationS() : 0;
  }
}
