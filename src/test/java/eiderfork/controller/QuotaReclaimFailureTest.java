package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Stance;
import eiderfork.model.Priority;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Controllers and machines fail at every moment of a reclaim. A team asks for its guarantee while
 * another borrows it; the moments go from before the request until the room is taken.
 */
class QuotaReclaimFailureTest {
  private static final int FIRST_MS = -400;
  private static final int LAST_MS = 5200;
  private static final int EACH_MS = 350;

  /** The replicas that ask, and how long a trouble lasts. */
  private static final int ASKED = 8;

  private static final int LASTS_MS = 6000;

  /** What goes wrong, and whether borrowers may lose tasks, or be stopped in others' stead. */
  enum Trouble {
    LEADER_KILLED(false, w -> w.world.crash(w.leader(), 3000)),
    LEADER_KILLED_AND_BACK_AT_ONCE(false, w -> w.world.crash(w.leader(), 200)),
    LEADER_AND_NEXT_KILLED(false, QuotaReclaimFailureTest::killTwice),
    ALL_KILLED(false, w -> w.world.all().forEach(node -> w.world.crash(node, 1500))),
    FOUR_CHANGES(false, w -> changeLeaders(w, 4, 1400)),
    LEADER_STANDS_STILL(false, w -> w.world.freeze(w.leader(), LASTS_MS)),
    LEADER_ISOLATED(false, w -> w.world.isolate(w.leader(), LASTS_MS)),
    LEADER_REFUSED(false, w -> w.world.refuse(w.leader(), LASTS_MS)),
    LEADER_ISOLATED_COMMANDS_LATE(true, QuotaReclaimFailureTest::isolateWithLateCommands),
    STATE_OUT(false, QuotaReclaimFailureTest::stateOut),
    WRITES_LATE(false, w -> forAWhile(w, () -> w.world.lateWrites = 1)),
    ANSWERS_LOST(false, w -> forAWhile(w, () -> w.world.lostAnswers = 1)),
    ANSWERS_LOST_AND_LEADER_KILLED(
        false,
        w -> {
          forAWhile(w, () -> w.world.lostAnswers = 1);
          w.world.at(300, () -> w.world.crash(w.leader(), 2000));
        }),
    REPORTS_HELD_FOR_THE_NEXT_LEADER(
        false,
        w -> {
          w.world.reportsForNext = 1;
          w.world.holdNextReports(2500);
          w.world.at(200, () -> w.world.crash(w.leader(), 2000));
        }),
    BORROWERS_HANG(true, w -> hang(w, 2)),
    BORROWERS_HANG_AND_LEADER_KILLED(
        true,
        w -> {
          hang(w, 2);
          w.world.at(500, () -> w.world.crash(w.leader(), 2000));
        }),
    BORROWERS_DEAF(true, w -> busy(w, 2).forEach(m -> w.world.deafen(m, LASTS_MS))),
    BORROWERS_MUTE(true, w -> busy(w, 2).forEach(m -> w.world.mute(m, LASTS_MS))),
    BORROWERS_CUT_AND_LEADER_KILLED(
        true,
        w -> {
          busy(w, 1).forEach(m -> w.world.deafen(m, LASTS_MS));
          busy(w, 1).forEach(m -> w.world.mute(m, LASTS_MS));
          w.world.at(500, () -> w.world.crash(w.leader(), 2000));
        }),
    SAVES_HANG(
        true,
        w -> w.world.workers().forEach(m -> w.world.progress.savesHangOn.add(m.machine.name()))),
    SAVES_HANG_AND_LEADER_KILLED(
        true,
        w -> {
          w.world.workers().forEach(m -> w.world.progress.savesHangOn.add(m.machine.name()));
          w.world.at(500, () -> w.world.crash(w.leader(), 2000));
        });

    /** Machines may lose tasks, or not answer, so that others are stopped in their stead. */
    final boolean machinesFail;

    final Consumer<QuotaCluster> begin;

    Trouble(boolean machinesFail, Consumer<QuotaCluster> begin) {
      this.machinesFail = machinesFail;
      this.begin = begin;
    }
  }

  private static void killTwice(QuotaCluster w) {
    w.world.crash(w.leader(), 4000);
    w.world.at(2500, () -> w.world.crash(w.leader(), 3000));
  }

  private static void changeLeaders(QuotaCluster w, int times, long eachMs) {
    for (int i = 0; i < times; i++) {
      w.world.at(i * eachMs, () -> w.world.crash(w.leader(), 400));
    }
  }

  /** Its commands of before arrive after the next leader's. */
  private static void isolateWithLateCommands(QuotaCluster w) {
    w.world.commandsLateMs = 2500;
    w.world.isolate(w.leader(), LASTS_MS);
    w.world.at(LASTS_MS, () -> w.world.commandsLateMs = 0);
  }

  private static void stateOut(QuotaCluster w) {
    w.world.state.outage(w.world.nowMs);
    w.world.at(LASTS_MS, () -> w.world.state.recover(w.world.nowMs));
  }

  private static void forAWhile(QuotaCluster w, Runnable begin) {
    begin.run();
    w.world.at(
        LASTS_MS,
        () -> {
          w.world.lateWrites = 0;
          w.world.lostAnswers = 0;
        });
  }

  private static List<String> busy(QuotaCluster w, int machines) {
    return w.world.workers().stream()
        .filter(worker -> !worker.present().isEmpty())
        .limit(machines)
        .map(worker -> worker.machine.name())
        .toList();
  }

  private static void hang(QuotaCluster w, int machines) {
    List<FakeWorker> hung = w.world.workers().stream().limit(machines).toList();
    hung.forEach(worker -> worker.hanging = true);
    w.world.at(LASTS_MS, () -> hung.forEach(worker -> worker.hanging = false));
  }

  /** All moments at which something may go wrong. */
  private static List<Integer> moments() {
    List<Integer> moments = new ArrayList<>();
    for (int ms = FIRST_MS; ms <= LAST_MS; ms += EACH_MS) {
      moments.add(ms);
    }
    return moments;
  }

  private static QuotaCluster play(Trouble trouble, int afterMs, double checkpointS) {
    QuotaCluster w = QuotaCluster.on(7 + afterMs);
    w.filledByNight(400, checkpointS);
    long askAtMs = Math.max(0, -FIRST_MS);
    w.world.at(askAtMs, () -> w.submit(QuotaCluster.replicas(2, ASKED, QuotaCluster.DESK)));
    w.world.at(
        askAtMs + afterMs,
        () -> {
          w.guarantees.trouble(LASTS_MS + 4000);
          trouble.begin.accept(w);
        });
    w.world.run(LASTS_MS / 1000.0 + 36);
    return w;
  }

  private static void holds(Trouble trouble, QuotaCluster w, String when) {
    assertEquals(List.of(), w.world.checker.breaches, when);
    assertEquals(ASKED, w.world.checker.running("run-000002"), () -> when + ": desk");
    assertEquals(16 - ASKED, w.world.checker.running("run-000001"), () -> when + ": night");
    assertEquals(List.of(), w.guarantees.unexplained, when);
    if (!trouble.machinesFail) {
      assertEquals(0, w.world.progress.savesCutShort, () -> when + ": saves cut short");
      assertEquals(ASKED, w.world.progress.stops(), () -> when + ": stops");
    }
    long mostStops = trouble.machinesFail ? 2 : 1;
    assertTrue(
        w.world.progress.mostStopsOfATask() <= mostStops, () -> when + ": stops of one task");
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void whateverFailsTheTeamGetsItsGuaranteeAndNobodyIsStoppedTwice(Trouble trouble) {
    for (int afterMs : moments()) {
      holds(trouble, play(trouble, afterMs, 15), trouble + " after " + afterMs + " ms");
    }
  }

  /** The same for borrowers that never save. */
  @ParameterizedTest
  @EnumSource(names = {"LEADER_KILLED", "LEADER_ISOLATED", "ANSWERS_LOST_AND_LEADER_KILLED"})
  void borrowersThatCannotSaveAreStoppedOnce(Trouble trouble) {
    for (int afterMs : moments()) {
      holds(trouble, play(trouble, afterMs, 0), trouble + " after " + afterMs + " ms");
    }
  }

  /** Members of the version before, which knows nothing of lending, lead and are replaced. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void membersWithoutLendingAreAmongThem(int older) {
    for (int afterMs : moments()) {
      QuotaCluster w = QuotaCluster.on(40 + afterMs);
      w.world.older.add("roost-" + older);
      w.world.olderVersion = ClusterVersion.BITMAP_ALLOCS - 1;
      w.world.crash("roost-" + older, 50);
      w.filledByNight(400, 15);
      w.submit(QuotaCluster.replicas(2, ASKED, QuotaCluster.DESK));
      w.world.at(Math.max(0, afterMs), () -> w.world.crash(w.leader(), 1500));
      w.world.at(20_000, () -> w.world.older.clear());
      w.world.at(20_050, () -> w.world.crash("roost-" + older, 500));
      w.world.run(50);
      String when = "roost-" + older + " older, after " + afterMs + " ms";
      assertEquals(List.of(), w.world.checker.breaches, when);
      assertEquals(ASKED, w.world.checker.running("run-000002"), when);
    }
  }

  /** A save that outlasts its leader goes on under the next one, and nothing else is stopped. */
  @ParameterizedTest
  @EnumSource(names = {"LEADER_KILLED", "LEADER_ISOLATED", "ALL_KILLED"})
  void aSaveThatOutlastsItsLeaderGoesOn(Trouble trouble) {
    for (int afterMs : moments()) {
      QuotaCluster w = QuotaCluster.on(81 + afterMs);
      Job night =
          QuotaCluster.job(
              1,
              JobKind.ARRAY,
              new Resources(1, 1, 4),
              16,
              400,
              60,
              9,
              QuotaCluster.NIGHT,
              Priority.HIGH);
      w.submit(night);
      w.world.run(30);
      assertEquals(16, w.running(night));
      w.submit(QuotaCluster.replicas(2, ASKED, QuotaCluster.DESK));
      w.world.at(Math.max(0, afterMs), () -> trouble.begin.accept(w));
      w.world.run(30);
      String when = trouble + " after " + afterMs + " ms";
      assertEquals(List.of(), w.world.checker.breaches, when);
      assertEquals(ASKED, w.world.checker.running("run-000002"), when);
      assertEquals(ASKED, w.world.progress.stops(), when);
      assertEquals(0, w.world.progress.savesCutShort, when);
    }
  }

  /** The rush is over while borrowers save: they get the room back, and nothing else is stopped. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 0, 300, 1000, 2500})
  void aRushThatEndsWhileBorrowersSave(int crashAfterMs) {
    for (int endsAfterMs = 100; endsAfterMs <= LAST_MS; endsAfterMs += EACH_MS) {
      QuotaCluster w = QuotaCluster.on(11 + endsAfterMs);
      Job night = w.filledByNight(400, 15);
      Job desk = w.submit(QuotaCluster.replicas(2, ASKED, QuotaCluster.DESK));
      w.world.at(endsAfterMs, () -> w.world.abort(desk.uid()));
      if (crashAfterMs >= 0) {
        w.world.at(endsAfterMs + crashAfterMs, () -> w.world.crash(w.leader(), 2000));
      }
      w.world.run(60);
      String when = "ends after " + endsAfterMs + " ms";
      assertEquals(List.of(), w.world.checker.breaches, when);
      assertEquals(16, w.running(night), when);
      assertTrue(w.world.progress.stops() <= ASKED, () -> when + ": stops");
      assertEquals(Stance.ABORTED, w.world.checker.finalStance(desk.uid()), when);
    }
  }

  /** A borrower is cancelled while it saves; a follower confirms, and the state service is out. */
  @ParameterizedTest
  @ValueSource(ints = {0, 200, 500, 900, 1400, 2000, 2600, 3400})
  void aBorrowerThatIsCancelledWhileItSavesEndsInTime(int afterMs) {
    for (boolean crash : new boolean[] {false, true}) {
      QuotaCluster w = QuotaCluster.on(23 + afterMs);
      w.world.workers().forEach(m -> w.world.progress.savesHangOn.add(m.machine.name()));
      Job night = w.filledByNight(400, 15);
      Job desk = w.submit(QuotaCluster.replicas(2, ASKED, QuotaCluster.DESK));
      w.world.at(
          afterMs,
          () -> {
            String follower =
                w.world.all().stream().filter(n -> !n.equals(w.leader())).findFirst().orElseThrow();
            w.world.abortAt(follower, night.uid());
          });
      w.world.at(afterMs + 400, () -> w.world.state.outage(w.world.nowMs));
      if (crash) {
        w.world.at(afterMs + 600, () -> w.world.crash(w.leader(), 1500));
      }
      w.world.at(afterMs + 36_000, () -> w.world.state.recover(w.world.nowMs));
      w.world.run(75);
      w.world.abort(night.uid());
      w.world.run(15);
      assertEquals(List.of(), w.world.checker.breaches, "after " + afterMs + " ms");
      assertEquals(0, w.running(night));
      assertEquals(ASKED, w.running(desk), "after " + afterMs + " ms");
    }
  }

  /** Two teams want their guarantees from the same borrower, and the leader ends in between. */
  @ParameterizedTest
  @ValueSource(ints = {0, 50, 300, 1000})
  void twoTeamsRushAtOnce(int apartMs) {
    for (int afterMs : moments()) {
      QuotaCluster w = QuotaCluster.on(31 + afterMs + apartMs);
      Job night = w.filledByNight(400, 15);
      w.world.at(500, () -> w.submit(QuotaCluster.replicas(2, 8, QuotaCluster.DESK)));
      w.world.at(
          500 + apartMs, () -> w.submit(QuotaCluster.array(3, 10, 400, 15, QuotaCluster.LAB)));
      w.world.at(500 + afterMs, () -> w.world.crash(w.leader(), 2000));
      w.world.run(45);
      String when = "after " + afterMs + " ms";
      assertEquals(List.of(), w.world.checker.breaches, when);
      assertEquals(8, w.world.checker.running("run-000002"), when);
      assertEquals(4, w.world.checker.running("run-000003"), when);
      assertEquals(4, w.running(night), when);
    }
  }

  /** A team lends and borrows at once: it asks for its own back while it holds another's. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 200, 900, 1800, 3000})
  void aTeamThatLendsAndBorrowsAtOnce(int crashAfterMs) {
    QuotaCluster w = QuotaCluster.on(51);
    Job night = w.submit(QuotaCluster.array(1, 10, 400, 15, QuotaCluster.NIGHT));
    Job lab = w.submit(QuotaCluster.array(2, 6, 400, 15, QuotaCluster.LAB));
    w.world.run(25);
    assertEquals(16, w.running(night) + w.running(lab));
    Job desk = w.submit(QuotaCluster.replicas(3, 8, QuotaCluster.DESK));
    w.submit(QuotaCluster.replicas(4, 4, QuotaCluster.LAB));
    if (crashAfterMs >= 0) {
      w.world.at(crashAfterMs, () -> w.world.crash(w.leader(), 2000));
    }
    w.world.run(40);
    ExpectedOutcome.rulesHold(w.world);
    assertEquals(8, w.running(desk));
    assertEquals(QuotaCluster.NIGHT_GPUS, w.world.checker.held(QuotaCluster.NIGHT).gpus());
    assertEquals(QuotaCluster.LAB_GPUS, w.world.checker.held(QuotaCluster.LAB).gpus());
  }

  /** Every team is at its limit; nothing is stopped for what could not start anyway. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 300, 1500})
  void atItsLimitATeamReclaimsNothing(int crashAfterMs) {
    QuotaCluster w = QuotaCluster.on(61);
    Job desk = w.submit(QuotaCluster.replicas(1, 12, QuotaCluster.DESK));
    Job night = w.submit(QuotaCluster.array(2, 4, 400, 15, QuotaCluster.NIGHT));
    w.world.run(25);
    assertEquals(12, w.running(desk), "its limit");
    Job more =
        QuotaCluster.job(3, JobKind.SERVICE, 4, 0, 0, QuotaCluster.DESK, Priority.PRODUCTION);
    w.submit(more);
    if (crashAfterMs >= 0) {
      w.world.at(crashAfterMs, () -> w.world.crash(w.leader(), 2000));
    }
    w.world.run(30);
    ExpectedOutcome.rulesHold(w.world);
    assertEquals(4, w.running(night));
    assertEquals(0, w.running(more));
    assertEquals(0, w.world.progress.stops());
  }

  /** A gang that borrows loses a member while it is reclaimed. */
  @ParameterizedTest
  @ValueSource(ints = {-1, 100, 800, 2000})
  void aBorrowingGangLosesAMember(int crashAfterMs) {
    for (int afterMs = 0; afterMs <= LAST_MS; afterMs += EACH_MS) {
      QuotaCluster w = QuotaCluster.on(71 + afterMs);
      Job night = w.submit(QuotaCluster.array(1, 4, 400, 15, QuotaCluster.NIGHT));
      Job gang = w.submit(QuotaCluster.gang(2, 12, 400, 30, QuotaCluster.LAB));
      w.world.run(25);
      assertEquals(12, w.running(gang));
      Job desk = w.submit(QuotaCluster.replicas(3, 8, QuotaCluster.DESK));
      w.world.at(
          afterMs,
          () -> {
            List<FakeWorker> members = w.workersWith(gang, TaskStatus.State.RUNNING);
            if (!members.isEmpty()) {
              w.world.die(members.get(0).machine.name());
            }
          });
      if (crashAfterMs >= 0) {
        w.world.at(afterMs + crashAfterMs, () -> w.world.crash(w.leader(), 2000));
      }
      w.world.run(70);
      String when = "after " + afterMs + " ms";
      assertEquals(List.of(), w.world.checker.breaches, when);
      assertEquals(8, w.running(desk), when);
      assertEquals(4, w.running(night), when);
    }
  }
}
