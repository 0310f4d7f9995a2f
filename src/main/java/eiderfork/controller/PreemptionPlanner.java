package eiderfork.controller;

import com.google.common.collect.ImmutableSet;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.quota.VictimPreference;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes room for jobs that find none: stops what {@link PreemptionPolicy} lets it, gangs as a
 * whole, or moves replicas that fit elsewhere, whichever costs least. What is freed is claimed for
 * the job.
 */
final class PreemptionPlanner {
  private static final Logger LOG = LoggerFactory.getLogger(PreemptionPlanner.class);

  /** How long room is claimed for a job while what holds it stops, in steps. */
  private static final int CLAIM_STEPS = 5;

  /** What a job needs for which no room could be made in a zone. */
  private record Hopeless(
      Resources need,
      Priority priority,
      ImmutableSet<String> types,
      boolean spot,
      String zone,
      String image,
      Object takerKind,
      VictimPreference upTo) {}

  /** What stopping or moving some tasks of a machine would cost. */
  private record Option(MachineState machine, List<Victim> victims, double loss) {
    int order() {
      return machine.number;
    }

    List<PreemptionPolicy.Choice> stopped() {
      return victims.stream().filter(v -> v.choice != null).map(v -> v.choice).toList();
    }

    /** How long until the last of them has left, in seconds. */
    double delayS() {
      return stopped().stream().mapToDouble(choice -> choice.plan().delayS()).max().orElse(0);
    }
  }

  /**
   * A task that may have to go.
   *
   * @param choice how it is stopped; null for a replica that is moved
   */
  private record Victim(Reservation placed, PreemptionPolicy.Choice choice, double loss) {}

  private final ControllerContext context;
  private final JobRegistry jobs;
  private final FreeCapacity room;
  private final ImageFetchEstimator imageFetch;
  private final CpusPerGpu balance;
  private final PreemptionPolicy policy;
  private final ReplicaMigration moves;
  private final double mostExamined;

  /** The replicas that move for the gang that room is being made for. */
  private final List<Reservation> moved = new ArrayList<>();

  private final Set<Hopeless> hopeless = new HashSet<>();

  /** Looks at a machine for this; past the bound on a search no more room is made in a round. */
  private int examined;

  /** Whether work may be stopped, and not only replicas moved. */
  private boolean mayStop;

  /** Up to which kind of work victims are looked for now. */
  private VictimPreference upTo;

  /**
   * @param mostExamined past this many looks at machines no more room is made in this round
   */
  PreemptionPlanner(
      ControllerContext context,
      JobRegistry jobs,
      FreeCapacity room,
      ImageFetchEstimator imageFetch,
      CpusPerGpu balance,
      PreemptionPolicy policy,
      double mostExamined) {
    this.context = context;
    this.jobs = jobs;
    this.room = room;
    this.imageFetch = imageFetch;
    this.balance = balance;
    this.policy = policy;
    this.mostExamined = mostExamined;
    moves = new ReplicaMigration(context, room, imageFetch, balance);
  }

  /** How many looks at machines were taken for this. */
  int examined() {
    return examined + moves.examined();
  }

  /**
   * For how many tasks room was found, on machines where the image comes within {@code imageS}. For
   * a better place than there is, only replicas are moved: what an array has done is worth more.
   */
  int makeRoom(JobState entry, int wanted, Map<String, Integer> perZone, double imageS) {
    int made = makeRoomUnconfirmed(entry, wanted, perZone, imageS);
    policy.confirm(entry);
    moved.clear();
    return made;
  }

  /**
   * Makes room for every task of a gang, with what is free and with what can be freed, or for none:
   * what would be stopped for a part of it alone goes on.
   *
   * @param perZone the zones to be tried, with no tasks in them yet
   */
  boolean makeRoomForAll(JobState entry, Map<String, Integer> perZone) {
    int wanted = entry.job.tasks();
    Set<Hopeless> provedBefore = Set.copyOf(hopeless);
    if (makeRoomUnconfirmed(entry, wanted, perZone, Double.MAX_VALUE) == wanted) {
      policy.confirm(entry);
      moved.clear();
      return true;
    }
    policy.undo();
    moved.forEach(jobs::goOn);
    moved.clear();
    room.takeClaims(entry);
    // What was proved beside the tasks that found room does not hold without them.
    hopeless.retainAll(provedBefore);
    return false;
  }

  private int makeRoomUnconfirmed(
      JobState entry, int wanted, Map<String, Integer> perZone, double imageS) {
    boolean isArray = entry.job.kind() == JobKind.ARRAY;
    if (isArray && !policy.mayTakeForArray(entry)) {
      return 0;
    }
    mayStop = imageS == Double.MAX_VALUE;
    int most = policy.mostTasks(entry, wanted);
    int made = 0;
    for (VictimPreference preference : policy.preferences(entry)) {
      upTo = preference;
      if (made < most && examined() <= mostExamined) {
        made += makeRoomUpTo(entry, most - made, perZone, imageS);
      }
    }
    return made;
  }

  /** Each machine is looked at once for a job, and again only when it is chosen. */
  private int makeRoomUpTo(
      JobState entry, int wanted, Map<String, Integer> perZone, double imageS) {
    Set<String> open = room.openZones(entry, perZone);
    open.removeIf(zone -> hopeless.contains(hopeless(entry, zone)));
    if (open.isEmpty()) {
      return 0;
    }
    PriorityQueue<Option> options =
        new PriorityQueue<>(
            Comparator.comparingDouble(Option::loss).thenComparingInt(Option::order));
    for (MachineState m : room.machines()) {
      if (open.contains(m.zone())
          && room.allowed(entry, m, perZone)
          && imageFetch.waitS(entry.job, m) <= imageS) {
        add(options, option(entry, m));
      }
    }
    for (int made = 0; made < wanted; made++) {
      Option best = best(entry, options, perZone);
      if (best == null) {
        note(entry, open, perZone);
        return made;
      }
      choose(entry, best);
      perZone.merge(best.machine.zone(), 1, Integer::sum);
      add(options, option(entry, best.machine));
    }
    return wanted;
  }

  private void choose(JobState entry, Option best) {
    moves.confirm();
    for (Victim victim : best.victims) {
      if (victim.choice == null) {
        Reservation p = victim.placed;
        LOG.info("moving {} off {} for {}", p.id(), best.machine.name, entry.job.uid());
        jobs.stop(p);
        best.machine.setUrgent();
        moved.add(p);
      }
    }
    policy.stop(entry, best.machine, best.stopped());
    long untilMs =
        context.nowMs + CLAIM_STEPS * context.stepMs() + Math.round(best.delayS() * 1000);
    room.claim(new FreeCapacity.Claim(entry, best.machine, untilMs));
  }

  private Hopeless hopeless(JobState entry, String zone) {
    Job job = entry.job;
    return new Hopeless(
        job.need(),
        job.priority(),
        job.types(),
        job.spot(),
        zone,
        mayStop ? null : job.image() + " in time",
        policy.takerKind(entry),
        upTo);
  }

  /** In none of the zones that would take one more task can room be made. */
  private void note(JobState entry, Set<String> open, Map<String, Integer> perZone) {
    if (!entry.failures.machines().isEmpty()) {
      return;
    }
    open.retainAll(room.openZones(entry, perZone));
    open.forEach(zone -> hopeless.add(hopeless(entry, zone)));
  }

  private static void add(PriorityQueue<Option> options, Option option) {
    if (option != null) {
      options.add(option);
    }
  }

  /** The cheapest option as it is now; the room that moves need may be taken meanwhile. */
  private Option best(JobState entry, PriorityQueue<Option> options, Map<String, Integer> perZone) {
    while (!options.isEmpty()) {
      Option top = options.remove();
      if (!room.allowed(entry, top.machine, perZone)) {
        continue;
      }
      Option now = option(entry, top.machine);
      if (now != null && (options.isEmpty() || now.loss <= options.peek().loss)) {
        return now;
      }
      add(options, now);
    }
    return null;
  }

  /** The tasks that have to go from a machine so that one of the job fits, or null. */
  private Option option(JobState entry, MachineState m) {
    Job job = entry.job;
    examined++;
    room.countExamined();
    moves.beginOption();
    policy.beginOption();
    // A gang that borrows once claimed the room that is kept from it, and kept it from all others.
    Resources left = room.of(m, entry, policy.borrows(entry));
    List<Victim> able = new ArrayList<>();
    for (Reservation p : m.placed) {
      if (policy.isLeaving(p)) {
        left = left.plus(p.job.job.need());
      } else if (p.committed && policy.mayAsk(m)) {
        addVictim(able, entry, p);
      }
    }
    if (job.need().fitsIn(left)) {
      return new Option(m, List.of(), imageLoss(job, m));
    }
    able.sort(Comparator.comparingDouble(Victim::loss));
    List<Victim> victims = new ArrayList<>();
    for (Victim victim : able) {
      if (job.need().fitsIn(left)) {
        break;
      }
      if (take(entry, victim)) {
        left = left.plus(victim.placed.job.job.need());
        victims.add(victim);
      }
    }
    if (!job.need().fitsIn(left)) {
      return null;
    }
    dropSpared(job, victims, left);
    double loss = imageLoss(job, m);
    for (Victim victim : victims) {
      loss += victim.loss;
    }
    return new Option(m, victims, loss);
  }

  private void addVictim(List<Victim> able, JobState entry, Reservation p) {
    PreemptionPolicy.Choice choice = mayStop ? policy.choice(entry, p, upTo) : null;
    double loss = choice == null ? moves.loss(entry.job, p, !mayStop) : choice.loss();
    if (loss < Double.MAX_VALUE) {
      able.add(new Victim(p, choice, loss));
    }
  }

  private boolean take(JobState entry, Victim victim) {
    return victim.choice == null
        ? moves.take(victim.placed)
        : policy.take(entry, victim.choice, upTo);
  }

  /** Those taken first may not be needed beside those taken last. */
  private static void dropSpared(Job job, List<Victim> victims, Resources room) {
    Resources left = room;
    for (Victim victim : List.copyOf(victims)) {
      Resources without = left.minus(victim.placed.job.job.need());
      if (job.need().fitsIn(without)) {
        left = without;
        victims.remove(victim);
      }
    }
  }

  /**
   * What the wait for an image throws away. Without it a replica of four GPUs once took the room of
   * an array on a machine that was still fetching other images, and waited 62 s for its own.
   */
  private double imageLoss(Job job, MachineState m) {
    return imageFetch.waitS(job, m) * balance.weight(job.need());
  }
}
