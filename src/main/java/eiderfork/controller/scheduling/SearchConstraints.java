package eiderfork.controller.scheduling;

/**
 * Restrictions on the free capacity that a search may use.
 *
 * @param keepsGpuHeadroom whether free GPUs keep the CPUs that GPU work needs
 * @param excludesReclaimed whether recently reclaimed capacity is withheld
 */
record SearchConstraints(boolean keepsGpuHeadroom, boolean excludesReclaimed) {
  /** The search may use all free capacity. */
  static final SearchConstraints NONE = new SearchConstraints(false, false);

  /** Returns whether some free capacity is excluded. */
  boolean isRestricted() {
    return keepsGpuHeadroom || excludesReclaimed;
  }
}
