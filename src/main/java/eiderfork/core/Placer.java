package eiderfork.core;

import eiderfork.config.Settings.Objective;
import eiderfork.core.context.Context;
import eiderfork.core.state.StateGate;
import eiderfork.core.state.Term;
import eiderfork.core.state.Urgency;
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
final class Placer {
  private static final Logger LOG = LoggerFactory.getLogger(Placer.class);

  /** How many machines a whole core looks at in a second, for a job each; a low estimate. */
  private static final double EXAMINED_PER_CORE_S = 1_000_000;

  /**
   * The share of a step that the searches of a round may take; past it each further job looks at a
   * sample of machines only.
   */
  private static final double SEARCH_SHARE = 0.1;

  /** Writes that wait for less than this share of a step leave room for what is not urgent. */
  private static final double IDLE_SHARE = 0.2;

  /**
   * How long the ends of some of a job's tasks may be left unwritten while writes wait, in steps.
   */
  private static final int ENDS_STEPS = 5;

  private final Context context;
  private final Term term;
  private final StateGate gate;
  private final JobTable jobs;
  private final Fleet fleet;
  private final MachineLiveness liveness;
  private final ClusterVersion version;
  private final JobRanking ranking;
  private final ImageFetch imageFetch;
  private final Deadlines deadlines;

  private final Map<String, Resources> usedByTeam = new HashMap<>();
  private final RoundRoom room;
  private final GangPlacer gangPlacer;

  /** Before this time no room is made, since making it has taken its share of the processor. */
  private long makeRoomNotBeforeMs;

  private final double fullSearchMost;

  Placer(
      Context context,
      Term term,
      StateGate gate,
      JobTable jobs,
      Fleet fleet,
      MachineLiveness liveness,
      ClusterVersion version) {
    this.context = context;
    this.term = term;
    this.gate = gate;
    this.jobs = jobs;
    this.fleet = fleet;
    this.liveness = liveness;
    this.version = version;
    deadlines = new Deadlines(context, fleet);
    ranking = new JobRanking(context, deadlines);
    imageFetch = new ImageFetch(context, fleet);
    fullSearchMost =
        EXAMINED_PER_CORE_S
            * context.settings.controller().cpuShare()
            * context.stepS()
            * SEARCH_SHARE;
    room = new RoundRoom(fleet, liveness::usable);
    gangPlacer = new GangPlacer(jobs, room, context.random, fullSearchMost);
  }

  /** The balance of processors and GPUs that the jobs ask for. */
  GpuBalance gpuBalance() {
    return jobs.tally().balance();
  }

  /** How long tasks wait for their images. */
  ImageFetch imageFetch() {
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
    List<JobEntry> ranked = ranked();
    room.begin(context.nowMs);
    if (ranked.stream().noneMatch(this::mayPlace)) {
      // Only ends are to be written.
      for (JobEntry entry : ranked) {
        left |= writeEnds(entry);
      }
      return left;
    }
    Preemption preemption =
        new Preemption(context, room, imageFetch, gpuBalance(), deadlines, fullSearchMost);
    for (JobEntry entry : ranked) {
      int before = entry.placed.size();
      if (!mayNotWrite(entry) && mayPlace(entry)) {
        if (entry.gang == null) {
          place(entry, preemption);
        } else {
          placeGang(entry, preemption);
        }
      }
      if (entry.placed.size() > before) {
        jobs.write(entry, startUrgency(entry));
      } else {
        left |= writeEnds(entry);
      }
    }
    makeRoomNotBeforeMs =
        Math.max(
            makeRoomNotBeforeMs,
            context.nowMs + (long) (preemption.examined() / fullSearchMost * context.stepMs()));
    return left;
  }

  private boolean mayNotWrite(JobEntry entry) {
    return !entry.mayWrite(context.nowMs);
  }

  /** Writes what only ended, once it was collected for long enough; whether some is left. */
  private boolean writeEnds(JobEntry entry) {
    if (mayNotWrite(entry)) {
      return entry.writing && entry.dirty;
    }
    if (entry.dirty && entry.allFinished()) {
      jobs.write(entry, Urgency.START);
    } else if (entry.dirty && mayWriteEndsOfSome(entry)) {
      jobs.write(entry, Urgency.BATCH);
    }
    return entry.dirty;
  }

  /**
   * Whether the ends of some of a job's tasks may be written now. While writes wait they are left
   * to the job's next start or end, which carry them: handed over, they would hold up starts, and a
   * job whose last task ends meanwhile could only be written behind them. On a full write rate
   * users were told 6 to 12 s late that their arrays were done. They are not left for long, since a
   * team's tasks count until their ends are written.
   */
  private boolean mayWriteEndsOfSome(JobEntry entry) {
    long sinceWrittenMs = context.nowMs - entry.writtenMs;
    long waitMs = gate.waitMs(Urgency.BATCH);
    return sinceWrittenMs >= collectMs() && waitMs <= IDLE_SHARE * context.stepMs()
        || sinceWrittenMs >= ENDS_STEPS * context.stepMs() && waitMs <= context.stepMs();
  }

  private static Urgency startUrgency(JobEntry entry) {
    return entry.job.kind() == JobKind.ARRAY ? Urgency.BATCH : Urgency.START;
  }

  private long collectMs() {
    return (long) (context.stepMs() * context.settings.operator().roundShare());
  }

  private boolean mayPlace(JobEntry entry) {
    return !entry.waiting.isEmpty()
        && context.nowMs >= entry.notBeforeMs
        && gate.waitMs(startUrgency(entry)) <= context.stepMs();
  }

  /** The jobs with something to do, the most urgent first. */
  List<JobEntry> ranked() {
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
    makeRoomNotBeforeMs = 0;
  }

  private void place(JobEntry entry, Preemption preemption) {
    if (surelyFindsNothing(entry)) {
      return;
    }
    Job job = entry.job;
    Team team = context.settings.teams().get(job.team());
    Map<String, Integer> perZone = PlacementRules.zonesOf(entry);
    Resources used = used(job.team());
    List<RoundRoom.Claim> own = room.takeClaims(entry);
    boolean noRoom = false;
    long attempt = entry.nextAttempt();
    AllocRoom stored = allocRoom(entry);
    MachineScore score = new MachineScore(context, imageFetch, gpuBalance(), deadlines, entry);
    MachineSearch search =
        new MachineSearch(
            room, score, context.random, fullSearchMost, entry, perZone, own.isEmpty());
    for (int index = entry.waiting.nextSetBit(0);
        index >= 0;
        index = entry.waiting.nextSetBit(index + 1)) {
      if (team == null || !team.withinLimit(used.plus(job.need()))) {
        break;
      }
      MachineEntry m = search.best();
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
    if (noRoom) {
      makeRoom(preemption, entry, entry.waiting.cardinality() - kept, perZone, Double.MAX_VALUE);
    }
  }

  /**
   * Whether searches have proved that the job finds no room, and no room may be made for it now.
   * Thousands of jobs wait while machines boot, in round after round.
   */
  private boolean surelyFindsNothing(JobEntry entry) {
    boolean mayMakeRoom = entry.job.kind() != JobKind.ARRAY && context.nowMs >= makeRoomNotBeforeMs;
    return !mayMakeRoom && !room.hasClaims(entry) && room.knownFull(entry.job);
  }

  /** Places a gang as a whole, or has room made for the whole of it. */
  private void placeGang(JobEntry entry, Preemption preemption) {
    Job job = entry.job;
    Team team = context.settings.teams().get(job.team());
    Resources used = used(job.team());
    Resources with = used.plus(job.need().times(job.tasks()));
    if (!entry.gang.mayBegin() || team == null || !team.withinLimit(with)) {
      return;
    }
    List<RoundRoom.Claim> own = room.takeClaims(entry);
    MachineScore score = new MachineScore(context, imageFetch, gpuBalance(), deadlines, entry);
    if (gangPlacer.place(entry, score, allocRoom(entry))) {
      usedByTeam.put(job.team(), with);
    } else if (!own.isEmpty()) {
      own.forEach(room::claim);
    } else if (context.nowMs >= makeRoomNotBeforeMs) {
      gangPlacer.makeRoom(entry, preemption);
    }
  }

  private AllocRoom allocRoom(JobEntry entry) {
    double plainKb =
        version.allows(ClusterVersion.PACKED_ALLOCS) ? Double.POSITIVE_INFINITY : gate.valueKb();
    boolean bitmap = version.allows(ClusterVersion.BITMAP_ALLOCS);
    return new AllocRoom(entry, plainKb, context.settings.alwaysStorableKb(), bitmap);
  }

  /** Whether the image takes longer to come here than the job's class may wait. */
  private boolean late(Job job, MachineEntry m) {
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
      JobEntry entry,
      List<RoundRoom.Claim> own,
      Preemption preemption,
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
      Preemption preemption,
      JobEntry entry,
      int wanted,
      Map<String, Integer> perZone,
      double imageS) {
    return context.nowMs < makeRoomNotBeforeMs
        ? 0
        : preemption.makeRoom(entry, wanted, perZone, imageS);
  }
}
