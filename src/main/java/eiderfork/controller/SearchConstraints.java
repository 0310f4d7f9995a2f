package eiderfork.controller;

/**
 * Which free room a search leaves alone.
 *
 * @param sparesGpus free GPUs keep the processors that GPU work takes
 * @param borrows room that was reclaimed lately is not taken
 */
record SearchConstraints(boolean sparesGpus, boolean borrows) {
  /** All free room is taken. */
  static final SearchConstraints NONE = new SearchConstraints(false, false);

  /** Whether some room is left alone. */
  boolean any() {
    return sparesGpus || borrows;
  }
}
