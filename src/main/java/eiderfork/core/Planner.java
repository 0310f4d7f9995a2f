package eiderfork.core;

import com.google.common.collect.ImmutableList;
import eiderfork.config.Settings;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.Record;
import eiderfork.model.Resources;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans the fleet: packs what waits, and the arrivals to be ready for, onto the machines that are
 * up or on their way, rents for what is left over and returns what nothing was packed on.
 */
final class Planner {
  private static final Logger LOG = LoggerFactory.getLogger(Planner.class);

  /** A boot that takes this many times the usual is not counted on any more. */
  private static final double LATE_BOOT = 2.0;

  /** A boot that takes this many times the usual will not end. */
  private static final double FAILED_BOOT = 4.0;

  /** The most machines that the protocol lets one rent ask for. */
  private static final int RENT_MOST = 50;

  /**
   * A machine that nobody hears is given this many leases before it is returned. What hangs or is
   * cut off is mostly back before another would have booted, and its tasks are placed anew after
   * the first of them whatever becomes of it. Returned at once, seven machines that hung for 20 s
   * were missing for a boot time on top. It gets the time that another would take to boot beside
   * that: of a zone cut off for longer than two leases all machines were once given back. One that
   * has died is known from the cloud's list by then.
   */
  private static final int PATIENCE_LEASES = 2;

  /** A returned machine costs this long at least. */
  static final long MIN_CHARGE_MS = 60_000;

  /** The time that arrivals are remembered for, in boot times of the machines they need. */
  private static final double MEMORY_BOOTS = 2;

  /** What a class of jobs has asked for lately; what is longer ago fades. */
  private static final class Arrivals {
    Job sample;

    /** The sum of the squares of the jobs' tasks: a job's tasks come all at once. */
    double squares;

    long atMs;

    void fade(long nowMs, double memoryMs) {
      if (memoryMs > 0) {
        squares *= Math.exp(-(nowMs - atMs) / memoryMs);
        atMs = nowMs;
      }
    }
  }

  private final Context context;
  private final StateGate gate;
  private final JobBook jobs;
  private final Fleet fleet;
  private final Workers workers;
  private final Cloud cloud;
  private final Placer placer;
  private final Drain drain;
  private final Map<String, Arrivals> arrivals = new LinkedHashMap<>();
  private long arrivalsSinceMs;
  private long describeNextMs;
  private int looks;

  Planner(
      Context context,
      StateGate gate,
      JobBook jobs,
      Fleet fleet,
      Workers workers,
      Cloud cloud,
      Placer placer) {
    this.context = context;
    this.gate = gate;
    this.jobs = jobs;
    this.fleet = fleet;
    this.workers = workers;
    this.cloud = cloud;
    this.placer = placer;
    drain = new Drain(context, fleet, workers, placer);
  }

  void clear() {
    arrivals.clear();
    arrivalsSinceMs = context.nowMs;
  }

  /** A job is new. */
  void arrived(Job job) {
    Arrivals a = arrivals.computeIfAbsent(job.jobClass(), c -> new Arrivals());
    a.sample = job;
    a.fade(context.nowMs, bootMs(a) * MEMORY_BOOTS);
    a.squares += (double) job.tasks() * job.tasks();
  }

  /** How many looks at a machine the last plan took. */
  int looks() {
    return looks;
  }

  void plan() {
    looks = 0;
    List<Bin> bins = bins();
    int known = bins.size();
    Map<String, Resources> used = new HashMap<>();
    for (JobEntry entry : jobs.active()) {
      used.merge(entry.job.team(), entry.job.need().times(entry.counted()), Resources::plus);
    }
    for (JobEntry entry : placer.ranked()) {
      if (entry.aborted || entry.aborting || context.nowMs < entry.notBeforeMs) {
        continue;
      }
      pack(entry, bins, used);
    }
    packDoubtful(bins);
    for (Arrivals a : arrivals.values()) {
      int ready = headroom(a);
      Map<String, Integer> perZone = new HashMap<>();
      int zoneMost = a.sample.spread() ? (ready + 1) / 2 : ready;
      int at = 0;
      for (int i = 0; i < ready && at >= 0; i++) {
        at = put(a.sample, bins, at, perZone, zoneMost);
      }
    }
    describe();
    rent(bins.subList(known, bins.size()));
    drain.plan(bins.subList(0, known), bins.size() > known);
    giveBack(bins.subList(0, known));
  }

  /** Says now and then how full the fleet is and who waits, so that a log can be read later. */
  private void describe() {
    if (context.nowMs < describeNextMs) {
      return;
    }
    describeNextMs = context.nowMs + context.leaseMs();
    Map<String, int[]> kinds = new TreeMap<>();
    for (MachineEntry m : fleet.machines()) {
      if (m.machine == null || m.room == null) {
        continue;
      }
      int[] n =
          kinds.computeIfAbsent(
              m.machine.type() + (m.machine.spot() ? " spot" : ""), k -> new int[4]);
      n[0]++;
      n[1] += workers.usable(m) ? 1 : 0;
      n[2] += (int) (m.free().gpus() > 0 ? m.free().gpus() : 0);
      n[3] += (int) (m.free().cpus() > 0 ? m.free().cpus() : 0);
    }
    Map<String, int[]> classes = new TreeMap<>();
    for (JobEntry entry : jobs.active()) {
      int[] n = classes.computeIfAbsent(entry.job.jobClass(), k -> new int[2]);
      n[0] += entry.placed.size();
      n[1] += entry.waiting.cardinality();
    }
    StringBuilder text = new StringBuilder();
    kinds.forEach(
        (kind, n) ->
            text.append(kind)
                .append(" ")
                .append(n[0])
                .append(" (")
                .append(n[1])
                .append(" usable, free gpus ")
                .append(n[2])
                .append(" cpus ")
                .append(n[3])
                .append("), "));
    classes.forEach(
        (name, n) ->
            text.append(name).append(" ").append(n[0]).append("+").append(n[1]).append(" "));
    LOG.info("fleet: {}", text);
    LOG.info("writes that went out: {}", gate.tellWaits());
    LOG.info("looked at machines {} times to place, {} to plan", placer.looks(), looks);
  }

  private List<Bin> bins() {
    List<Bin> bins = new ArrayList<>();
    for (MachineEntry m : fleet.machines()) {
      if (m.machine == null || m.room == null || m.returning || m.faulty) {
        continue;
      }
      MachineType type = fleet.type(m);
      boolean coming = m.report == null && type != null && !overdue(m, type, LATE_BOOT);
      if (coming || workers.usable(m)) {
        Cloud.Kind kind = new Cloud.Kind(m.machine.type(), m.machine.zone(), m.machine.spot());
        bins.add(new Bin(m, kind, m.room, m.free()));
      }
    }
    for (Record.Rent open : cloud.openRents()) {
      MachineType type = fleet.types().get(open.type());
      if (type != null) {
        Cloud.Kind kind = new Cloud.Kind(open.type(), open.zone(), open.spot());
        for (int i = 0; i < open.count(); i++) {
          bins.add(new Bin(null, kind, type.room(), type.room()));
        }
      }
    }
    bins.sort(Comparator.comparingDouble(bin -> bin.left.shareOf(bin.room)));
    return bins;
  }

  private void pack(JobEntry entry, List<Bin> bins, Map<String, Resources> used) {
    Job job = entry.job;
    Team team = context.settings.teams().get(job.team());
    Map<String, Integer> perZone = Placer.zonesOf(entry);
    int tasks = entry.waiting.cardinality();
    int at = 0;
    for (int i = 0; i < tasks; i++) {
      Resources with = used.getOrDefault(job.team(), Resources.NONE).plus(job.need());
      if (team == null || !team.withinLimit(with)) {
        return;
      }
      at = put(job, bins, at, perZone, job.perZone());
      if (at < 0) {
        return;
      }
      used.put(job.team(), with);
    }
  }

  /**
   * Packs what stands on machines that have been silent for a while: it will want new places when
   * their leases lapse, and machines for that take a boot's time to come.
   */
  private void packDoubtful(List<Bin> bins) {
    List<MachineEntry> doubtful = new ArrayList<>();
    int live = 0;
    for (MachineEntry m : fleet.machines()) {
      if (m.report != null && !m.returning) {
        live++;
        if (workers.doubtful(m)) {
          doubtful.add(m);
        }
      }
    }
    if (doubtful.size() * 2 > live) {
      // It is this node that is cut off.
      return;
    }
    for (MachineEntry m : doubtful) {
      for (Placed p : m.placed) {
        if (p.wanted()) {
          Map<String, Integer> perZone = Placer.zonesOf(p.job);
          perZone.merge(m.zone(), -1, Integer::sum);
          put(p.job.job, bins, 0, perZone, p.job.job.perZone());
        }
      }
    }
  }

  /**
   * Packs one task, opening a new machine where none has room. Tasks of a job are alike, so what
   * did not take the one before takes none after it: each task goes on from that one's bin.
   *
   * @return the bin that took it, or -1 for none
   */
  private int put(Job job, List<Bin> bins, int from, Map<String, Integer> perZone, int zoneMost) {
    for (int at = from; at < bins.size(); at++) {
      Bin bin = bins.get(at);
      looks++;
      if (allowed(job, bin.kind, perZone, zoneMost) && job.need().fitsIn(bin.left)) {
        take(job, bin, perZone);
        return at;
      }
    }
    Bin best = null;
    double bestCost = Double.MAX_VALUE;
    for (MachineType type : fleet.types().values()) {
      int fits = type.room().count(job.need());
      if (fits == 0) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {false, true}) {
          Cloud.Kind kind = new Cloud.Kind(type.name(), zone, spot);
          if ((spot && !context.settings.operator().spot())
              || !allowed(job, kind, perZone, zoneMost)
              || !cloud.inStock(kind)) {
            continue;
          }
          double cost = cost(job, type, spot, fits);
          if (cost < bestCost) {
            bestCost = cost;
            best = new Bin(null, kind, type.room(), type.room());
          }
        }
      }
    }
    if (best == null) {
      return -1;
    }
    bins.add(best);
    take(job, best, perZone);
    return bins.size() - 1;
  }

  /** The price of one task on a full machine; a boot slower than the job can wait costs more. */
  private double cost(Job job, MachineType type, boolean spot, int fits) {
    double fetchS = job.imageGb() / type.fetchGbPerS();
    double cost = type.price(spot) / fits;
    for (Settings.Objective aim : context.settings.objectives()) {
      if (aim.jobClass().equals(job.jobClass())
          && aim.kind().equals("wait")
          && fetchS > aim.withinS()) {
        cost *= 2;
      }
    }
    return cost;
  }

  private static boolean allowed(
      Job job, Cloud.Kind kind, Map<String, Integer> perZone, int zoneMost) {
    return job.allowsType(kind.type())
        && job.allowsZone(kind.zone())
        && (job.spot() || !kind.spot())
        && Placer.zoneTakes(job, kind.zone(), perZone, zoneMost);
  }

  private static void take(Job job, Bin bin, Map<String, Integer> perZone) {
    bin.left = bin.left.minus(job.need());
    perZone.merge(bin.kind.zone(), 1, Integer::sum);
  }

  /**
   * How many tasks of a class to be ready for: the spread of its arrivals within a boot time. Jobs
   * come by chance and each with all of its tasks, so the variance is the sum of their squares.
   */
  private int headroom(Arrivals a) {
    double bootMs = bootMs(a);
    if (a.sample.kind() != JobKind.SERVICE || bootMs <= 0) {
      return 0;
    }
    double memoryMs = bootMs * MEMORY_BOOTS;
    a.fade(context.nowMs, memoryMs);
    double sinceMs = Math.max(bootMs, context.nowMs - arrivalsSinceMs);
    double seenMs = memoryMs * (1 - Math.exp(-sinceMs / memoryMs));
    double variance = a.squares / seenMs * bootMs;
    return (int) Math.round(context.settings.operator().headroom() * Math.sqrt(2 * variance));
  }

  /** The longest boot of a machine that the class's tasks fit on. */
  private double bootMs(Arrivals a) {
    double bootS = 0;
    for (MachineType type : fleet.types().values()) {
      if (a.sample.allowsType(type.name()) && a.sample.need().fitsIn(type.room())) {
        bootS = Math.max(bootS, type.bootS());
      }
    }
    return bootS * 1000;
  }

  private void rent(List<Bin> wanted) {
    // Demand that grows while rents wait for their turn at the cloud is put into the next ones:
    // many small rents once took 25 s to ask for what a dozen larger ones bring.
    if (!cloud.listed() || cloud.rentsWait()) {
      return;
    }
    Map<Cloud.Kind, Integer> counts = new LinkedHashMap<>();
    wanted.forEach(bin -> counts.merge(bin.kind, 1, Integer::sum));
    counts.forEach((kind, count) -> cloud.rent(kind, Math.min(count, RENT_MOST)));
  }

  private void giveBack(List<Bin> bins) {
    Map<MachineEntry, Bin> packed = new HashMap<>();
    bins.forEach(bin -> packed.put(bin.machine, bin));
    int silent = 0;
    int live = 0;
    for (MachineEntry m : fleet.machines()) {
      if (m.report != null) {
        live++;
        silent += workers.heard(m) ? 0 : 1;
      }
    }
    // When most are silent at once it is this node that is cut off, not they that are lost.
    boolean believe = silent * 2 <= live;
    for (MachineEntry m : ImmutableList.copyOf(fleet.machines())) {
      if (m.returning || m.machine == null) {
        continue;
      }
      MachineType type = fleet.type(m);
      double bootMs = type == null ? 0 : type.bootS() * 1000;
      long ageMs = context.nowMs - m.sinceMs;
      if (m.faulty) {
        cloud.giveBack(m, "faulty");
      } else if (m.report == null) {
        if (type != null && overdue(m, type, FAILED_BOOT)) {
          cloud.giveBackSilent(m, "it does not come up");
        }
      } else if (believe
          && !workers.deputed(m)
          && workers.silentForMs(m) > PATIENCE_LEASES * context.leaseMs() + bootMs) {
        cloud.giveBackSilent(m, "it is silent");
      } else if (believe && workers.heard(m) && workers.deaf(m) && deafTooLong(m)) {
        cloud.giveBack(m, "commands do not reach it");
      } else if (m.placed.isEmpty() && m.tasks().isEmpty()) {
        Bin bin = packed.get(m);
        boolean needed = bin != null && !bin.left.equals(m.room);
        if (m.draining) {
          cloud.giveBack(m, "drained");
        } else if (needed) {
          m.idleSinceMs = 0;
        } else if (m.idleSinceMs == 0) {
          m.idleSinceMs = context.nowMs;
        } else if (context.nowMs - m.idleSinceMs > bootMs * context.settings.operator().idleShare()
            && ageMs > MIN_CHARGE_MS) {
          cloud.giveBack(m, "idle");
        }
      } else {
        m.idleSinceMs = 0;
      }
    }
  }

  /**
   * Whether a machine that has not reported in this term should have. One that is up may only not
   * have found a new leader yet: it has some leases' time for that, whatever its age. Without this
   * a new leader returned healthy machines in its first seconds.
   */
  private boolean overdue(MachineEntry m, MachineType type, double boots) {
    return m.upMs > 0
        ? context.nowMs - m.upMs
            > PATIENCE_LEASES * context.leaseMs() + (boots == FAILED_BOOT ? type.bootS() * 1000 : 0)
        : context.nowMs - m.sinceMs > type.bootS() * 1000 * boots;
  }

  private boolean deafTooLong(MachineEntry m) {
    return context.nowMs - m.deafSinceMs > context.leaseMs();
  }
}
