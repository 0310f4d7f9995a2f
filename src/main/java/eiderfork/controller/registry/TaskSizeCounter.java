package eiderfork.controller.registry;

import eiderfork.model.Resources;
import it.unimi.dsi.fastutil.objects.Object2IntMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the tasks of each team by their size. Sums are computed from the counts, since sums of
 * decimal amounts drift when they are changed often.
 */
final class TaskSizeCounter {
  private final Map<String, Object2IntMap<Resources>> tasksByTeam = new HashMap<>();
  private final Map<String, Resources> sumByTeam = new HashMap<>();

  /** Forgets all tasks. */
  void clear() {
    tasksByTeam.clear();
    sumByTeam.clear();
  }

  /** Adds tasks of this size, or removes them where the change is negative. */
  void add(String team, Resources demand, int change) {
    Object2IntMap<Resources> tasks =
        tasksByTeam.computeIfAbsent(team, name -> new Object2IntOpenHashMap<>());
    add(tasks, demand, change);
    sumByTeam.remove(team);
  }

  /** Adds tasks of this size to a count, or removes them where the change is negative. */
  static void add(Object2IntMap<Resources> tasks, Resources demand, int change) {
    int now = tasks.getInt(demand) + change;
    if (now == 0) {
      tasks.removeInt(demand);
    } else {
      tasks.put(demand, now);
    }
  }

  /** The resources of all of the team's tasks. */
  Resources sum(String team) {
    return sumByTeam.computeIfAbsent(team, name -> sum(tasksByTeam.get(name)));
  }

  /** The resources of all counted tasks; none where there is no count. */
  static Resources sum(Object2IntMap<Resources> tasks) {
    Resources sum = Resources.NONE;
    if (tasks != null) {
      for (Object2IntMap.Entry<Resources> each : tasks.object2IntEntrySet()) {
        sum = sum.plus(each.getKey().times(each.getIntValue()));
      }
    }
    return sum;
  }
}
