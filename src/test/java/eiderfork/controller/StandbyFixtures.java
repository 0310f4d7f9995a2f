package eiderfork.controller;

import eiderfork.config.Settings;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;

/** Settings with standbys and jobs, shared with tests in subpackages. */
public final class StandbyFixtures {
  private StandbyFixtures() {}

  /** Returns the default settings with this number of standbys. */
  public static Settings settings(int standbyCount) {
    return TestFixtures.withStandbys(TestFixtures.settings("roost-0"), standbyCount);
  }

  /** Returns the settings of one node of a cluster with these numbers of nodes and standbys. */
  public static Settings settings(String node, int nodeCount, int standbyCount) {
    Settings base = TestFixtures.settings("roost-0");
    return TestFixtures.withStandbys(
        TestFixtures.settings(node, base.workerTimings(), base.storeLimits(), 0.2, 160, nodeCount),
        standbyCount);
  }

  /** Returns a service of two replicas with this id. */
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
