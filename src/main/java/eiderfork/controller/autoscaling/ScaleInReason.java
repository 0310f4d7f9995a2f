package eiderfork.controller.autoscaling;

/** The reason for which a machine is returned to the cloud. */
enum ScaleInReason {
  FAULTY("faulty"),
  BOOT_FAILED("boot-failed"),
  SILENT("silent"),
  COMMANDS_LOST("commands-lost"),
  DRAINED("drained"),
  IDLE("idle");

  private final String logName;

  ScaleInReason(String logName) {
    this.logName = logName;
  }

  /** Returns the name in log lines. */
  @Override
  public String toString() {
    return logName;
  }
}
