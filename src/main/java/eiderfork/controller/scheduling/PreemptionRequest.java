package eiderfork.controller.scheduling;

import eiderfork.controller.quota.VictimPreference;
import eiderfork.controller.registry.JobState;

/**
 * What a search for preemption victims looks for.
 *
 * @param job the preemptor
 * @param maxImageWaitS how long its image may take to come to a machine
 * @param maxPreference the last kind of work among which victims are looked for
 */
record PreemptionRequest(JobState job, double maxImageWaitS, VictimPreference maxPreference) {
  /** The wait of a job that accepts any machine, however long its image takes. */
  static final double ANY_IMAGE_WAIT_S = Double.MAX_VALUE;

  /**
   * Whether tasks may be preempted, and not only replicas migrated. Where the job could run with a
   * longer wait for its image, the work of other jobs is worth more than that wait.
   */
  boolean canPreemptTasks() {
    return maxImageWaitS == ANY_IMAGE_WAIT_S;
  }
}
