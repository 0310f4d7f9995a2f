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
 * Deterministic simulation of a cluster: real controllers on a simulated clock with a fake store,
 * cloud, workers and users, and messages that are lost, delayed and duplicated. The same seed
 * always gives the same history.
 */
final class SimulatedCluster {
  static final long TICK_MS = 50;

  private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(order, other.order);
    }
  }

  /** An interruption of a link, which may have held a message back already. */
  static final class Interruption {
    final long endMs;
    boolean isConnectionUsed;

    Interruption(long endMs) {
      this.endMs = endMs;
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

  /** Nodes that run {@link #olderVersion}, now and after a restart. */
  final Set<String> olderVersionNodes = new HashSet<>();

  /** The cluster version that {@link #olderVersionNodes} run. */
  int olderVersion = ClusterVersion.FIRST;

  /**
   * A number by node that changes at each start and crash; replies to an earlier process are lost.
   */
  final Map<String, Integer> processEpochs = new HashMap<>();

  /** Links that drop every message, as "from>to"; "*" stands for all workers. */
  final Set<String> cutLinks = new HashSet<>();

  /**
   * Links, as "from>to", over which "from" can't open connections; its responses over connections
   * that "to" opened still arrive.
   */
  final Set<String> oneWayCuts = new HashSet<>();

  /**
   * The links that are interrupted, as "from>to", with the time when each recovers. The first
   * message is on an open connection and is held back until then. Its sender gives that connection
   * up, and no other one can be opened, so that later messages are lost.
   */
  final Map<String, Interruption> interruptions = new HashMap<>();

  /** The time until which heartbeats are held back, by link as "from>to". */
  final Map<String, Long> heldUntilMs = new HashMap<>();

  /** The probability that a message is lost. */
  double lossProbability;

  /** The probability that a message is delayed, by up to {@link #maxDelayMs}. */
  double delayProbability;

  /** The probability that a heartbeat or a call is delivered twice. */
  double duplicateProbability;

  long maxDelayMs = 15_000;

  /** The probability that a transaction gets no reply and is executed 2 to 12 s later. */
  double lateTransactionProbability;

  /** The probability that a transaction is executed in time and only its reply is lost. */
  double lostStoreReplyProbability;

  /** The probability that a heartbeat is delivered again, 2 s to 1.5 leases plus 2 s later. */
  double repeatedHeartbeatProbability;

  /**
   * The probability that a copy of a heartbeat is delivered to every node after a leader change.
   */
  double nextLeaderHeartbeatProbability;

  /** True if machines keep fetched images, so that later tasks with them start at once. */
  boolean cachesImages;

  /** Receives each effect of a controller with its node, before the effect is executed. */
  BiConsumer<String, Effect> effectObserver = (node, effect) -> {};

  private final FakeHeartbeats heartbeats = new FakeHeartbeats(this);
  private final FakeUsers users = new FakeUsers(this);
  private final FakeNetwork network = new FakeNetwork(this);

  final FakeStoreAccess storeAccess = new FakeStoreAccess(this);

  /** Extra time that the store takes for each request. */
  long storeDelayMs;

  /** Extra time until direct commands reach their worker. */
  long commandDelayMs;

  /** Machines on which every task fails. */
  final Set<String> failingMachines = new HashSet<>();

  /** Jobs whose tasks fail on every machine. */
  final Set<String> failingJobs = new HashSet<>();

  /** Tasks that fail on every machine. */
  final Set<TaskId> failingTasks = new HashSet<>();

  long nowMs = 1_000_000;
  private final PriorityQueue<Event> eventQueue = new PriorityQueue<>();
  private long nextEventOrder;
  private long lastTicket;
  final Map<Long, Consumer<Effect>> responseHandlers = new HashMap<>();
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Set<TaskId> finishedTasks = new HashSet<>();

  SimulatedCluster(long seed) {
    this(seed, TestFixtures.settings("roost-0"));
  }

  SimulatedCluster(long seed, Settings settings) {
    this(seed, settings, 3);
  }

  /** Returns the names of all nodes, running or not. */
  List<String> nodeNames() {
    return java.util.stream.IntStream.range(0, nodeCount).mapToObj(i -> "roost-" + i).toList();
  }

  /** Returns the zone of a node. */
  String zoneOf(String node) {
    return TestFixtures.zone(nodeNames().indexOf(node), nodeCount);
  }

  /** Returns the names of the nodes in this zone, running or not. */
  List<String> nodesIn(String zone) {
    return nodeNames().stream().filter(node -> zoneOf(node).equals(zone)).toList();
  }

  SimulatedCluster(long seed, Settings settings, int nodeCount) {
    this.settings = settings;
    this.nodeCount = nodeCount;
    random = new Random(seed);
    cloud = new FakeCloud(random, settings.cloudLimits().listLagS());
    checker =
        new ProtocolChecker(
            settings.teams(), (long) (settings.workerTimings().cancelDeadlineS() * 1000));
    for (String node : nodeNames()) {
      startNode(node);
    }
    scheduleEvery(TICK_MS, this::tick);
  }

  Job job(String uid) {
    return jobs.get(uid);
  }

  void addJob(Job job) {
    jobs.put(job.uid(), job);
  }

  /** Returns whether every task of the job has completed on a worker, reported or not. */
  boolean allTasksFinished(Job job) {
    return java.util.stream.IntStream.range(0, job.tasks())
        .allMatch(index -> finishedTasks.contains(new TaskId(job.uid(), index)));
  }

  /** Returns whether the job is recorded as done in the store. */
  boolean isDoneInStore(Job job) {
    return store.get(StoreKeys.allocation(job.uid())) instanceof StoredRecord.Allocation allocation
        && allocation.done();
  }

  /** Returns whether the task has completed on a worker, reported or not. */
  boolean isTaskFinished(TaskId id) {
    return finishedTasks.contains(id);
  }

  /** Records that a task has completed; later attempts of it end at once. */
  void recordCompletion(TaskId id) {
    finishedTasks.add(id);
    checker.recordCompletion(id);
  }

  boolean taskFails(TaskId task, Machine machine) {
    return failingJobs.contains(task.jobUid())
        || failingTasks.contains(task)
        || failingMachines.contains(machine.name());
  }

  // Time.

  /** Runs an action after a delay in simulated time. */
  void schedule(long delayMs, Runnable action) {
    eventQueue.add(new Event(nowMs + delayMs, nextEventOrder++, action));
  }

  private void scheduleEvery(long intervalMs, Runnable action) {
    schedule(
        intervalMs,
        () -> {
          action.run();
          scheduleEvery(intervalMs, action);
        });
  }

  /** Advances simulated time and runs all events that become due. */
  void run(double seconds) {
    long endMs = nowMs + (long) (seconds * 1000);
    while (!eventQueue.isEmpty() && eventQueue.peek().atMs <= endMs) {
      Event event = eventQueue.poll();
      nowMs = event.atMs;
      event.action.run();
    }
    nowMs = endMs;
  }

  private void tick() {
    store.tick(nowMs);
    heartbeats.tick();
    for (String node : List.copyOf(controllers.keySet())) {
      deliver(node, new Input.Tick());
    }
    gangs.tick();
    for (FakeCloud.Host host : cloud.hosts()) {
      if (host.worker == null && nowMs >= host.bootedMs && host.endedMs == Long.MAX_VALUE) {
        host.worker = new FakeWorker(this, host.machine, finishedTasks);
      }
      if (host.worker != null) {
        host.worker.tick();
        heartbeats.sendIfDue(host.worker);
      }
    }
    checker.checkCancelledTasks(nowMs);
  }

  // Nodes.

  /** Starts a controller process with the settings of this node. */
  void startNode(String node) {
    processEpochs.merge(node, 1, Integer::sum);
    Settings nodeSettings =
        TestFixtures.settings(
            node,
            settings.workerTimings(),
            settings.storeLimits(),
            settings.controllerResources().cpuShare(),
            settings.controllerResources().sockets(),
            nodeCount);
    nodeSettings = TestFixtures.withNextLimits(nodeSettings, settings.nextStoreLimits());
    nodeSettings = TestFixtures.withObjectives(nodeSettings, settings.objectives());
    nodeSettings = TestFixtures.withOperator(nodeSettings, settings.operator());
    nodeSettings = TestFixtures.withTeams(nodeSettings, settings.teams());
    if (olderVersionNodes.contains(node)) {
      nodeSettings = TestFixtures.withLending(nodeSettings, false);
    }
    nodeSettings = TestFixtures.withCloudRate(nodeSettings, settings.cloudLimits().requestsPerS());
    controllers.put(
        node, new Controller(nodeSettings, new Random(random.nextLong()), nowMs, version(node)));
  }

  /** Returns the cluster version that a node runs. */
  int version(String node) {
    return olderVersionNodes.contains(node) ? olderVersion : ClusterVersion.CURRENT;
  }

  /** Ends a controller process and starts it again after this time. */
  void crashNode(String node, long durationMs) {
    if (controllers.remove(node) != null) {
      processEpochs.merge(node, 1, Integer::sum);
      schedule(durationMs, () -> startNode(node));
    }
  }

  void cutLink(String link, long durationMs) {
    cutLinks.add(link);
    schedule(durationMs, () -> cutLinks.remove(link));
  }

  /** Holds back the next message of this link for this time, and drops those that follow it. */
  void interruptLink(String link, long durationMs) {
    Interruption interruption = new Interruption(nowMs + durationMs);
    interruptions.put(link, interruption);
    schedule(durationMs, () -> interruptions.remove(link, interruption));
  }

  /** Holds back heartbeats of this machine until this time has passed. */
  void holdHeartbeats(String machine, long durationMs) {
    nodeNames().forEach(node -> heldUntilMs.put(machine + ">" + node, nowMs + durationMs));
  }

  /** Keeps a worker from opening connections to this node; commands and their responses pass. */
  void blockHeartbeats(String machine, String node, long durationMs) {
    String link = machine + ">" + node;
    oneWayCuts.add(link);
    schedule(durationMs, () -> oneWayCuts.remove(link));
  }

  /** Keeps a worker from opening connections to any node; commands and their responses pass. */
  void blockHeartbeats(String machine, long durationMs) {
    nodeNames().forEach(node -> blockHeartbeats(machine, node, durationMs));
  }

  boolean isCut(String from, String to) {
    return cutLinks.contains(from + ">" + to);
  }

  private final Map<String, Long> frozenUntilMs = new HashMap<>();

  /** Suspends a controller process; its ticks are dropped, other inputs arrive when it resumes. */
  void freezeNode(String node, long durationMs) {
    frozenUntilMs.put(node, nowMs + durationMs);
  }

  void deliver(String node, Input input) {
    long frozenMs = frozenUntilMs.getOrDefault(node, 0L) - nowMs;
    if (frozenMs > 0) {
      if (!(input instanceof Input.Tick)) {
        schedule(frozenMs, () -> deliver(node, input));
      }
      return;
    }
    Controller controller = controllers.get(node);
    if (controller != null) {
      for (Effect effect : controller.handle(nowMs, input)) {
        effectObserver.accept(node, effect);
        network.execute(node, effect);
      }
    }
  }

  /** Returns the delay of a message, or -1 if it is lost. */
  long delayMs(String from, String to) {
    return network.delayMs(from, to);
  }

  /** Makes the store refuse requests of this node; its watches stay open. */
  void refuseStoreRequests(String node, long durationMs) {
    storeAccess.refusedNodes.add(node);
    schedule(durationMs, () -> storeAccess.refusedNodes.remove(node));
  }

  /** Disconnects a controller from the store and its peers, not from workers or users. */
  void isolateNode(String node, long durationMs) {
    cutLink(node + ">state", durationMs);
    for (int i = 0; i < nodeCount; i++) {
      cutLink(node + ">roost-" + i, durationMs);
      cutLink("roost-" + i + ">" + node, durationMs);
    }
  }

  /** Cuts a zone's machines and one controller off from the other controllers and the store. */
  void isolateZone(String zone, String insideNode, long durationMs) {
    network.isolateZone(zone, insideNode, durationMs);
  }

  /** Partitions the two zones; both still reach the store, the cloud and the users. */
  void splitZones(long durationMs) {
    network.splitZones(durationMs);
  }

  /** Partitions the two zones; what was sent on open connections arrives when they meet again. */
  void interruptZones(long durationMs) {
    network.interruptZones(durationMs);
  }

  /** Delays heartbeats sent within the next second by this time. */
  void delayNextHeartbeats(long durationMs) {
    heartbeats.delayNext(durationMs);
  }

  /** Ends faults of links, nodes, workers and the store; configured task failures remain. */
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
    oneWayCuts.clear();
    interruptions.clear();
    heldUntilMs.clear();
    storeAccess.refusedNodes.clear();
    frozenUntilMs.clear();
    workers().forEach(worker -> worker.isHanging = false);
    if (store.isDown()) {
      store.endOutage(nowMs);
    }
  }

  /** Drops all messages from controllers to this machine; its heartbeats still arrive. */
  void cutLinksTo(String machine, long durationMs) {
    for (int i = 0; i < nodeCount; i++) {
      cutLink("roost-" + i + ">" + machine, durationMs);
    }
  }

  /** Drops all messages from this machine to controllers; commands still reach it. */
  void cutLinksFrom(String machine, long durationMs) {
    for (int i = 0; i < nodeCount; i++) {
      cutLink(machine + ">roost-" + i, durationMs);
    }
  }

  /** Delivers a request to a node if it runs; the callback receives the response. */
  void sendRequest(
      String node, java.util.function.LongFunction<Input> request, Consumer<Effect> onComplete) {
    if (controllers.containsKey(node)) {
      long ticket = ++lastTicket;
      responseHandlers.put(ticket, onComplete);
      deliver(node, request.apply(ticket));
    }
  }

  // Workers.

  List<FakeWorker> workers() {
    return cloud.workers();
  }

  /** Stops a machine with all its tasks. */
  void failMachine(String name) {
    cloud.failHost(name, nowMs);
  }

  // Users.

  /** Submits a job, with retries until it is accepted or rejected. */
  void submit(Job job) {
    users.submit(job);
  }

  /** Submits a job to this node, without retries. */
  void submitOnce(String node, Job job) {
    users.submitOnce(node, job);
  }

  /** Cancels a job, with retries until that is confirmed or the job is done. */
  void cancel(String uid) {
    users.cancel(uid);
  }

  /** Cancels a job at this node, without retries. */
  void cancelOnce(String node, String uid) {
    users.cancelOnce(node, uid);
  }

  /** Queries a random node once. */
  void queryRandomNode(String uid) {
    users.queryRandomNode(uid);
  }

  /** Queries all nodes at once. */
  void queryAllNodes(String uid) {
    users.queryAllNodes(uid);
  }

  /** Queries all nodes at once and submits the job again to each. */
  void queryAndResubmitEverywhere(String uid) {
    users.queryAndResubmitEverywhere(uid);
  }

  /** Sets whether all nodes are queried shortly after each response with a new state of a job. */
  void setProbesAfterNews(boolean isEnabled) {
    users.setProbesAfterNews(isEnabled);
  }

  /** Returns the leader recorded in the store, or null. */
  String leader() {
    StoredRecord record = store.get(StoreKeys.LEADER);
    return record instanceof StoredRecord.Leadership leadership ? leadership.node() : null;
  }
}
