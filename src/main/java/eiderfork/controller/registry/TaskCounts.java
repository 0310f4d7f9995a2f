package eiderfork.controller.registry;

/**
 * The numbers of a job's tasks that count for its team's quota.
 *
 * @param used all tasks that count for the quota
 * @param stopping the used tasks that are stopping or cancelled
 * @param settled the used tasks that have ended but whose settlement is not committed yet
 */
record TaskCounts(int used, int stopping, int settled) {
  static final TaskCounts NONE = new TaskCounts(0, 0, 0);
}
