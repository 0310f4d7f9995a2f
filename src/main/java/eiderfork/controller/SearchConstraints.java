package eiderfork.controller;

/**
 * Which free room a search leaves alone.
 *
 * @param keepsGpuHeadroom free GPUs keep the processors that GPU work takes
 * @param excludesReclaimed room that was reclaimed lately is not taken
 */
record SearchConstraints(boolean keepsGpuHeadroom, boolean excludesReclaimed) {
  /** All free room is taken. */
  static final SearchConstraints NONE = new SearchConstraints(false, false);

  /** Whether some room is left alone. */
  boolean isRestricted() {
    return keepsGpuHeadroom || excludesReclaimed;
  }
}
