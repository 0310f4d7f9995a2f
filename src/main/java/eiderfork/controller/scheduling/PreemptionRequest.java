package eiderfork.controller.scheduling;

import eiderfork.controller.quota.VictimPreference;
import eiderfork.controller.registry.JobState;

/**
 * The parameters of a search for preemption victims.
 *
 * @param job the preemptor
 * @param maxImageWaitS the longest acceptable wait for the preemptor's image on a machine
 * @param maxPreference the last preference level to search for victims
 */
record PreemptionRequest(JobState job, double maxImageWaitS, VictimPreference maxPreference) {
  /** The maximum wait for a job that accepts any image wait. */
  static final double ANY_IMAGE_WAIT_S = Double.MAX_VALUE;

  /**
   * Returns whether tasks may be preempted in addition to migrating replicas. If the job could run
   * elsewhere with a longer image wait, that wait does not justify preempting the work of other
   * jobs.
   */
  boolean canPreemptTasks() {
    return maxImageWaitS == ANY_IMAGE_WAIT_S;
  }
}
