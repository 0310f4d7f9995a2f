package eiderfork.controller;

import eiderfork.config.Settings.Objective;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Resources;
import eiderfork.model.Team;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides what runs where: in rounds, the most urgent job first, the fullest fit. */
final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

  /** How many machines a whole core looks at in a second, for a job each; a low estimate. */
  private static final double EXAMINED_PER_CORE_S = 1_000_000;

  /**
   * The share of a step that the searches of a round may take; past it each further job looks at a
   * sample of machines only.
   */
  private static final double SEARCH_SHARE = 0.1;

  private final ControllerContext context;
  private final LeaderElection term;
  private final StoreClient gate;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final ClusterVersion version;
  private final FairShareOrder ranking;
  private final ImageFetchEstimator imageFetch;
  private final DeadlineEstimator deadlines;

  private final Map<String, Resources> usedByTeam = new HashMap<>();
  private final FreeCapacity room;
  private final DispatchEligibility turns;
  private final ArrayParallelism waves;
  private final GangScheduler gangPlacer;
  private final GpuHeadroom spared;
  private final QuotaBorrowing lending;

  /** Before this time no room is made, since making it has taken its share of the processor. */
  private long makeRoomNotBeforeMs;

  private final double fullSearchMost;

  Scheduler(
      ControllerContext context,
      LeaderElection term,
      StoreClient gate,
      JobRegistry jobs,
      MachineRegistry fleet,
      MachineLiveness liveness,
      ClusterVersion version) {
    this.context = context;
    this.term = term;
    this.gate = gate;
    this.jobs = jobs;
    this.fleet = fleet;
    this.liveness = liveness;
    this.version = version;
    deadlines = new DeadlineEstimator(context, fleet);
    ranking = new FairShareOrder(context, deadlines);
    imageFetch = new ImageFetchEstimator(context, fleet);
    fullSearchMost =
        EXAMINED_PER_CORE_S
            * context.settings.controller().cpuShare()
            * context.stepS()
            * SEARCH_SHARE;
    BorrowedCapacity loans = new BorrowedCapacity(context, jobs, fleet);
    boolean lends = context.settings.operator().lending();
    room =
        new FreeCapacity(
            fleet, liveness::usable, lends ? liveness::keepsClaims : liveness::usable, loans);
    lending = new QuotaBorrowing(context, jobs, fleet, liveness, deadlines, room, loans);
    turns = new DispatchEligibility(context, gate, jobs);
    waves = new ArrayParallelism(context);
    spared = new GpuHeadroom(context);
    gangPlacer = new GangScheduler(jobs, room, context.random, fullSearchMost);
  }

  /** The balance of processors and GPUs that the jobs ask for. */
  CpusPerGpu gpuBalance() {
    return jobs.tally().balance();
  }

  /** How long tasks wait for their images. */
  ImageFetchEstimator imageFetch() {
    return imageFetch;
  }

  /** How many looks at a machine the last round took. */
  int examined() {
    return room.examined();
  }

  /**
   * One round: each changed job is written once. What only ended waits until the job was not
   * written for a while, so that the writes of one job do not follow each of its tasks.
   *
   * @return whether something was left for a later round
   */
  boolean round() {
    boolean left = false;
    List<JobState> ranked = ranked();
    room.begin(context.nowMs);
    boolean collecting = ranked.stream().anyMatch(turns::collectsStarts);
    if (ranked.stream().noneMatch(turns::mayPlace)) {
      // Only ends are to be written.
      for (JobState entry : ranked) {
        left |= turns.writeEnds(entry);
      }
      return left || collecting;
    }
    spared.begin(ranked);
    PreemptionPolicy stops = lending.stops(gpuBalance());
    PreemptionPlanner preemption =
        new PreemptionPlanner(context, jobs, room, imageFetch, gpuBalance(), stops, fullSearchMost);
    for (JobState entry : ranked) {
      int before = entry.placed.size();
      if (turns.mayWrite(entry) && turns.mayPlace(entry)) {
        if (entry.gang == null) {
          SearchConstraints limits =
              new SearchConstraints(spared.isFrom(entry), lending.borrows(entry));
          place(entry, preemption, limits, stops.mayTakeForArray(entry));
        } else {
          placeGang(entry, preemption, new SearchConstraints(false, lending.borrows(entry)));
        }
      }
      if (entry.placed.size() > before) {
        jobs.write(entry, DispatchEligibility.startUrgency(entry));
      } else {
        left |= turns.writeEnds(entry);
      }
    }
    makeRoomNotBeforeMs =
        Math.max(
            makeRoomNotBeforeMs,
            context.nowMs + (long) (preemption.examined() / fullSearchMost * context.stepMs()));
    return left || collecting;
  }

  /** The jobs with something to do, the most urgent first. */
  List<JobState> ranked() {
    usedByTeam.clear();
    return ranking.rank(jobs);
  }

  /** What a team uses, with what this round has placed for it. */
  private Resources used(String team) {
    Resources changed = usedByTeam.get(team);
    return changed == null ? jobs.tally().used(team) : changed;
  }

  /** Forgets what belongs to a term that is over. */
  void clear() {
    room.clear();
    lending.clear();
    makeRoomNotBeforeMs = 0;
  }

  /** Does what is due between rounds. */
  void tick() {
    lending.tick();
  }

  private void place(
      JobState entry,
      PreemptionPlanner preemption,
      SearchConstraints limits,
      boolean mayTakeForArray) {
    if (surelyFindsNothing(entry, mayTakeForArray)) {
      return;
    }
    Job job = entry.job;
    Team team = context.settings.teams().get(job.team());
    Map<String, Integer> perZone = PlacementConstraints.zonesOf(entry);
    Resources used = used(job.team());
    List<FreeCapacity.Claim> own = room.takeClaims(entry);
    boolean noRoom = false;
    int startable = waves.startable(entry);
    long attempt = entry.nextAttempt();
    AllocationSizeLimit stored = allocRoom(entry);
    MachineScorer score = new MachineScorer(context, imageFetch, gpuBalance(), deadlines, entry);
    MachineSearch search =
        new MachineSearch(
            room, score, context.random, fullSearchMost, entry, perZone, own.isEmpty(), limits);
    for (int index = entry.firstToTry(context.nowMs);
        index >= 0;
        index = entry.nextToTry(index, context.nowMs)) {
      if (startable-- <= 0 || team == null || !team.withinLimit(used.plus(job.need()))) {
        break;
      }
      MachineState m = search.best();
      if (m != null && !stored.fits(index, attempt, m.name)) {
        break;
      }
      if (m == null || (late(job, m) && waitsForBetter(entry, own, preemption, perZone))) {
        noRoom = m == null && !search.sampled;
        break;
      }
      if (LOG.isDebugEnabled()) {
        LOG.debug(
            "{}/{} of {} to {}, image in {} s",
            job.uid(),
            index,
            job.jobClass(),
            m.name,
            imageFetch.waitS(job, m));
      }
      jobs.propose(entry, index, attempt, m);
      stored.add(index, attempt, m.name);
      own.removeIf(claim -> claim.machine() == m);
      perZone.merge(m.zone(), 1, Integer::sum);
      search.taken();
      used = used.plus(job.need());
    }
    usedByTeam.put(job.team(), used);
    int kept = Math.min(own.size(), entry.waiting.cardinality());
    own.subList(0, kept).forEach(room::claim);
    if (noRoom && !entry.failures.isProvenSuspect()) {
      // A new leader may suspect an array that was only reclaimed again and again.
      int most = entry.failures.isSuspected() ? 1 : startable + 1;
      int wanted = Math.min(entry.waiting.cardinality(), most) - kept;
      makeRoom(preemption, entry, wanted, perZone, Double.MAX_VALUE);
    }
  }

  /**
   * Whether searches have proved that the job finds no room, and no room may be made for it now.
   * Thousands of jobs wait while machines boot, in round after round.
   */
  private boolean surelyFindsNothing(JobState entry, boolean mayTakeForArray) {
    boolean mayTake = entry.job.kind() != JobKind.ARRAY || mayTakeForArray;
    boolean mayMakeRoom = mayTake && context.nowMs >= makeRoomNotBeforeMs;
    return !mayMakeRoom && !room.hasClaims(entry) && room.knownFull(entry.job);
  }

  /** Places a gang as a whole, or has room made for the whole of it. */
  private void placeGang(JobState entry, PreemptionPlanner preemption, SearchConstraints limits) {
    Job job = entry.job;
    Team team = context.settings.teams().get(job.team());
    Resources used = used(job.team());
    Resources with = used.plus(job.need().times(job.tasks()));
    boolean mayBegin = entry.gang.mayBegin() && !lending.isGangCoolingDown(entry);
    if (!mayBegin || team == null || !team.withinLimit(with)) {
      return;
    }
    List<FreeCapacity.Claim> own = room.takeClaims(entry);
    MachineScorer score = new MachineScorer(context, imageFetch, gpuBalance(), deadlines, entry);
    if (gangPlacer.place(entry, score, allocRoom(entry), limits)) {
      usedByTeam.put(job.team(), with);
    } else if (!own.isEmpty()) {
      own.forEach(room::claim);
    } else if (context.nowMs >= makeRoomNotBeforeMs) {
      gangPlacer.makeRoom(entry, preemption);
    }
  }

  private AllocationSizeLimit allocRoom(JobState entry) {
    double plainKb =
        version.allows(ClusterVersion.PACKED_ALLOCS) ? Double.POSITIVE_INFINITY : gate.valueKb();
    boolean bitmap = version.allows(ClusterVersion.BITMAP_ALLOCS);
    return new AllocationSizeLimit(entry, plainKb, context.settings.alwaysStorableKb(), bitmap);
  }

  /** Whether the image takes longer to come here than the job's class may wait. */
  private boolean late(Job job, MachineState m) {
    return imageFetch.waitS(job, m) > waitAimS(job);
  }

  /** How long a task of this class may wait for its start, by the users' aims. */
  private double waitAimS(Job job) {
    return context.settings.shortestAimS(Objective.Kind.WAIT, job.jobClass());
  }

  /**
   * Tries once to make room where the image comes in time, and waits for what that frees as long as
   * the claim lasts.
   */
  private boolean waitsForBetter(
      JobState entry,
      List<FreeCapacity.Claim> own,
      PreemptionPlanner preemption,
      Map<String, Integer> perZone) {
    if (!own.isEmpty()) {
      return true;
    }
    if (entry.soughtBetter) {
      return false;
    }
    entry.soughtBetter = true;
    int waiting = entry.waiting.cardinality();
    return makeRoom(preemption, entry, waiting, perZone, waitAimS(entry.job)) > 0;
  }

  private int makeRoom(
      PreemptionPlanner preemption,
      JobState entry,
      int wanted,
      Map<String, Integer> perZone,
      double imageS) {
    return context.nowMs < makeRoomNotBeforeMs
        ? 0
        : preemption.makeRoom(entry, wanted, perZone, imageS);
  }
}
