package eiderfork.controller.scheduling;

/**
 * Which free capacity a search does not use.
 *
 * @param keepsGpuHeadroom whether free GPUs keep the CPUs that GPU work needs
 * @param excludesReclaimed whether recently reclaimed capacity is left to others
 */
record SearchConstraints(boolean keepsGpuHeadroom, boolean excludesReclaimed) {
  /** All free capacity is used. */
  static final SearchConstraints NONE = new SearchConstraints(false, false);

  /** Whether some free capacity is not used. */
  boolean isRestricted() {
    return keepsGpuHeadroom || excludesReclaimed;
  }
}
