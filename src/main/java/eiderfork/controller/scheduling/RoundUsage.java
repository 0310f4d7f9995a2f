package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.model.Resources;
import eiderfork.model.Team;
import java.util.HashMap;
import java.util.Map;

/** What teams use, with what the scheduling round under way has placed for them. */
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

  /** What a team uses now. */
  Resources used(String team) {
    Resources inRound = usedByTeam.get(team);
    return inRound == null ? jobs.resourceUsage().used(team) : inRound;
  }

  /** Records what a team uses after some of its tasks were placed. */
  void record(String team, Resources used) {
    usedByTeam.put(team, used);
  }

  /** Whether a known team may use this much. */
  boolean isWithinLimit(String teamName, Resources used) {
    Team team = context.settings.teams().get(teamName);
    return team != null && team.isWithinLimit(used);
  }
}
