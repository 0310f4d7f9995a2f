package eiderfork.core;

/** In what order calls to the state service go out when not all can. */
enum Urgency {
  LEASE,
  ABORT,
  /** Rents and returns: few, held down by the cloud's limit, and a boot's time ahead of starts. */
  FLEET,
  SUBMIT,
  START,
  DONE,
  READ
}
