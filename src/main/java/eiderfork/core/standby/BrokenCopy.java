package eiderfork.core.standby;

/** The copy can't be proved to be what is committed; the message says why. */
final class BrokenCopy extends Exception {
  private static final long serialVersionUID = 1;

  BrokenCopy(String why) {
    super(why);
  }
}
