package eiderfork.controller.scheduling;

import com.google.common.collect.ImmutableSet;
import eiderfork.controller.quota.VictimPreference;
import eiderfork.model.Job;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.HashSet;
import java.util.Set;

/**
 * Requests for which a round has found no victims, zone by zone. Jobs with the same needs are not
 * searched for again in that round.
 */
final class InfeasiblePreemptions {
  /**
   * All of a request that decides whether victims are found.
   *
   * @param imageInTime the image that must come in time; null where any wait is accepted
   */
  private record Key(
      Resources demand,
      Priority priority,
      ImmutableSet<String> allowedTypes,
      boolean spotAllowed,
      String zone,
      String imageInTime,
      Object preemptorKey,
      VictimPreference maxPreference) {}

  /** What was recorded at some time. */
  static final class Snapshot {
    private final Set<Key> keys;

    private Snapshot(Set<Key> keys) {
      this.keys = keys;
    }
  }

  private final PreemptionPolicy policy;
  private final Set<Key> infeasible = new HashSet<>();

  InfeasiblePreemptions(PreemptionPolicy policy) {
    this.policy = policy;
  }

  /** Whether no victims are to be found in the zone. */
  boolean contains(PreemptionRequest request, String zone) {
    return infeasible.contains(key(request, zone));
  }

  /** Records that no victims were found in the zone. */
  void add(PreemptionRequest request, String zone) {
    infeasible.add(key(request, zone));
  }

  /** What is recorded now, to be restored by {@link #restore}. */
  Snapshot snapshot() {
    return new Snapshot(Set.copyOf(infeasible));
  }

  /** Forgets what was recorded since the snapshot was taken. */
  void restore(Snapshot snapshot) {
    infeasible.retainAll(snapshot.keys);
  }

  private Key key(PreemptionRequest request, String zone) {
    Job spec = request.job().spec();
    return new Key(
        spec.taskResources(),
        spec.priority(),
        spec.allowedTypes(),
        spec.spotAllowed(),
        zone,
        request.canPreemptTasks() ? null : spec.image(),
        policy.preemptorKey(request.job()),
        request.maxPreference());
  }
}
