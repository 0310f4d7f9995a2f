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
  final int nodeCount;
  final FakeStore store = new FakeStore();
  final FakeCloud cloud;
  final ProtocolChecker checker;
  final FakeGangs gangs = new FakeGangs(this);
  final FakeProgress progress = new FakeProgress(this);
  final Map<String, Controller> controllers = new TreeMap<>();

  /** Nodes that run the version before, now and when they start again. */
  final Set<String> olderVersionNodes = new HashSet<>();

  /** The version that those nodes run. */
  int olderVersion = ClusterVersion.FIRST;

  final Map<String, Integer> processEpochs = new HashMap<>();

  /** Links that carry nothing now, as "from>to"; "*" stands for every worker. */
  final Set<String> cutLinks = new HashSet<>();

  /** The same for connections that the first one opens; answers over others' pass. */
  final Set<String> blockedConnections = new HashSet<>();

  /** Links over which reports are held back, as "from>to", and until when. */
  final Map<String, Long> heartbeatsHeldUntilMs = new HashMap<>();

  /** The chance that a message is lost, and that it is late by up to {@link #maxDelayMs}. */
  double lossProbability;

  double delayProbability;
  double duplicateProbability;
  long maxDelayMs = 15_000;

  /** The chance that a transaction gets no answer and is carried out 2 to 12 s later. */
  double lateTransactionProbability;

  /** The chance that a transaction is carried out at once and only its answer is lost. */
  double lostStoreReplyProbability;

  /** The chance that a copy of a report comes again, from 2 s to one and a half leases later. */
  double repeatedHeartbeatProbability;

  /** The chance that a copy of a report is kept until a new leader begins, for every node. */
  double nextLeaderHeartbeatProbability;

  /** Machines keep the images that they have fetched, so that tasks start there at once. */
  boolean cachesImages;

  /** Is told each effect of a controller, with its node, before it is carried out. */
  BiConsumer<String, Effect> effectObserver = (node, effect) -> {};

  private final FakeHeartbeats reports = new FakeHeartbeats(this);
  private final FakeUsers users = new FakeUsers(this);
  private final FakeNetwork network = new FakeNetwork(this);

  final FakeStoreAccess storeAccess = new FakeStoreAccess(this);

  /** How much longer the store takes over each request. */
  long storeDelayMs;

  /** How much longer direct commands are under way. */
  long commandDelayMs;

  /** Machines on which, and jobs of which, every task fails. */
  final Set<String> failingMachines = new HashSet<>();

  final Set<String> failingJobs = new HashSet<>();

  /** Tasks that fail on every machine. */
  final Set<TaskId> failingTasks = new HashSet<>();

  long nowMs = 1_000_000;
  private final PriorityQueue<Event> queue = new PriorityQueue<>();
  private long order;
  private long tickets;
  final Map<Long, Consumer<Effect>> responseHandlers = new HashMap<>();
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Set<TaskId> results = new HashSet<>();

  SimulatedCluster(long seed) {
    this(seed, TestFixtures.settings("roost-0"));
  }

  SimulatedCluster(long seed, Settings settings) {
    this(seed, settings, 3);
  }

  /** The names of all nodes, running or not. */
  List<String> nodeNames() {
    return java.util.stream.IntStream.range(0, nodeCount).mapToObj(i -> "roost-" + i).toList();
  }

  SimulatedCluster(long seed, Settings settings, int count) {
    this.settings = settings;
    this.nodeCount = count;
    random = new Random(seed);
    cloud = new FakeCloud(random, settings.cloudLimits().listLagS());
    checker =
        new ProtocolChecker(
            settings.teams(), (long) (settings.workerTimings().cancelDeadlineS() * 1000));
    for (String node : nodeNames()) {
      startNode(node);
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
  boolean allTasksFinished(Job job) {
    return java.util.stream.IntStream.range(0, job.tasks())
        .allMatch(index -> results.contains(new TaskId(job.uid(), index)));
  }

  /** Whether the store holds that the job is done. */
  boolean isDoneInStore(Job job) {
    return store.get(StoreKeys.alloc(job.uid())) instanceof StoredRecord.Allocation allocation
        && allocation.done();
  }

  /** Whether a task has ended well, whoever knows of it. */
  boolean isTaskFinished(TaskId id) {
    return results.contains(id);
  }

  /** A task has completed; its result is kept. */
  void recordCompletion(TaskId id) {
    results.add(id);
    checker.recordCompletion(id);
  }

  boolean taskFails(TaskId task, Machine machine) {
    return failingJobs.contains(task.jobUid())
        || failingTasks.contains(task)
        || failingMachines.contains(machine.name());
  }

  // Time.

  void schedule(long delayMs, Runnable action) {
    queue.add(new Event(nowMs + delayMs, order++, action));
  }

  private void every(long ms, Runnable action) {
    schedule(
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
    store.tick(nowMs);
    reports.tick();
    for (String node : List.copyOf(controllers.keySet())) {
      deliver(node, new Input.Tick());
    }
    gangs.tick();
    for (FakeCloud.Host host : cloud.hosts()) {
      if (host.worker == null && nowMs >= host.bootedMs && host.endedMs == Long.MAX_VALUE) {
        host.worker = new FakeWorker(this, host.machine, results);
      }
      if (host.worker != null) {
        host.worker.tick();
        reports.sendIfDue(host.worker);
      }
    }
    checker.checkCancelledTasks(nowMs);
  }

  // Nodes.

  void startNode(String node) {
    processEpochs.merge(node, 1, Integer::sum);
    Settings own =
        TestFixtures.settings(
            node,
            settings.workerTimings(),
            settings.storeLimits(),
            settings.controllerResources().cpuShare(),
            settings.controllerResources().sockets(),
            nodeCount);
    own = TestFixtures.withNextLimits(own, settings.nextStoreLimits());
    own = TestFixtures.withObjectives(own, settings.objectives());
    own = TestFixtures.withOperator(own, settings.operator());
    own = TestFixtures.withTeams(own, settings.teams());
    if (olderVersionNodes.contains(node)) {
      own = TestFixtures.withLending(own, false);
    }
    own = TestFixtures.withCloudRate(own, settings.cloudLimits().requestsPerS());
    controllers.put(node, new Controller(own, new Random(random.nextLong()), nowMs, version(node)));
  }

  /** The version that a node runs. */
  int version(String node) {
    return olderVersionNodes.contains(node) ? olderVersion : ClusterVersion.CURRENT;
  }

  void crashNode(String node, long forMs) {
    if (controllers.remove(node) != null) {
      processEpochs.merge(node, 1, Integer::sum);
      schedule(forMs, () -> startNode(node));
    }
  }

  void cutLink(String link, long forMs) {
    cutLinks.add(link);
    schedule(forMs, () -> cutLinks.remove(link));
  }

  /** Reports of this machine arrive once that time is over. */
  void holdHeartbeats(String machine, long forMs) {
    nodeNames().forEach(node -> heartbeatsHeldUntilMs.put(machine + ">" + node, nowMs + forMs));
  }

  /** A worker can't open connections to this node; commands and their answers pass. */
  void blockHeartbeats(String machine, String node, long forMs) {
    String link = machine + ">" + node;
    blockedConnections.add(link);
    schedule(forMs, () -> blockedConnections.remove(link));
  }

  /** A worker can't open connections to any controller; commands and their answers pass. */
  void blockHeartbeats(String machine, long forMs) {
    nodeNames().forEach(node -> blockHeartbeats(machine, node, forMs));
  }

  boolean isCut(String from, String to) {
    return cutLinks.contains(from + ">" + to);
  }

  private final Map<String, Long> stillUntilMs = new HashMap<>();

  /** The process stands still; what comes meanwhile waits for it. */
  void freezeNode(String node, long forMs) {
    stillUntilMs.put(node, nowMs + forMs);
  }

  void deliver(String node, Input input) {
    long stillMs = stillUntilMs.getOrDefault(node, 0L) - nowMs;
    if (stillMs > 0) {
      if (!(input instanceof Input.Tick)) {
        schedule(stillMs, () -> deliver(node, input));
      }
      return;
    }
    Controller controller = controllers.get(node);
    if (controller != null) {
      for (Effect effect : controller.handle(nowMs, input)) {
        effectObserver.accept(node, effect);
        network.carryOut(node, effect);
      }
    }
  }

  /** How long a message takes; -1 where it is lost. */
  long messageDelayMs(String from, String to) {
    return network.messageDelayMs(from, to);
  }

  /** The store refuses this node alone; its open watches wait. */
  void refuseStoreRequests(String node, long forMs) {
    storeAccess.refusedNodes.add(node);
    schedule(forMs, () -> storeAccess.refusedNodes.remove(node));
  }

  /** A controller loses the store and its peers, not its workers or users. */
  void isolateNode(String node, long forMs) {
    cutLink(node + ">state", forMs);
    for (int i = 0; i < nodeCount; i++) {
      cutLink(node + ">roost-" + i, forMs);
      cutLink("roost-" + i + ">" + node, forMs);
    }
  }

  /** A zone's machines and one controller are cut off from the other controllers and the cloud. */
  void isolateZone(String zone, String inside, long forMs) {
    network.isolateZone(zone, inside, forMs);
  }

  /** Two zones can't reach each other; both reach the store, the cloud and the users. */
  void splitZones(long forMs) {
    network.splitZones(forMs);
  }

  /** Reports of the next second are held up for this long. */
  void delayNextHeartbeats(long forMs) {
    reports.delayNext(forMs);
  }

  /** All troubles are over. */
  void clearFaults() {
    lossProbability = 0;
    delayProbability = 0;
    duplicateProbability = 0;
    lateTransactionProbability = 0;
    lostStoreReplyProbability = 0;
    repeatedHeartbeatProbability = 0;
    nextLeaderHeartbeatProbability = 0;
    commandDelayMs = 0;
    storeDelayMs = 0;
    cutLinks.clear();
    blockedConnections.clear();
    heartbeatsHeldUntilMs.clear();
    storeAccess.refusedNodes.clear();
    stillUntilMs.clear();
    workers().forEach(worker -> worker.isHanging = false);
    if (store.isDown()) {
      store.endOutage(nowMs);
    }
  }

  /** The machine hears nobody while its reports arrive. */
  void cutLinksTo(String machine, long forMs) {
    for (int i = 0; i < nodeCount; i++) {
      cutLink("roost-" + i + ">" + machine, forMs);
    }
  }

  /** The machine reaches no controller while commands reach it. */
  void cutLinksFrom(String machine, long forMs) {
    for (int i = 0; i < nodeCount; i++) {
      cutLink(machine + ">roost-" + i, forMs);
    }
  }

  void sendRequest(
      String node, java.util.function.LongFunction<Input> request, Consumer<Effect> onComplete) {
    if (controllers.containsKey(node)) {
      long ticket = ++tickets;
      responseHandlers.put(ticket, onComplete);
      deliver(node, request.apply(ticket));
    }
  }

  // Workers.

  List<FakeWorker> workers() {
    return cloud.workers();
  }

  /** A machine stops with all that is on it. */
  void failMachine(String name) {
    cloud.fail(name, nowMs);
  }

  // Users.

  /** A user submits until the job is accepted or refused for good. */
  void submit(Job job) {
    users.submit(job);
  }

  /** A user submits to this node once. */
  void submitOnce(String node, Job job) {
    users.submitOnce(node, job);
  }

  void cancel(String uid) {
    users.cancel(uid);
  }

  /** Asks this node once to cancel. */
  void cancelOnce(String node, String uid) {
    users.cancelOnce(node, uid);
  }

  /** Asks a random live node once. */
  void queryRandomNode(String uid) {
    users.queryRandomNode(uid);
  }

  /** Asks all nodes at once. */
  void queryAllNodes(String uid) {
    users.queryAllNodes(uid);
  }

  /** Asks all nodes at once, and submits the job once more at each. */
  void queryAndResubmitEverywhere(String uid) {
    users.queryAndResubmitEverywhere(uid);
  }

  /** After each answer that says something new of a job, all nodes are asked within moments. */
  void setProbesAfterNews(boolean value) {
    users.setProbesAfterNews(value);
  }

  String leader() {
    StoredRecord record = store.get(StoreKeys.LEADER);
    return record instanceof StoredRecord.Leadership it ? it.node() : null;
  }
}
