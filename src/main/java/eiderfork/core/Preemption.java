package eiderfork.core;

import com.google.common.collect.ImmutableSet;
import eiderfork.core.context.Context;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import eiderfork.model.TaskReport;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes room for services that find none: stops tasks of less urgent arrays or less urgent gangs as
 * a whole, or moves replicas that fit elsewhere, whichever costs least. What is freed is claimed
 * for the job.
 */
final class Preemption {
  private static final Logger LOG = LoggerFactory.getLogger(Preemption.class);

  /** How long a replica is away while it moves, in steps. */
  private static final double MOVE_STEPS = 2;

  /** How many runs of a task its job's deadline is worth when it is decided which one to stop. */
  private static final double LATE_RUNS = 4;

  /** How long room is claimed for a job while what holds it stops, in steps. */
  private static final int CLAIM_STEPS = 5;

  /** How long a replica has to run before it may move, in steps. */
  private static final int MOVABLE_STEPS = 10;

  /** What a job needs for which no room could be made in a zone. */
  private record Hopeless(
      Resources need,
      Priority priority,
      ImmutableSet<String> types,
      boolean spot,
      String zone,
      String image) {}

  /** What stopping some tasks of a machine would cost. */
  private record Option(MachineEntry machine, List<Reservation> victims, double loss) {
    int order() {
      return machine.number;
    }
  }

  private record Victim(Reservation placed, double loss) {}

  private final Context context;
  private final RoundRoom room;
  private final ImageFetch imageFetch;
  private final GpuBalance balance;
  private final Deadlines deadlines;
  private final double mostExamined;

  /** What moved replicas will take where they go; it only guards against moving too many. */
  private final Map<MachineEntry, Resources> filling = new HashMap<>();

  /** The same for the option that is being looked at. */
  private final Map<MachineEntry, Resources> trying = new HashMap<>();

  /** Machines of a zone that may take replicas of a profile; those before the first are full. */
  private static final class Targets {
    final List<MachineEntry> machines;
    int first;

    Targets(List<MachineEntry> machines) {
      this.machines = machines;
    }
  }

  private final Map<TaskProfile, Map<String, Targets>> targets =
      new Reference2ObjectOpenHashMap<>();

  /** What is to be stopped for the gang that room is being made for. */
  private final List<Reservation> chosen = new ArrayList<>();

  private final Set<Hopeless> hopeless = new HashSet<>();

  /** Looks at a machine for this; past the bound on a search no more room is made in a round. */
  private int examined;

  /** Whether arrays may be stopped, and not only replicas moved. */
  private boolean mayStop;

  /**
   * @param mostExamined past this many looks at machines no more room is made in this round
   */
  Preemption(
      Context context,
      RoundRoom room,
      ImageFetch imageFetch,
      GpuBalance balance,
      Deadlines deadlines,
      double mostExamined) {
    this.context = context;
    this.room = room;
    this.imageFetch = imageFetch;
    this.balance = balance;
    this.deadlines = deadlines;
    this.mostExamined = mostExamined;
  }

  /** How many looks at machines were taken for this. */
  int examined() {
    return examined;
  }

  /**
   * For how many tasks room was found, on machines where the image comes within {@code imageS}. For
   * a better place than there is, only replicas are moved: what an array has done is worth more.
   * Each machine is looked at once for a job, and again only when it is chosen.
   */
  int makeRoom(JobEntry entry, int wanted, Map<String, Integer> perZone, double imageS) {
    Job job = entry.job;
    if (job.kind() == JobKind.ARRAY || wanted == 0 || examined > mostExamined) {
      return 0;
    }
    mayStop = imageS == Double.MAX_VALUE;
    Set<String> open = room.openZones(entry, perZone);
    open.removeIf(zone -> hopeless.contains(hopeless(job, zone)));
    if (open.isEmpty()) {
      return 0;
    }
    PriorityQueue<Option> options =
        new PriorityQueue<>(
            Comparator.comparingDouble(Option::loss).thenComparingInt(Option::order));
    for (MachineEntry m : room.machines()) {
      if (open.contains(m.zone())
          && room.allowed(entry, m, perZone)
          && imageFetch.waitS(job, m) <= imageS) {
        add(options, option(job, m));
      }
    }
    for (int made = 0; made < wanted; made++) {
      Option best = best(entry, options, perZone);
      if (best == null) {
        note(entry, open, perZone);
        return made;
      }
      trying.forEach((m, needs) -> filling.merge(m, needs, Resources::plus));
      for (Reservation p : best.victims) {
        LOG.info("stopping {} on {} for {}", p.id(), best.machine.name, job.uid());
        stop(p);
        best.machine.setUrgent();
      }
      room.claim(
          new RoundRoom.Claim(entry, best.machine, context.nowMs + CLAIM_STEPS * context.stepMs()));
      perZone.merge(best.machine.zone(), 1, Integer::sum);
      add(options, option(job, best.machine));
    }
    return wanted;
  }

  /**
   * Makes room for every task of a gang, with what is free and with what can be freed, or for none:
   * what would be stopped for a part of it alone goes on.
   *
   * @param perZone the zones to be tried, with no tasks in them yet
   */
  boolean makeRoomForAll(JobEntry entry, Map<String, Integer> perZone) {
    int wanted = entry.job.tasks();
    chosen.clear();
    Set<Hopeless> provedBefore = Set.copyOf(hopeless);
    if (makeRoom(entry, wanted, perZone, Double.MAX_VALUE) == wanted) {
      return true;
    }
    chosen.forEach(Preemption::goOn);
    room.takeClaims(entry);
    // What was proved beside the tasks that found room does not hold without them.
    hopeless.retainAll(provedBefore);
    return false;
  }

  private void stop(Reservation p) {
    if (p.job.gang == null) {
      p.stopping = true;
    } else {
      p.job.gang.save();
    }
    chosen.add(p);
  }

  /** Nothing was sent yet of what this round decided. */
  private static void goOn(Reservation p) {
    if (p.job.gang == null) {
      p.stopping = false;
    } else {
      p.job.gang.goOn();
    }
  }

  private Hopeless hopeless(Job job, String zone) {
    return new Hopeless(
        job.need(),
        job.priority(),
        job.types(),
        job.spot(),
        zone,
        mayStop ? null : job.image() + " in time");
  }

  /** In none of the zones that would take one more task can room be made. */
  private void note(JobEntry entry, Set<String> open, Map<String, Integer> perZone) {
    if (!entry.failures.machines().isEmpty()) {
      return;
    }
    open.retainAll(room.openZones(entry, perZone));
    open.forEach(zone -> hopeless.add(hopeless(entry.job, zone)));
  }

  private static void add(PriorityQueue<Option> options, Option option) {
    if (option != null) {
      options.add(option);
    }
  }

  /** The cheapest option as it is now; the room that moves need may be taken meanwhile. */
  private Option best(JobEntry entry, PriorityQueue<Option> options, Map<String, Integer> perZone) {
    while (!options.isEmpty()) {
      Option top = options.remove();
      if (!room.allowed(entry, top.machine, perZone)) {
        continue;
      }
      Option now = option(entry.job, top.machine);
      if (now != null && (options.isEmpty() || now.loss <= options.peek().loss)) {
        return now;
      }
      add(options, now);
    }
    return null;
  }

  /** The tasks to stop on a machine so that one of {@code job} fits, or null. */
  private Option option(Job job, MachineEntry m) {
    examined++;
    room.countExamined();
    trying.clear();
    Resources left = room.of(m);
    List<Victim> able = new ArrayList<>();
    for (Reservation p : m.placed) {
      if (!p.wanted()) {
        left = left.plus(p.job.job.need());
      } else if (p.committed) {
        double loss = loss(job, p);
        if (loss < Double.MAX_VALUE) {
          able.add(new Victim(p, loss));
        }
      }
    }
    if (job.need().fitsIn(left)) {
      return new Option(m, List.of(), imageLoss(job, m));
    }
    able.sort(Comparator.comparingDouble(Victim::loss));
    List<Victim> victims = new ArrayList<>();
    for (Victim v : able) {
      if (job.need().fitsIn(left)) {
        break;
      }
      if (killable(job, v.placed) || moveTarget(v.placed)) {
        left = left.plus(v.placed.job.job.need());
        victims.add(v);
      }
    }
    if (!job.need().fitsIn(left)) {
      return null;
    }
    // Those taken first may not be needed beside those taken last.
    for (Victim v : List.copyOf(victims)) {
      Resources without = left.minus(v.placed.job.job.need());
      if (job.need().fitsIn(without)) {
        left = without;
        victims.remove(v);
      }
    }
    double loss = imageLoss(job, m);
    List<Reservation> stopped = new ArrayList<>();
    for (Victim v : victims) {
      loss += v.loss;
      stopped.add(v.placed);
    }
    return new Option(m, stopped, loss);
  }

  /**
   * What each of a gang's tasks on a machine bears of stopping all of the gang. It saves first if
   * it can, and is away for a while; a gang that can't save loses what it did.
   */
  private double gangLoss(Reservation p) {
    Job its = p.job.job;
    double ranS = p.runningSinceMs == 0 ? 0 : (context.nowMs - p.runningSinceMs) / 1000.0;
    double lostS = its.checkpointS() > 0 ? its.saveS() : ranS;
    long here = p.machine.placed.stream().filter(other -> other.job == p.job).count();
    return (lostS + MOVE_STEPS * context.stepS()) * its.tasks() / here;
  }

  private boolean killable(Job job, Reservation p) {
    return mayStop
        && p.job.job.kind() != JobKind.SERVICE
        && p.job.job.priority().compareTo(job.priority()) > 0;
  }

  /** Whether a replica finds room on another machine; takes that room. */
  private boolean moveTarget(Reservation p) {
    Job job = p.job.job;
    String zone = p.machine.zone();
    Targets open =
        targets
            .computeIfAbsent(p.job.profile, profile -> new HashMap<>())
            .computeIfAbsent(zone, z -> new Targets(room.candidates(job, Set.of(z))));
    for (int i = open.first; i < open.machines.size(); i++) {
      MachineEntry m = open.machines.get(i);
      examined++;
      room.countExamined();
      Resources left = room.of(m).minus(filling.getOrDefault(m, Resources.NONE));
      if (!room.isUsable(m)
          || !acceptsMoved(job, left)
          || imageFetch.waitS(job, m) > context.stepS()) {
        if (i == open.first) {
          open.first++;
        }
        continue;
      }
      if (m != p.machine && acceptsMoved(job, left.minus(trying.getOrDefault(m, Resources.NONE)))) {
        trying.merge(m, job.need(), Resources::plus);
        return true;
      }
    }
    return false;
  }

  private boolean acceptsMoved(Job job, Resources left) {
    return job.need().fitsIn(left) && balance.strandedBy(job.need(), left) <= 0;
  }

  /**
   * What the wait for an image throws away. Without it a replica of four GPUs once took the room of
   * an array on a machine that was still fetching other images, and waited 62 s for its own.
   */
  private double imageLoss(Job job, MachineEntry m) {
    return imageFetch.waitS(job, m) * weight(job);
  }

  /** The size of a task, in GPUs or in the processors that go with one. */
  private double weight(Job job) {
    double gpusWorth = balance.cpusPerGpu() > 0 ? job.need().cpus() / balance.cpusPerGpu() : 1;
    return Math.max(job.need().gpus(), gpusWorth);
  }

  /** What stopping this task throws away, in seconds of its work weighted by its size. */
  private double loss(Job job, Reservation p) {
    Job its = p.job.job;
    double weight = weight(its);
    if (killable(job, p) && p.job.gang != null) {
      return gangLoss(p) * weight;
    }
    if (killable(job, p)) {
      if (p.seen != TaskReport.State.RUNNING || p.runningSinceMs == 0) {
        return 0;
      }
      double ranS = (context.nowMs - p.runningSinceMs) / 1000.0;
      double lostS = its.checkpointS() > 0 ? Math.min(ranS, its.checkpointS()) : ranS;
      double lateS = deadlines.lateIfRunAgain(p) ? its.estimateS() * LATE_RUNS : 0;
      return (lostS + lateS) * weight;
    }
    // Replicas on GPUs stay where there is no room at all: what moving them makes is taken from
    // smaller jobs that wait as well. They move for an image that would come too late, once they
    // have run for long enough to count as started.
    boolean gpusMove =
        !mayStop
            && its.priority().compareTo(job.priority()) > 0
            && context.nowMs - p.runningSinceMs > Drain.SETTLED_MS;
    boolean movable =
        its.kind() == JobKind.SERVICE
            && (its.need().gpus() <= 0 || gpusMove)
            && p.seen == TaskReport.State.RUNNING
            && its.need().shareOf(p.machine.room) < job.need().shareOf(p.machine.room)
            && context.nowMs - p.runningSinceMs > MOVABLE_STEPS * context.stepMs();
    return movable ? MOVE_STEPS * context.stepS() * weight : Double.MAX_VALUE;
  }
}
