package eiderfork.controller.autoscaling;

/** Why a machine is returned to the cloud. */
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

  /** The name in log lines. */
  @Override
  public String toString() {
    return logName;
  }
}
