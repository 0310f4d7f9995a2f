package eiderfork.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.core.context.Context;
import eiderfork.core.state.StateGate;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Priority;
import eiderfork.model.Report;
import eiderfork.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The index names every machine with room, and forgets what is proved no longer. */
class RoomIndexTest {
  private static final ImmutableList<String> ZONES = ImmutableList.of("a", "b");

  private final Context context = new Context(Samples.settings("roost-0"), new Random(1), 0);
  private final JobTable jobs = new JobTable(context, new StateGate(context), null, null);
  private final Fleet fleet = new Fleet(context, jobs);
  private final LoanRoom loans = new LoanRoom(context, jobs, fleet);
  private final RoomIndex index = fleet.sets().roomIndex();
  private final Random random = new Random(2);
  private int lastJob;

  RoomIndexTest() {
    fleet.types(
        ImmutableList.of(
            new MachineType("g8", new Resources(64, 8, 512), 50, 2, 8, 3, 4, ZONES),
            new MachineType("c100", new Resources(100, 0, 256), 50, 2, 8, 3, 4, ZONES)));
  }

  private MachineEntry machine(String name, String type, String zone, boolean spot) {
    Machine machine = new Machine(name, name + ":1", type, zone, spot);
    MachineEntry entry = fleet.known(machine);
    fleet.reported(entry, new Report(machine, 1, 1, 0, null, ImmutableList.of()));
    return entry;
  }

  private Job job(Resources need, boolean spot) {
    Job like = Samples.job(++lastJob, JobKind.SERVICE, 1, 0, "blue", Priority.HIGH, false, spot);
    Job sized = Samples.sized(like, need, 0, "any");
    return new Job(
        sized.uid(),
        sized.jobClass(),
        sized.team(),
        sized.kind(),
        sized.priority(),
        1,
        need,
        null,
        null,
        false,
        false,
        spot,
        "img",
        1,
        0,
        0,
        0,
        null);
  }

  private Resources need() {
    return new Resources(0.5 + random.nextInt(80) / 2.0, random.nextInt(4), random.nextInt(64));
  }

  @Test
  void noMachineWithRoomIsMissedWhateverIsPlacedAndReleased() {
    List<MachineEntry> machines = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      String type = random.nextBoolean() ? "g8" : "c100";
      machines.add(machine("n-" + i, type, ZONES.get(i % 2), random.nextBoolean()));
    }
    List<Reservation> placed = new ArrayList<>();
    for (int step = 0; step < 2000; step++) {
      MachineEntry m = machines.get(random.nextInt(machines.size()));
      Job job = job(need(), true);
      if (random.nextInt(3) > 0 && job.need().fitsIn(m.free())) {
        placed.add(jobs.propose(jobs.add(job, lastJob), 0, 1, m));
      } else if (!placed.isEmpty()) {
        jobs.release(placed.remove(random.nextInt(placed.size())), false);
      }
      Job wanted = job(need(), random.nextBoolean());
      Set<MachineEntry> named = new HashSet<>();
      index.forEachCandidate(wanted, Set.of("a"), number -> named.add(fleet.get(number)));
      for (MachineEntry each : machines) {
        boolean fits = wanted.need().fitsIn(each.free());
        boolean allowed = each.zone().equals("a") && (wanted.spot() || !each.machine.spot());
        assertTrue(!fits || !allowed || named.contains(each), wanted.need() + " on " + each.free());
        assertTrue(allowed || !named.contains(each), "only what is allowed");
      }
    }
  }

  @Test
  void aMachineThatIsGoneIsNamedNoMore() {
    MachineEntry m = machine("n-1", "g8", "a", false);
    assertEquals(1, index.size());
    assertEquals(Set.of("a"), index.zones());
    fleet.remove(m, "it died");
    assertEquals(0, index.size());
    assertEquals(Set.of(), index.zones());
    index.forEachCandidate(
        job(new Resources(1, 0, 1), false),
        ZONES,
        number -> {
          throw new AssertionError("named " + number);
        });
  }

  @Test
  void onlyAMachineThatMayTakeTheTaskContradictsAProof() {
    MachineEntry m = machine("n-1", "g8", "a", false);
    JobEntry large = jobs.add(job(new Resources(60, 8, 1), false), 1);
    Reservation task = jobs.propose(large, 0, 1, m);
    Job waits = job(new Resources(8, 1, 1), false);
    Job waitsForMore = job(new Resources(70, 1, 1), false);
    index.failedSearches().note(waits, "a");
    index.failedSearches().note(waits, "b");
    jobs.release(task, false);
    assertTrue(!index.failedSearches().knows(waits, "a"), "the machine has room now");
    assertTrue(index.failedSearches().knows(waits, "b"), "in the other zone nothing has changed");
    index.failedSearches().note(waitsForMore, "a");
    jobs.release(jobs.propose(large, 0, 2, m), false);
    assertTrue(index.failedSearches().knows(waitsForMore, "a"), "more than the machine has");
  }

  /** Room that was claimed for one job is free for others once the claim is over. */
  @Test
  void aClaimThatLapsesContradictsWhatWasProvedBesideIt() {
    MachineEntry m = machine("n-1", "g8", "a", false);
    RoundRoom room = new RoundRoom(fleet, machine -> true, machine -> true, loans);
    room.begin(0);
    JobEntry claims = jobs.add(job(new Resources(64, 8, 1), false), 1);
    room.claim(new RoundRoom.Claim(claims, m, 1000));
    Job waits = job(new Resources(8, 1, 1), false);
    index.failedSearches().note(waits, "a");
    room.begin(500);
    assertEquals(0, room.of(m).gpus());
    assertTrue(index.failedSearches().knows(waits, "a"));
    room.begin(1000);
    assertEquals(8, room.of(m).gpus());
    assertTrue(!index.failedSearches().knows(waits, "a"));
  }

  @Test
  void aSearchMarksMachinesWithRoomThatItMayNotUse() {
    MachineEntry m = machine("n-1", "g8", "a", false);
    RoundRoom room = new RoundRoom(fleet, machine -> false, machine -> false, loans);
    room.begin(0);
    JobEntry entry = jobs.add(job(new Resources(8, 1, 1), false), 1);
    ImageFetch imageFetch = new ImageFetch(context, fleet);
    Deadlines deadlines = new Deadlines(context, fleet);
    MachineScore score = new MachineScore(context, imageFetch, GpuBalance.NONE, deadlines, entry);
    MachineSearch search =
        new MachineSearch(
            room, score, random, 1000, entry, new HashMap<>(), true, SearchLimits.NONE);
    assertEquals(null, search.best());
    assertTrue(m.passedOver);
    assertTrue(index.failedSearches().knows(entry.job, "a"));
  }
}
