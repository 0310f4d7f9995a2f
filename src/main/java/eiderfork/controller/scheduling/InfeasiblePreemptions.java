package eiderfork.controller.scheduling;

import com.google.common.collect.ImmutableSet;
import eiderfork.controller.quota.VictimPreference;
import eiderfork.model.Job;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.HashSet;
import java.util.Set;

/**
 * Caches the requests for which a round found no victims in a zone, so that jobs with the same
 * requirements are not searched for again in that round.
 */
final class InfeasiblePreemptions {
  /**
   * The properties of a request that determine whether victims are found.
   *
   * @param imageInTime the image that must arrive in time; null if any wait is accepted
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

  /** The requests recorded at some point in time. */
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

  /** Returns whether the zone is known to have no victims. */
  boolean contains(PreemptionRequest request, String zone) {
    return infeasible.contains(key(request, zone));
  }

  /** Records that no victims were found in the zone. */
  void add(PreemptionRequest request, String zone) {
    infeasible.add(key(request, zone));
  }

  /** Returns the current state for a later {@link #restore}. */
  Snapshot snapshot() {
    return new Snapshot(Set.copyOf(infeasible));
  }

  /** Discards the requests recorded after the snapshot. */
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
