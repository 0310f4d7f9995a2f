package eiderfork.controller;

import eiderfork.config.Settings;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;

/** Settings with standbys, for the tests of the packages below this one, too. */
public final class StandbyFixtures {
  private StandbyFixtures() {}

  /** The usual settings with so many standbys. */
  public static Settings settings(int standbys) {
    return TestFixtures.withStandbys(TestFixtures.settings("roost-0"), standbys);
  }

  /** The settings of a node of a cluster of so many in two zones. */
  public static Settings settings(String node, int nodes, int standbys) {
    Settings like = TestFixtures.settings("roost-0");
    return TestFixtures.withStandbys(
        TestFixtures.settings(node, like.workerTimings(), like.storeLimits(), 0.2, 160, nodes),
        standbys);
  }

  /** A service with this id. */
  public static Job job(String uid) {
    Job template = TestFixtures.job(1, JobKind.SERVICE, 2, 1, "blue", Priority.HIGH, false, false);
    return new Job(
        uid,
        template.jobClass(),
        template.team(),
        template.kind(),
        template.priority(),
        template.tasks(),
        template.taskResources(),
        null,
        null,
        false,
        false,
        false,
        template.image(),
        template.imageGb(),
        0,
        0,
        0,
        null);
  }
}
