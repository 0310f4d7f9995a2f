package eiderfork.controller.registry;

import eiderfork.model.Resources;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the tasks of each team by their size. Sums are computed from the counts, since a sum of
 * decimal amounts that is updated often accumulates rounding errors.
 */
final class TaskSizeCounter {
  private final Map<String, Object2IntMap<Resources>> tasksByTeam = new HashMap<>();
  private final Map<String, Resources> sumByTeam = new HashMap<>();

  /** Removes all tasks. */
  void clear() {
    tasksByTeam.clear();
    sumByTeam.clear();
  }

  /** Adds tasks of this size, or removes them if the change is negative. */
  void add(String team, Resources demand, int change) {
    Object2IntMap<Resources> tasks =
        tasksByTeam.computeIfAbsent(team, name -> new Object2IntOpenHashMap<>());
    add(tasks, demand, change);
    sumByTeam.remove(team);
  }

  /** Adds tasks of this size to a count, or removes them if the change is negative. */
  static void add(Object2IntMap<Resources> tasks, Resources demand, int change) {
    int count = tasks.getInt(demand) + change;
    if (count == 0) {
      tasks.removeInt(demand);
    } else {
      tasks.put(demand, count);
    }
  }

  /** The total resources of the team's tasks. */
  Resources sum(String team) {
    return sumByTeam.computeIfAbsent(team, name -> sum(tasksByTeam.get(name)));
  }

  /** The total resources of all counted tasks; none if {@code tasks} is null. */
  static Resources sum(Object2IntMap<Resources> tasks) {
    Resources sum = Resources.NONE;
    if (tasks != null) {
      for (Object2IntMap.Entry<Resources> entry : tasks.object2IntEntrySet()) {
        sum = sum.plus(entry.getKey().times(entry.getIntValue()));
      }
    }
    return sum;
  }
}
