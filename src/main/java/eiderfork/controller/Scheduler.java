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
  private static final double MACHINES_EXAMINED_PER_CORE_SECOND = 1_000_000;

  /**
   * The share of a step that the searches of a round may take; past it each further job looks at a
   * sample of machines only.
   */
  private static final double SEARCH_CPU_SHARE = 0.1;

  private final ControllerContext context;
  private final LeaderElection election;
  private final StoreClient store;
  private final JobRegistry jobs;
  private final MachineRegistry fleet;
  private final MachineLiveness liveness;
  private final ClusterVersion version;
  private final FairShareOrder fairShareOrder;
  private final ImageFetchEstimator imageFetch;
  private final DeadlineEstimator deadlines;

  private final Map<String, Resources> usedByTeam = new HashMap<>();
  private final FreeCapacity capacity;
  private final DispatchEligibility eligibility;
  private final ArrayParallelism arrayParallelism;
  private final GangScheduler gangScheduler;
  private final GpuHeadroom gpuHeadroom;
  private final QuotaBorrowing borrowing;

  /** Before this time no room is made, since making it has taken its share of the processor. */
  private long preemptionNotBeforeMs;

  private final double maxFullSearchExaminations;

  Scheduler(
      ControllerContext context,
      LeaderElection election,
      StoreClient store,
      JobRegistry jobs,
      MachineRegistry fleet,
      MachineLiveness liveness,
      ClusterVersion version) {
    this.context = context;
    this.election = election;
    this.store = store;
    this.jobs = jobs;
    this.fleet = fleet;
    this.liveness = liveness;
    this.version = version;
    deadlines = new DeadlineEstimator(context, fleet);
    fairShareOrder = new FairShareOrder(context, deadlines);
    imageFetch = new ImageFetchEstimator(context, fleet);
    maxFullSearchExaminations =
        MACHINES_EXAMINED_PER_CORE_SECOND
            * context.settings.controllerResources().cpuShare()
            * context.stepS()
            * SEARCH_CPU_SHARE;
    BorrowedCapacity borrowedCapacity = new BorrowedCapacity(context, jobs, fleet);
    boolean lends = context.settings.operator().isLendingEnabled();
    capacity =
        new FreeCapacity(
            fleet,
            liveness::isSchedulable,
            lends ? liveness::canHoldClaims : liveness::isSchedulable,
            borrowedCapacity);
    borrowing =
        new QuotaBorrowing(context, jobs, fleet, liveness, deadlines, capacity, borrowedCapacity);
    eligibility = new DispatchEligibility(context, store, jobs);
    arrayParallelism = new ArrayParallelism(context);
    gpuHeadroom = new GpuHeadroom(context);
    gangScheduler = new GangScheduler(jobs, capacity, context.random, maxFullSearchExaminations);
  }

  /** The balance of processors and GPUs that the jobs ask for. */
  CpusPerGpu gpuBalance() {
    return jobs.resourceUsage().cpusPerGpu();
  }

  /** How long tasks wait for their images. */
  ImageFetchEstimator imageFetch() {
    return imageFetch;
  }

  /** How many looks at a machine the last round took. */
  int examinedMachines() {
    return capacity.examinedMachines();
  }

  /**
   * One round: each changed job is written once. What only ended waits until the job was not
   * written for a while, so that the writes of one job do not follow each of its tasks.
   *
   * @return whether something was left for a later round
   */
  boolean runRound() {
    boolean left = false;
    List<JobState> ranked = queuedJobs();
    capacity.beginRound(context.nowMs);
    boolean collecting = ranked.stream().anyMatch(eligibility::isBatchingStarts);
    if (ranked.stream().noneMatch(eligibility::canPlace)) {
      // Only ends are to be written.
      for (JobState job : ranked) {
        left |= eligibility.writeCompletions(job);
      }
      return left || collecting;
    }
    gpuHeadroom.beginRound(ranked);
    PreemptionPolicy stops = borrowing.preemptionPolicy(gpuBalance());
    PreemptionPlanner preemption =
        new PreemptionPlanner(
            context, jobs, capacity, imageFetch, gpuBalance(), stops, maxFullSearchExaminations);
    for (JobState job : ranked) {
      int before = job.reservations().size();
      if (eligibility.canWrite(job) && eligibility.canPlace(job)) {
        if (job.gang == null) {
          SearchConstraints restrictions =
              new SearchConstraints(gpuHeadroom.appliesTo(job), borrowing.isBorrowing(job));
          placeTasks(job, preemption, restrictions, stops.canPreemptForArray(job));
        } else {
          placeGang(job, preemption, new SearchConstraints(false, borrowing.isBorrowing(job)));
        }
      }
      if (job.reservations().size() > before) {
        jobs.write(job, DispatchEligibility.startUrgency(job));
      } else {
        left |= eligibility.writeCompletions(job);
      }
    }
    preemptionNotBeforeMs =
        Math.max(
            preemptionNotBeforeMs,
            context.nowMs
                + (long)
                    (preemption.examinedMachines() / maxFullSearchExaminations * context.stepMs()));
    return left || collecting;
  }

  /** The jobs with something to do, the most urgent first. */
  List<JobState> queuedJobs() {
    usedByTeam.clear();
    return fairShareOrder.sort(jobs);
  }

  /** What a team uses, with what this round has placed for it. */
  private Resources usageOf(String team) {
    Resources changed = usedByTeam.get(team);
    return changed == null ? jobs.resourceUsage().used(team) : changed;
  }

  /** Forgets what belongs to a term that is over. */
  void clear() {
    capacity.clear();
    borrowing.clear();
    preemptionNotBeforeMs = 0;
  }

  /** Does what is due between rounds. */
  void tick() {
    borrowing.tick();
  }

  private void placeTasks(
      JobState entry,
      PreemptionPlanner preemption,
      SearchConstraints restrictions,
      boolean canPreemptForArray) {
    if (isKnownUnschedulable(entry, canPreemptForArray)) {
      return;
    }
    Job job = entry.spec;
    Team team = context.settings.teams().get(job.team());
    Map<String, Integer> tasksByZone = PlacementConstraints.countTasksByZone(entry);
    Resources used = usageOf(job.team());
    List<FreeCapacity.Claim> own = capacity.releaseClaims(entry);
    boolean noRoom = false;
    int startable = arrayParallelism.tasksToStart(entry);
    long attempt = entry.nextAttemptNumber();
    AllocationSizeLimit stored = recordCapacity(entry);
    MachineScorer scorer = new MachineScorer(context, imageFetch, gpuBalance(), deadlines, entry);
    MachineSearch search =
        new MachineSearch(
            capacity,
            scorer,
            context.random,
            maxFullSearchExaminations,
            entry,
            tasksByZone,
            own.isEmpty(),
            restrictions);
    for (int index = entry.firstSchedulableTask(context.nowMs);
        index >= 0;
        index = entry.nextSchedulableTask(index, context.nowMs)) {
      if (startable-- <= 0 || team == null || !team.isWithinLimit(used.plus(job.taskResources()))) {
        break;
      }
      MachineState machine = search.bestMachine();
      if (machine != null && !stored.fits(index, attempt, machine.name())) {
        break;
      }
      if (machine == null
          || (isImageTooLate(job, machine)
              && isWaitingForBetterMachine(entry, own, preemption, tasksByZone))) {
        noRoom = machine == null && !search.sampled;
        break;
      }
      if (LOG.isDebugEnabled()) {
        LOG.debug(
            "{}/{} of {} to {}, image in {} s",
            job.uid(),
            index,
            job.jobClass(),
            machine.name(),
            imageFetch.waitS(job, machine));
      }
      jobs.propose(entry, index, attempt, machine);
      stored.add(index, attempt, machine.name());
      own.removeIf(claim -> claim.machine() == machine);
      tasksByZone.merge(machine.zone(), 1, Integer::sum);
      search.taskPlaced();
      used = used.plus(job.taskResources());
    }
    usedByTeam.put(job.team(), used);
    int kept = Math.min(own.size(), entry.pendingTaskCount());
    own.subList(0, kept).forEach(capacity::addClaim);
    if (noRoom && !entry.failureHistory.isConfirmedSuspect()) {
      // A new leader may suspect an array that was only reclaimed again and again.
      int most = entry.failureHistory.isSuspected() ? 1 : startable + 1;
      int wanted = Math.min(entry.pendingTaskCount(), most) - kept;
      preempt(preemption, entry, wanted, tasksByZone, Double.MAX_VALUE);
    }
  }

  /**
   * Whether searches have proved that the job finds no room, and no room may be made for it now.
   * Thousands of jobs wait while machines boot, in round after round.
   */
  private boolean isKnownUnschedulable(JobState job, boolean canPreemptForArray) {
    boolean mayTake = job.spec.kind() != JobKind.ARRAY || canPreemptForArray;
    boolean mayMakeRoom = mayTake && context.nowMs >= preemptionNotBeforeMs;
    return !mayMakeRoom && !capacity.hasClaims(job) && capacity.isKnownFull(job.spec);
  }

  /** Places a gang as a whole, or has room made for the whole of it. */
  private void placeGang(
      JobState entry, PreemptionPlanner preemption, SearchConstraints restrictions) {
    Job job = entry.spec;
    Team team = context.settings.teams().get(job.team());
    Resources used = usageOf(job.team());
    Resources with = used.plus(job.taskResources().times(job.tasks()));
    boolean mayBegin = entry.gang.canStartAttempt() && !borrowing.isGangCoolingDown(entry);
    if (!mayBegin || team == null || !team.isWithinLimit(with)) {
      return;
    }
    List<FreeCapacity.Claim> own = capacity.releaseClaims(entry);
    MachineScorer scorer = new MachineScorer(context, imageFetch, gpuBalance(), deadlines, entry);
    if (gangScheduler.place(entry, scorer, recordCapacity(entry), restrictions)) {
      usedByTeam.put(job.team(), with);
    } else if (!own.isEmpty()) {
      own.forEach(capacity::addClaim);
    } else if (context.nowMs >= preemptionNotBeforeMs) {
      gangScheduler.preempt(entry, preemption);
    }
  }

  private AllocationSizeLimit recordCapacity(JobState job) {
    double plainKb =
        version.isSupportedByAll(ClusterVersion.PACKED_ALLOCS)
            ? Double.POSITIVE_INFINITY
            : store.maxValueKb();
    boolean bitmap = version.isSupportedByAll(ClusterVersion.BITMAP_ALLOCS);
    return new AllocationSizeLimit(job, plainKb, context.settings.safeValueKb(), bitmap);
  }

  /** Whether the image takes longer to come here than the job's class may wait. */
  private boolean isImageTooLate(Job job, MachineState machine) {
    return imageFetch.waitS(job, machine) > startObjectiveS(job);
  }

  /** How long a task of this class may wait for its start, by the users' aims. */
  private double startObjectiveS(Job job) {
    return context.settings.shortestObjectiveS(Objective.Kind.WAIT, job.jobClass());
  }

  /**
   * Tries once to make room where the image comes in time, and waits for what that frees as long as
   * the claim lasts.
   */
  private boolean isWaitingForBetterMachine(
      JobState job,
      List<FreeCapacity.Claim> own,
      PreemptionPlanner preemption,
      Map<String, Integer> tasksByZone) {
    if (!own.isEmpty()) {
      return true;
    }
    if (job.isCachedImageSearched()) {
      return false;
    }
    job.onCachedImageSearched();
    int waiting = job.pendingTaskCount();
    return preempt(preemption, job, waiting, tasksByZone, startObjectiveS(job.spec)) > 0;
  }

  private int preempt(
      PreemptionPlanner preemption,
      JobState job,
      int wanted,
      Map<String, Integer> tasksByZone,
      double imageS) {
    return context.nowMs < preemptionNotBeforeMs
        ? 0
        : preemption.preempt(job, wanted, tasksByZone, imageS);
  }
}
