package eiderfork.controller;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the tasks of a gang have in common. They are reserved together as one attempt, stop
 * together, and no task starts again before every task of the attempt before has surely ended.
 */
final class Gang {
  /** How the attempt under way is being stopped. */
  private enum Stop {
    NONE,
    /** Each task is given the time that it needs to save. */
    SAVING,
    IMMEDIATE
  }

  private static final Logger LOG = LoggerFactory.getLogger(Gang.class);

  private final JobState job;
  private Stop stop = Stop.NONE;

  Gang(JobState job) {
    this.job = job;
  }

  /** Whether nothing of an earlier attempt is left, so that a new one may be reserved. */
  boolean canStartAttempt() {
    return job.reservations.isEmpty();
  }

  /** A new attempt is reserved. */
  void onAttemptStarted() {
    stop = Stop.NONE;
  }

  /**
   * A task is gone without being done. The others can't go on, and what they did since the last
   * checkpoint is lost or saved already: a task that has saved exits only once all have.
   */
  void onTaskLost() {
    if (!job.reservations.isEmpty()) {
      LOG.info(
          "gang {}: a task has ended early, the other {} stop",
          job.spec.uid(),
          job.reservations.size());
    }
    stop(Stop.IMMEDIATE);
  }

  /** Saves the progress of a gang that has to leave a machine, or goes on with a save under way. */
  void requestSave() {
    if (stop == Stop.NONE) {
      LOG.info("gang {}: all tasks are told to save", job.spec.uid());
      stop(Stop.SAVING);
    }
  }

  /** Ends a gang that has just written a checkpoint, without another save. */
  void stopAfterCheckpoint() {
    if (stop == Stop.NONE) {
      LOG.info("gang {}: all tasks end after their checkpoint", job.spec.uid());
      stop(Stop.IMMEDIATE);
    }
  }

  /** Takes back a decision to save of which nothing was sent yet. */
  void revokeStop() {
    stop = Stop.NONE;
    job.reservations.values().forEach(Reservation::revokeStop);
  }

  /**
   * The cloud takes one of the gang's machines away in {@code noticeS}. The progress is saved where
   * there is time for it; otherwise the gang goes on, since it may be done before.
   */
  void onTerminationNotice(double noticeS) {
    if (job.spec.checkpointIntervalS() > 0 && noticeS > job.spec.saveDurationS()) {
      requestSave();
    }
  }

  private void stop(Stop how) {
    stop = how;
    for (Reservation task : job.reservations.values()) {
      task.requestStop();
      task.machine.requestCommand();
    }
  }

  /** The time that a task gets to save when it is told to stop. */
  double stopGraceS() {
    return stop == Stop.SAVING ? job.spec.saveDurationS() : 0;
  }
}
