package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Drawn troubles around real processes for 85 s; no case, but what the report lists as tried. From
 * the root, with the properties that {@code review/4/run.sh} sets: {@code java -cp
 * 'review/standins-2/build:target/lib/*' review2.Drawn SEED RECORD}.
 */
public final class Drawn {
  private interface Action {
    void run() throws Exception;
  }

  private static final int RUN_MS = 85_000;
  private static final int QUIET_MS = 12_000;

  private final Random random;
  private final Region region;
  private final int nodes;
  private final boolean severalZones;
  private final List<Job> live = Collections.synchronizedList(new ArrayList<>());
  private final List<Job> all = Collections.synchronizedList(new ArrayList<>());
  private final Set<Integer> stopped = Collections.synchronizedSet(new HashSet<>());
  private int lastUid;

  private Drawn(Random random, Region region) {
    this.random = random;
    this.region = region;
    nodes = region.controllers.size();
    severalZones = new HashSet<>(region.controllers.zones).size() > 1;
  }

  public static void main(String[] args) throws Exception {
    Random random = new Random(Long.parseLong(args[0]));
    List<List<String>> layouts =
        List.of(
            List.of("kokshe-tau", "ertis-boyi", "kokshe-tau", "ertis-boyi", "kokshe-tau"),
            List.of("kokshe-tau", "ertis-boyi", "kokshe-tau"),
            List.of("kokshe-tau", "kokshe-tau", "kokshe-tau"));
    List<String> zones = layouts.get(random.nextInt(layouts.size()));
    Region.Settings settings =
        new Region.Settings(zones, "kokshetau-kozaynek", Case4.TAIL, 1.5, 10, 30, 6, 3);
    boolean held;
    try (Region region = new Region(Path.of(args[1]), settings)) {
      held = new Drawn(random, region).play();
    }
    System.exit(held ? 0 : 1);
  }

  private static void later(long delayMs, Action action) {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(delayMs);
                action.run();
              } catch (Exception e) {
                // The run is over.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private Job newJob(boolean service) {
    String uid = String.format("run-%06d", ++lastUid);
    String team = "kozaynek-sheberleri-00";
    return service
        ? new Job(
            uid, "esik-kuzet", team, "standing", "production", 2, 2, 3.6, "img", 1.2, true, 0)
        : new Job(
            uid,
            "kepildik-oqu",
            team,
            "array",
            "standard",
            1 + random.nextInt(4),
            1,
            2,
            "img",
            1.2,
            false,
            500 + random.nextInt(6000));
  }

  private void submit(Job job) {
    all.add(job);
    later(
        0,
        () -> {
          if (region.submit(job)) {
            live.add(job);
          }
        });
  }

  private boolean play() throws Exception {
    region.startAll();
    region.await(20, region::allHealthy);
    for (int i = 0; i < 4; i++) {
      submit(newJob(severalZones));
    }
    region.await(25, () -> region.leader() >= 0);
    long endMs = region.record.nowMs() + RUN_MS;
    while (region.record.nowMs() < endMs) {
      region.checker.tick();
      Thread.sleep(40);
      drawTrouble(random.nextDouble(), random.nextInt(nodes));
      drawRequest(random.nextDouble(), random.nextInt(nodes));
    }
    region.cutOff = null;
    region.withoutState.clear();
    region.state().setOut(false);
    for (int node : List.copyOf(stopped)) {
      region.controllers.signal(node, "CONT");
    }
    Thread.sleep(QUIET_MS);
    region.checker.tick();
    for (Job job : List.copyOf(all)) {
      region.query(job, 0);
    }
    System.out.println(all.size() + " jobs; broken: " + region.checker.breaches());
    return region.checker.breaches().isEmpty();
  }

  private void drawTrouble(double draw, int node) throws Exception {
    boolean free = region.controllers.isAlive(node) && !stopped.contains(node);
    if (severalZones && draw < 0.004 && region.cutOff == null) {
      region.cutOff = region.controllers.zones.get(random.nextInt(2));
      region.record.line("the zones are parted");
      later(5000 + random.nextInt(40_000), () -> region.cutOff = null);
    } else if (draw < 0.0065 && free) {
      region.controllers.kill(node);
      later(300 + random.nextInt(5000), () -> region.controllers.start(node));
    } else if (draw < 0.008 && free && stopped.isEmpty()) {
      stopped.add(node);
      region.controllers.signal(node, "STOP");
      later(
          1000 + random.nextInt(20_000),
          () -> {
            region.controllers.signal(node, "CONT");
            stopped.remove(node);
          });
    } else if (draw < 0.009 && free && region.withoutState.isEmpty()) {
      region.withoutState.add(node);
      region.record.line("roost-%d loses the state service", node);
      later(2000 + random.nextInt(20_000), region.withoutState::clear);
    } else if (draw < 0.0095) {
      region.state().setOut(true);
      region.record.line("the state service is out");
      later(2000 + random.nextInt(15_000), () -> region.state().setOut(false));
    }
  }

  private void drawRequest(double draw, int node) {
    if (draw < 0.06 && live.size() < 9) {
      submit(newJob(severalZones && random.nextBoolean()));
    } else if (draw < 0.08 && live.size() > 3) {
      Job job = live.remove(random.nextInt(live.size()));
      later(0, () -> region.cancel(job));
    } else if (draw < 0.5) {
      List<Job> jobs = List.copyOf(all);
      Job job = jobs.get(random.nextInt(3) == 0 ? jobs.size() - 1 : random.nextInt(jobs.size()));
      later(
          0,
          () -> {
            region.query(job, node);
            if ("done".equals(job.finalStance)) {
              live.remove(job);
            }
          });
    }
  }
}
