package eiderfork.controller;

import eiderfork.config.Settings;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.StoreKeys;
import eiderfork.model.Job;
import eiderfork.model.Machine;
import eiderfork.model.StoredRecord;
import eiderfork.model.TaskId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Controllers on a fake clock among scripted peers: store, cloud, workers and users, with messages
 * that are lost, late and doubled. The same seed plays the same history.
 */
final class SimulatedCluster {
  static final long TICK_MS = 50;

  private record Event(long atMs, long order, Runnable what) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return atMs != o.atMs ? Long.compare(atMs, o.atMs) : Long.compare(order, o.order);
    }
  }

  final Random random;

  final Settings settings;
  final int count;
  final FakeStore state = new FakeStore();
  final FakeCloud cloud;
  final ProtocolChecker checker;
  final FakeGangs gangs = new FakeGangs(this);
  final FakeProgress progress = new FakeProgress(this);
  final Map<String, Controller> nodes = new TreeMap<>();

  /** Nodes that run the version before, now and when they start again. */
  final Set<String> older = new HashSet<>();

  /** The version that those nodes run. */
  int olderVersion = ClusterVersion.FIRST;

  final Map<String, Integer> lives = new HashMap<>();

  /** Links that carry nothing now, as "from>to"; "*" stands for every worker. */
  final Set<String> cuts = new HashSet<>();

  /** The same for connections that the first one opens; answers over others' pass. */
  final Set<String> openCuts = new HashSet<>();

  /** Links over which reports are held back, as "from>to", and until when. */
  final Map<String, Long> heldUntilMs = new HashMap<>();

  /** The chance that a message is lost, and that it is late by up to {@link #lateMs}. */
  double loss;

  double late;
  double doubled;
  long lateMs = 15_000;

  /** The chance that a transaction gets no answer and is carried out 2 to 12 s later. */
  double lateWrites;

  /** The chance that a transaction is carried out at once and only its answer is lost. */
  double lostAnswers;

  /** The chance that a copy of a report comes again, from 2 s to one and a half leases later. */
  double lateReports;

  /** The chance that a copy of a report is kept until a new leader begins, for every node. */
  double heartbeatsForNextLeader;

  /** Machines keep the images that they have fetched, so that tasks start there at once. */
  boolean imagesStay;

  /** Is told each effect of a controller, with its node, before it is carried out. */
  BiConsumer<String, Effect> effectObserver = (node, effect) -> {};

  private final FakeHeartbeats reports = new FakeHeartbeats(this);
  private final FakeUsers users = new FakeUsers(this);
  private final FakeNetwork network = new FakeNetwork(this);

  final FakeStoreAccess stateAccess = new FakeStoreAccess(this);

  /** How much longer the store takes over each request. */
  long stateDelayMs;

  /** How much longer direct commands are under way. */
  long commandsLateMs;

  /** Machines on which, and jobs of which, every task fails. */
  final Set<String> badMachines = new HashSet<>();

  final Set<String> badJobs = new HashSet<>();

  /** Tasks that fail on every machine. */
  final Set<TaskId> badTasks = new HashSet<>();

  long nowMs = 1_000_000;
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private long order;
  private long tickets;
  final Map<Long, Consumer<Effect>> answers = new HashMap<>();
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Set<TaskId> results = new HashSet<>();

  SimulatedCluster(long seed) {
    this(seed, TestFixtures.settings("roost-0"));
  }

  SimulatedCluster(long seed, Settings settings) {
    this(seed, settings, 3);
  }

  /** The names of all nodes, running or not. */
  List<String> all() {
    return java.util.stream.IntStream.range(0, count).mapToObj(i -> "roost-" + i).toList();
  }

  SimulatedCluster(long seed, Settings settings, int count) {
    this.settings = settings;
    this.count = count;
    random = new Random(seed);
    cloud = new FakeCloud(random, settings.cloudLimits().listLagS());
    checker =
        new ProtocolChecker(
            settings.teams(), (long) (settings.workerTimings().cancelDeadlineS() * 1000));
    for (String node : all()) {
      boot(node);
    }
    every(TICK_MS, this::tickWorld);
  }

  Job job(String uid) {
    return jobs.get(uid);
  }

  void addJob(Job job) {
    jobs.put(job.uid(), job);
  }

  /** Whether every task of an array has ended well, whoever knows of it. */
  boolean finished(Job job) {
    return java.util.stream.IntStream.range(0, job.tasks())
        .allMatch(index -> results.contains(new TaskId(job.uid(), index)));
  }

  /** Whether the store holds that the job is done. */
  boolean committedDone(Job job) {
    return state.get(StoreKeys.alloc(job.uid())) instanceof StoredRecord.Allocation allocation
        && allocation.done();
  }

  /** Whether a task has ended well, whoever knows of it. */
  boolean hasResult(TaskId id) {
    return results.contains(id);
  }

  /** A task has completed; its result is kept. */
  void completed(TaskId id) {
    results.add(id);
    checker.completes(id);
  }

  boolean failing(TaskId task, Machine machine) {
    return badJobs.contains(task.jobUid())
        || badTasks.contains(task)
        || badMachines.contains(machine.name());
  }

  // Time.

  void at(long delayMs, Runnable action) {
    queue.add(new Event(nowMs + delayMs, order++, action));
  }

  private void every(long ms, Runnable action) {
    at(
        ms,
        () -> {
          action.run();
          every(ms, action);
        });
  }

  void run(double seconds) {
    long endMs = nowMs + (long) (seconds * 1000);
    while (!queue.isEmpty() && queue.peek().atMs <= endMs) {
      Event event = queue.poll();
      nowMs = event.atMs;
      event.what.run();
    }
    nowMs = endMs;
  }

  private void tickWorld() {
    state.tick(nowMs);
    reports.tick();
    for (String node : List.copyOf(nodes.keySet())) {
      input(node, new Input.Tick());
    }
    gangs.tick();
    for (FakeCloud.Host host : cloud.hosts()) {
      if (host.worker == null && nowMs >= host.upMs && host.goneMs == Long.MAX_VALUE) {
        host.worker = new FakeWorker(this, host.machine, results);
      }
      if (host.worker != null) {
        host.worker.tick();
        reports.sendIfDue(host.worker);
      }
    }
    checker.look(nowMs);
  }

  // Nodes.

  void boot(String node) {
    lives.merge(node, 1, Integer::sum);
    Settings own =
        TestFixtures.settings(
            node,
            settings.workerTimings(),
            settings.storeLimits(),
            settings.controllerResources().cpuShare(),
            settings.controllerResources().sockets(),
            count);
    own = TestFixtures.withNextLimits(own, settings.nextStoreLimits());
    own = TestFixtures.withObjectives(own, settings.objectives());
    own = TestFixtures.withOperator(own, settings.operator());
    own = TestFixtures.withTeams(own, settings.teams());
    if (older.contains(node)) {
      own = TestFixtures.withLending(own, false);
    }
    own = TestFixtures.withCloudRate(own, settings.cloudLimits().requestsPerS());
    nodes.put(node, new Controller(own, new Random(random.nextLong()), nowMs, version(node)));
  }

  /** The version that a node runs. */
  int version(String node) {
    return older.contains(node) ? olderVersion : ClusterVersion.CURRENT;
  }

  void crash(String node, long forMs) {
    if (nodes.remove(node) != null) {
      lives.merge(node, 1, Integer::sum);
      at(forMs, () -> boot(node));
    }
  }

  void cut(String link, long forMs) {
    cuts.add(link);
    at(forMs, () -> cuts.remove(link));
  }

  /** Reports of this machine arrive once that time is over. */
  void holdBack(String machine, long forMs) {
    all().forEach(node -> heldUntilMs.put(machine + ">" + node, nowMs + forMs));
  }

  /** A worker can't open connections to this node; commands and their answers pass. */
  void cutReports(String machine, String node, long forMs) {
    String link = machine + ">" + node;
    openCuts.add(link);
    at(forMs, () -> openCuts.remove(link));
  }

  /** A worker can't open connections to any controller; commands and their answers pass. */
  void cutReports(String machine, long forMs) {
    all().forEach(node -> cutReports(machine, node, forMs));
  }

  boolean isCut(String from, String to) {
    return cuts.contains(from + ">" + to);
  }

  private final Map<String, Long> stillUntilMs = new HashMap<>();

  /** The process stands still; what comes meanwhile waits for it. */
  void freeze(String node, long forMs) {
    stillUntilMs.put(node, nowMs + forMs);
  }

  void input(String node, Input input) {
    long stillMs = stillUntilMs.getOrDefault(node, 0L) - nowMs;
    if (stillMs > 0) {
      if (!(input instanceof Input.Tick)) {
        at(stillMs, () -> input(node, input));
      }
      return;
    }
    Controller controller = nodes.get(node);
    if (controller != null) {
      for (Effect effect : controller.handle(nowMs, input)) {
        effectObserver.accept(node, effect);
        network.carryOut(node, effect);
      }
    }
  }

  /** How long a message takes; -1 where it is lost. */
  long delay(String from, String to) {
    return network.delay(from, to);
  }

  /** The store refuses this node alone; its open watches wait. */
  void refuse(String node, long forMs) {
    stateAccess.refused.add(node);
    at(forMs, () -> stateAccess.refused.remove(node));
  }

  /** A controller loses the store and its peers, not its workers or users. */
  void isolate(String node, long forMs) {
    cut(node + ">state", forMs);
    for (int i = 0; i < count; i++) {
      cut(node + ">roost-" + i, forMs);
      cut("roost-" + i + ">" + node, forMs);
    }
  }

  /** A zone's machines and one controller are cut off from the other controllers and the cloud. */
  void cutZone(String zone, String inside, long forMs) {
    network.cutZone(zone, inside, forMs);
  }

  /** Two zones can't reach each other; both reach the store, the cloud and the users. */
  void splitZones(long forMs) {
    network.splitZones(forMs);
  }

  /** Reports of the next second are held up for this long. */
  void holdNextReports(long forMs) {
    reports.holdNext(forMs);
  }

  /** All troubles are over. */
  void quiet() {
    loss = 0;
    late = 0;
    doubled = 0;
    lateWrites = 0;
    lostAnswers = 0;
    lateReports = 0;
    heartbeatsForNextLeader = 0;
    commandsLateMs = 0;
    stateDelayMs = 0;
    cuts.clear();
    openCuts.clear();
    heldUntilMs.clear();
    stateAccess.refused.clear();
    stillUntilMs.clear();
    workers().forEach(worker -> worker.hanging = false);
    if (state.out()) {
      state.recover(nowMs);
    }
  }

  /** The machine hears nobody while its reports arrive. */
  void deafen(String machine, long forMs) {
    for (int i = 0; i < count; i++) {
      cut("roost-" + i + ">" + machine, forMs);
    }
  }

  /** The machine reaches no controller while commands reach it. */
  void mute(String machine, long forMs) {
    for (int i = 0; i < count; i++) {
      cut(machine + ">roost-" + i, forMs);
    }
  }

  void ask(
      String node, java.util.function.LongFunction<Input> request, Consumer<Effect> onComplete) {
    if (nodes.containsKey(node)) {
      long ticket = ++tickets;
      answers.put(ticket, onComplete);
      input(node, request.apply(ticket));
    }
  }

  // Workers.

  List<FakeWorker> workers() {
    return cloud.workers();
  }

  /** A machine stops with all that is on it. */
  void die(String name) {
    cloud.fail(name, nowMs);
  }

  // Users.

  /** A user submits until the job is accepted or refused for good. */
  void submit(Job job) {
    users.submit(job);
  }

  /** A user submits to this node once. */
  void submitAt(String node, Job job) {
    users.submitAt(node, job);
  }

  void abort(String uid) {
    users.abort(uid);
  }

  /** Asks this node once to cancel. */
  void abortAt(String node, String uid) {
    users.abortAt(node, uid);
  }

  /** Asks a random live node once. */
  void query(String uid) {
    users.query(uid);
  }

  /** Asks all nodes at once. */
  void queryAll(String uid) {
    users.queryAll(uid);
  }

  /** Asks all nodes at once, and submits the job once more at each. */
  void lookClosely(String uid) {
    users.queryAndResubmitEverywhere(uid);
  }

  /** After each answer that says something new of a job, all nodes are asked within moments. */
  void lookCloselyAtNews(boolean value) {
    users.probeAfterNews(value);
  }

  String leader() {
    StoredRecord record = state.get(StoreKeys.LEADER);
    return record instanceof StoredRecord.Leadership it ? it.node() : null;
  }
}
