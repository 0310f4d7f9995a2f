package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.model.Resources;
import eiderfork.model.Team;
import java.util.HashMap;
import java.util.Map;

/** The usage of teams, including the tasks placed in the current round. */
final class RoundUsage {
  private final ControllerContext context;
  private final JobRegistry jobs;
  private final Map<String, Resources> usedByTeam = new HashMap<>();

  RoundUsage(ControllerContext context, JobRegistry jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  /** Begins a round, in which nothing is placed yet. */
  void reset() {
    usedByTeam.clear();
  }

  /** Returns the current usage of a team. */
  Resources used(String team) {
    Resources inRound = usedByTeam.get(team);
    return inRound == null ? jobs.resourceUsage().used(team) : inRound;
  }

  /** Records the usage of a team after some of its tasks were placed. */
  void record(String team, Resources used) {
    usedByTeam.put(team, used);
  }

  /** Returns whether the usage is within the team's limit; false for an unknown team. */
  boolean isWithinLimit(String teamName, Resources used) {
    Team team = context.settings.teams().get(teamName);
    return team != null && team.isWithinLimit(used);
  }
}
