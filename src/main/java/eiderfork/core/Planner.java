package eiderfork.core;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import eiderfork.core.context.Context;
import eiderfork.core.state.StateGate;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.MachineType;
import eiderfork.model.Record;
import eiderfork.model.Resources;
import eiderfork.model.Team;
import it.unimi.dsi.fastutil.objects.Reference2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
  private static final int SILENCE_LEASES = 2;

  /** How long a job that seems to fail everywhere looks for room before a machine is rented. */
  private static final int SUSPECT_RENT_LEASES = 3;

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
  private final JobTable jobs;
  private final Fleet fleet;
  private final MachineLiveness liveness;
  private final LeaseLapses lapses;
  private final Cloud cloud;
  private final Placer placer;
  private final Drain drain;
  private final ArrayWaves waves;
  private final Map<String, Arrivals> arrivals = new LinkedHashMap<>();
  private long arrivalsSinceMs;
  private long describeNextMs;
  private int examined;

  Planner(
      Context context,
      StateGate gate,
      JobTable jobs,
      Fleet fleet,
      MachineLiveness liveness,
      LeaseLapses lapses,
      Cloud cloud,
      Placer placer) {
    this.context = context;
    this.gate = gate;
    this.jobs = jobs;
    this.fleet = fleet;
    this.liveness = liveness;
    this.lapses = lapses;
    this.cloud = cloud;
    this.placer = placer;
    drain = new Drain(context, fleet, liveness, placer);
    waves = new ArrayWaves(context);
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
  int examined() {
    return examined;
  }

  void plan() {
    List<JobEntry> ranked = placer.ranked();
    Packing packing = new Packing(context, fleet, cloud, placer.gpuBalance(), bins(), lateKinds());
    Map<String, Resources> used = new HashMap<>();
    for (JobEntry entry : ranked) {
      if (entry.aborted || entry.aborting || context.nowMs < entry.failures.notBeforeMs()) {
        continue;
      }
      pack(entry, packing, used);
    }
    packSuspected(packing);
    arrivals.values().forEach(a -> packHeadroom(a, packing));
    examined = packing.examined();
    describe();
    rent(packing.toRent());
    drain.plan(packing, !packing.toRent().isEmpty());
    giveBack(packing.known());
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
      n[1] += liveness.usable(m) ? 1 : 0;
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
    LOG.info("looked at machines {} times to place, {} to plan", placer.examined(), examined);
  }

  private List<Bin> bins() {
    List<Bin> bins = new ArrayList<>();
    for (MachineEntry m : fleet.machines()) {
      if (m.machine == null || m.room == null || m.returning || m.faulty) {
        continue;
      }
      MachineType type = fleet.type(m);
      boolean coming = m.report == null && type != null && !overdue(m, type, LATE_BOOT);
      if (coming || liveness.usable(m)) {
        Cloud.Kind kind = new Cloud.Kind(m.machine.type(), m.machine.zone(), m.machine.spot());
        bins.add(new Bin(m, kind, m.room, m.free()));
      }
    }
    for (Record.Rent open : cloud.rents().openRents()) {
      MachineType type = fleet.types().get(open.type());
      if (type != null) {
        Cloud.Kind kind = new Cloud.Kind(open.type(), open.zone(), open.spot());
        for (int i = 0; i < open.count(); i++) {
          bins.add(new Bin(null, kind, type.room(), type.room()));
        }
      }
    }
    bins.sort(Comparator.comparingDouble(bin -> bin.shareLeft));
    return bins;
  }

  /** The kinds of machine of which half of those rented lately should be up by now and are not. */
  private Set<Cloud.Kind> lateKinds() {
    Multiset<Cloud.Kind> recent = HashMultiset.create();
    Multiset<Cloud.Kind> late = HashMultiset.create();
    for (MachineEntry m : fleet.machines()) {
      MachineType type = fleet.type(m);
      if (m.returning || type == null || isOld(m, type)) {
        continue;
      }
      Cloud.Kind kind = new Cloud.Kind(m.machine.type(), m.machine.zone(), m.machine.spot());
      recent.add(kind);
      if (m.report == null && overdue(m, type, LATE_BOOT)) {
        late.add(kind);
      }
    }
    Set<Cloud.Kind> kinds = new HashSet<>(late.elementSet());
    kinds.removeIf(kind -> late.count(kind) * 2 < recent.count(kind));
    return kinds;
  }

  private boolean isOld(MachineEntry m, MachineType type) {
    return context.nowMs - m.sinceMs > FAILED_BOOT * type.bootS() * 1000;
  }

  private void packHeadroom(Arrivals a, Packing packing) {
    int ready = headroom(a);
    int zoneMost = a.sample.spread() ? (ready + 1) / 2 : ready;
    packing.put(a.sample, ready, new HashMap<>(), zoneMost);
  }

  private void pack(JobEntry entry, Packing packing, Map<String, Resources> used) {
    Job job = entry.job;
    Team team = context.settings.teams().get(job.team());
    if (team == null) {
      return;
    }
    Resources before = used.computeIfAbsent(job.team(), jobs.tally()::used);
    int tasks = team.tasksWithinLimit(before, job.need(), wanted(entry));
    if (tasks > 0) {
      int put = packing.put(job, tasks, PlacementRules.zonesOf(entry), job.perZone());
      used.put(job.team(), before.plus(job.need().times(put)));
    }
  }

  /**
   * How many tasks of a job need room now. One that seems to fail everywhere rents nothing: it is
   * tried where there is room, and gets a machine for one task only after it found none for long.
   */
  private int wanted(JobEntry entry) {
    if (entry.failures.isSuspected()) {
      long sinceMs = context.nowMs - entry.failures.notBeforeMs();
      return entry.placed.isEmpty() && sinceMs > SUSPECT_RENT_LEASES * context.leaseMs() ? 1 : 0;
    }
    return waves.wanted(entry);
  }

  /**
   * Packs what stands on machines that have been silent for a while: it will want new places when
   * their leases lapse, and machines for that take a boot's time to come.
   */
  private void packSuspected(Packing packing) {
    List<MachineEntry> suspected = new ArrayList<>();
    int live = 0;
    for (MachineEntry m : fleet.machines()) {
      if (m.report != null && !m.returning) {
        live++;
        if (lapses.suspected(m)) {
          suspected.add(m);
        }
      }
    }
    if (suspected.size() * 2 > live) {
      // It is this node that is cut off.
      return;
    }
    for (MachineEntry m : suspected) {
      for (Reservation p : m.placed) {
        if (p.wanted()) {
          Map<String, Integer> perZone = PlacementRules.zonesOf(p.job);
          perZone.merge(m.zone(), -1, Integer::sum);
          packing.put(p.job.job, 1, perZone, p.job.job.perZone());
        }
      }
    }
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
    if (!cloud.listed() || cloud.rents().rentsWait()) {
      return;
    }
    Map<Cloud.Kind, Integer> counts = new LinkedHashMap<>();
    wanted.forEach(bin -> counts.merge(bin.kind, 1, Integer::sum));
    counts.forEach(this::rent);
  }

  /** Rents of one kind for so many machines, as far as they may be asked for at once. */
  private void rent(Cloud.Kind kind, int count) {
    int left = count;
    for (int i = 0; i < cloud.rents().mostAtOnce(kind) && left > 0; i++) {
      cloud.rents().rent(kind, Math.min(left, RENT_MOST));
      left -= RENT_MOST;
    }
  }

  private void giveBack(List<Bin> bins) {
    Map<MachineEntry, Bin> packed = new Reference2ObjectOpenHashMap<>();
    for (Bin bin : bins) {
      if (bin.machine != null && bin.machine.placed.isEmpty()) {
        packed.put(bin.machine, bin);
      }
    }
    int silent = 0;
    int live = 0;
    for (MachineEntry m : fleet.machines()) {
      if (m.report != null) {
        live++;
        silent += liveness.heard(m) ? 0 : 1;
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
        cloud.returns().giveBack(m, "faulty");
      } else if (m.report == null) {
        if (type != null && overdue(m, type, FAILED_BOOT)) {
          cloud.returns().giveBackSilent(m, "it does not come up");
        }
      } else if (believe
          && !lapses.proxied(m)
          && liveness.silentForMs(m) > SILENCE_LEASES * context.leaseMs() + bootMs) {
        cloud.returns().giveBackSilent(m, "it is silent");
      } else if (believe && liveness.heard(m) && liveness.deaf(m) && deafTooLong(m)) {
        cloud.returns().giveBack(m, "commands do not reach it");
      } else if (m.placed.isEmpty() && m.tasks().isEmpty()) {
        Bin bin = packed.get(m);
        boolean needed = bin != null && !bin.left.equals(m.room);
        if (m.draining) {
          cloud.returns().giveBack(m, "drained");
        } else if (needed) {
          m.idleSinceMs = 0;
        } else if (m.idleSinceMs == 0) {
          m.idleSinceMs = context.nowMs;
        } else if (context.nowMs - m.idleSinceMs > bootMs * context.settings.operator().idleShare()
            && ageMs > MIN_CHARGE_MS) {
          cloud.returns().giveBack(m, "idle");
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
            > SILENCE_LEASES * context.leaseMs() + (boots == FAILED_BOOT ? type.bootS() * 1000 : 0)
        : context.nowMs - m.sinceMs > type.bootS() * 1000 * boots;
  }

  private boolean deafTooLong(MachineEntry m) {
    return context.nowMs - m.deafSinceMs > context.leaseMs();
  }
}
