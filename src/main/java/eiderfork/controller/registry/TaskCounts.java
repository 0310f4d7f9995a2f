package eiderfork.controller.registry;

/**
 * How many tasks of a job count for its team.
 *
 * @param used all that count for the quota
 * @param stopping those of them that are stopping or cancelled
 * @param settled those of them that have ended, of which only the end is not committed yet
 */
record TaskCounts(int used, int stopping, int settled) {
  static final TaskCounts NONE = new TaskCounts(0, 0, 0);
}
