package eiderfork.loadtest;

import com.google.common.collect.ImmutableMap;
import eiderfork.config.Settings.Endpoint;
import eiderfork.model.Attempt;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.TaskId;
import eiderfork.model.Team;
import eiderfork.net.HttpServer;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A region: its controller processes, and on one event loop its emulated store, cloud, workers and
 * users. All mutable state belongs to that event loop unless a method says otherwise.
 */
final class EmulatedCell implements EmulatedCloud.MachineListener {
  private static final int BACKLOG = 4096;
  private static final long TICK_MS = 50;
  private static final long SECOND_MS = 1000;

  /** Addresses beyond the number of workers, as a share of it, for replacement machines. */
  private static final double SPARE_ADDRESS_SHARE = 0.3;

  /** Replicas of services that were accepted more recently than this do not count as missing. */
  private static final long REPLICA_START_GRACE_MS = 15_000;

  /** Upper bound of the recorded latencies; longer ones are recorded as this value. */
  private static final long MAX_RECORDED_MS = 3_600_000;

  private static final int TOKEN_SEQUENCE_BITS = 24;

  private static final String LOOPBACK = "127.0.0.1";

  /** A service that should be running, with the number of its running replicas. */
  private static final class ServiceReplicas {
    final Job job;

    /** Time at which the user received the acceptance; tasks may start before it. */
    long acceptedMs = Long.MAX_VALUE;

    int running;

    ServiceReplicas(Job job) {
      this.job = job;
    }
  }

  final int number;
  final EventLoop loop;
  final UniformRandomProvider random;
  final CellCounters counters = new CellCounters();
  final JobCatalog catalog = new JobCatalog();
  final InvariantChecker checker;
  final ByteCounter workerBytes = new ByteCounter(counters);
  final Histogram startMs = new Histogram(MAX_RECORDED_MS, 3);
  final Histogram urgentStartMs = new Histogram(MAX_RECORDED_MS, 3);
  final Histogram rampStartMs = new Histogram(MAX_RECORDED_MS, 3);
  final Histogram acceptMs = new Histogram(MAX_RECORDED_MS, 3);

  /** Delay of the cell's own ticks; shows when the emulation itself is overloaded. */
  final Histogram lagMs = new Histogram(MAX_RECORDED_MS, 3);

  final List<RecoveryTimer> recoveries = new ArrayList<>();

  private final LoadTestSettings settings;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<ControllerProcess> controllers = new ArrayList<>();
  private final Map<String, Integer> controllerIndex = new HashMap<>();
  private final EmulatedStore store;
  private final EmulatedCloud cloud;
  private final EmulatedUsers users;
  private final CellLayout layout;
  private final ImmutableMap<String, Team> teams;
  private final Map<String, EmulatedWorker> workers = new LinkedHashMap<>();
  private final Map<String, EmulatedWorker> workersByAddress = new HashMap<>();
  private final Deque<String> freeAddresses = new ArrayDeque<>();
  private final Map<String, ServiceReplicas> services = new HashMap<>();
  private final Map<String, BitSet> startedTasksByJob = new HashMap<>();
  private final Set<String> liveJobs = new HashSet<>();
  private int runningTasks;
  private int nextRack;
  private long highestFencingToken;
  private long loadStartMs = Long.MAX_VALUE;
  private long lastTickMs;

  EmulatedCell(LoadTestSettings settings, int number) {
    this.settings = settings;
    this.number = number;
    loop = group.next();
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed() * 1000 + number);
    layout = new CellLayout(settings, number);
    teams = layout.teams();
    checker = new InvariantChecker((long) (1000 * settings.workers().cancelS()), teams);
    store = new EmulatedStore(settings.state(), loop, random, counters);
    cloud = new EmulatedCloud(settings, layout.types(), loop, random, counters, this);
    users = new EmulatedUsers(this, settings);
  }

  // Called from the load test's own thread.

  /** Opens the listening sockets and prepares the controller processes, without starting them. */
  void prepare(Path directory, List<String> command, FreePorts ports)
      throws IOException, InterruptedException {
    Endpoint any = new Endpoint(LOOPBACK, 0);
    Endpoint stateAddress = address(new HttpServer(store::handle, BACKLOG).listen(group, any));
    Endpoint cloudAddress = address(new HttpServer(cloud::handle, BACKLOG).listen(group, any));
    int addresses = (int) Math.ceil(settings.cells().workers() * (1 + SPARE_ADDRESS_SHARE)) + 1;
    for (int i = 0; i < addresses; i++) {
      listenForWorker(any);
    }
    List<ControllerSettingsWriter.Member> members = new ArrayList<>();
    for (int i = 0; i < settings.cells().controllers(); i++) {
      String zone = layout.zone(i % settings.cells().zones());
      members.add(
          new ControllerSettingsWriter.Member(
              "region-" + number + "-controller-" + i, zone, ports.next(), ports.next()));
    }
    for (int i = 0; i < members.size(); i++) {
      ControllerSettingsWriter.Member member = members.get(i);
      String text =
          ControllerSettingsWriter.of(
              settings, members, i, stateAddress, cloudAddress, teams.values());
      controllers.add(
          new ControllerProcess(
              member.name(), member.zone(), member.publicAddress(), directory, command, text));
      controllerIndex.put(member.name(), i);
    }
    PreloadedJobs.storeEnded(store, settings.preloadedEndedJobs(), random);
    PreloadedJobs.storeArchived(store, settings.preloadedArchivedJobs(), random);
  }

  private void listenForWorker(Endpoint any) throws InterruptedException {
    String[] address = new String[1];
    HttpServer server =
        new HttpServer(
            exchange -> {
              EmulatedWorker worker = workersByAddress.get(address[0]);
              if (worker != null) {
                worker.handle(exchange);
              }
            },
            BACKLOG);
    address[0] = address(server.listen(group, any)).toString();
    freeAddresses.add(address[0]);
  }

  private static Endpoint address(Channel channel) {
    return new Endpoint(LOOPBACK, ((InetSocketAddress) channel.localAddress()).getPort());
  }

  /**
   * Runs a task on the cell's event loop and waits for its result.
   *
   * @throws IllegalStateException if the call failed; its cause is the failure
   */
  <T> T call(Callable<T> task) throws InterruptedException {
    try {
      return loop.submit(task).get();
    } catch (ExecutionException e) {
      throw new IllegalStateException("a call on cell " + number + " failed", e.getCause());
    }
  }

  /** Starts the load and the periodic checks. */
  void startLoad() {
    loop.execute(
        () -> {
          loadStartMs = SteadyClock.nowMs();
          users.start();
        });
    loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(this::tickSecond, SECOND_MS, SECOND_MS, TimeUnit.MILLISECONDS);
  }

  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  List<ControllerProcess> controllers() {
    return controllers;
  }

  // Called on the cell's event loop.

  private void tick() {
    users.tick((SteadyClock.nowMs() - loadStartMs) / 1000.0);
    store.tick();
    long nowMs = SteadyClock.nowMs();
    if (lastTickMs > 0) {
      lagMs.recordValue(Math.max(0, nowMs - lastTickMs - TICK_MS));
    }
    lastTickMs = nowMs;
    workers.values().forEach(worker -> worker.checkLease(nowMs));
    recoveries.forEach(timer -> timer.tick(nowMs, missingReplicas()));
  }

  private void tickSecond() {
    users.checkHealth();
    checker.tick(SteadyClock.nowMs());
  }

  /** Returns the index of the controller that most workers send their heartbeats to. */
  int leader() {
    int[] votes = new int[controllers.size()];
    int most = 0;
    for (EmulatedWorker worker : workers.values()) {
      votes[worker.controllerNumber()]++;
      most = votes[worker.controllerNumber()] > votes[most] ? worker.controllerNumber() : most;
    }
    return most;
  }

  int controllerIndex(String name) {
    return name == null ? -1 : controllerIndex.getOrDefault(name, -1);
  }

  long workerLeaseMs() {
    return (long) (1000 * settings.workers().leaseS());
  }

  long heartbeatIntervalMs() {
    return (long) (1000 * settings.workers().reportS());
  }

  int workerCount() {
    return workers.size();
  }

  int runningTaskCount() {
    return runningTasks;
  }

  int liveJobCount() {
    return liveJobs.size();
  }

  int storeKeyCount() {
    return store.keyCount();
  }

  /** The number of service replicas that are not running although their grace period is over. */
  int missingReplicas() {
    long nowMs = SteadyClock.nowMs();
    int missing = 0;
    for (ServiceReplicas service : services.values()) {
      if (service.acceptedMs < nowMs - REPLICA_START_GRACE_MS) {
        missing += service.job.tasks() - service.running;
      }
    }
    return missing;
  }

  /** Starts to measure how long the effects of a fault last; ends earlier measurements. */
  void startRecoveryTimer(LoadTestSettings.Fault fault) {
    recoveries.forEach(RecoveryTimer::stop);
    recoveries.add(new RecoveryTimer(fault, term(), missingReplicas(), SteadyClock.nowMs()));
  }

  private long term() {
    return highestFencingToken >> TOKEN_SEQUENCE_BITS;
  }

  /** Partitions workers from everything else, or heals the partition. */
  void setPartitioned(Predicate<EmulatedWorker> selected, boolean partitioned) {
    for (EmulatedWorker worker : workers.values()) {
      if (selected.test(worker)) {
        worker.setPartitioned(partitioned);
      }
    }
  }

  static boolean isInFirstRack(EmulatedWorker worker) {
    return worker.rack == 0;
  }

  /** Returns whether a worker is in every third rack. */
  static boolean isInFirstThird(EmulatedWorker worker) {
    return worker.rack % 3 == 0;
  }

  /** Stops all machines of the first zone and refuses new ones there. */
  void closeZone() {
    cloud.closeZone(layout.zone(0));
  }

  void openZone() {
    cloud.openZone(layout.zone(0));
  }

  boolean isInClosedZone(ControllerProcess controller) {
    return controller.zone().equals(layout.zone(0));
  }

  // Events from the components of the cell.

  @Override
  public String allocateAddress() {
    return freeAddresses.poll();
  }

  @Override
  public void machineUp(Machine machine, MachineType type) {
    int racks = settings.cells().racksPerZone() * settings.cells().zones();
    EmulatedWorker worker = new EmulatedWorker(machine, type, nextRack++ % racks, this);
    workers.put(machine.name(), worker);
    workersByAddress.put(machine.address(), worker);
  }

  @Override
  public void machineRemoved(Machine machine) {
    EmulatedWorker worker = workers.remove(machine.name());
    if (worker != null) {
      worker.stop();
      workersByAddress.remove(machine.address());
      freeAddresses.add(machine.address());
    }
  }

  void fencingTokenObserved(long token) {
    highestFencingToken = Math.max(highestFencingToken, token);
    recoveries.forEach(timer -> timer.termObserved(term(), SteadyClock.nowMs()));
  }

  void taskStarted(EmulatedWorker worker, Attempt attempt, JobCatalog.Entry entry) {
    long nowMs = SteadyClock.nowMs();
    counters.starts++;
    runningTasks++;
    checker.started(worker.machine.name(), attempt, nowMs);
    ServiceReplicas service = services.get(attempt.task().jobUid());
    if (service != null) {
      service.running++;
    }
    BitSet started =
        startedTasksByJob.computeIfAbsent(attempt.task().jobUid(), uid -> new BitSet());
    if (!started.get(attempt.task().index())) {
      started.set(attempt.task().index());
      histogram(entry).recordValue(Math.min(MAX_RECORDED_MS, nowMs - entry.submittedMs()));
    }
  }

  private Histogram histogram(JobCatalog.Entry entry) {
    if (entry.submittedMs() - loadStartMs < 1000 * settings.phases().rampS()) {
      return rampStartMs;
    }
    return entry.jobClass().urgent() ? urgentStartMs : startMs;
  }

  void taskStopped(EmulatedWorker worker, Attempt attempt, boolean done) {
    runningTasks--;
    counters.ends += done ? 1 : 0;
    checker.stopped(worker.machine.name(), attempt, done);
    ServiceReplicas service = services.get(attempt.task().jobUid());
    if (service != null) {
      service.running--;
    }
  }

  boolean isFinished(TaskId task) {
    return checker.isFinished(task);
  }

  /** Called before a user submits a job for the first time. */
  void submissionStarted(JobCatalog.Entry entry) {
    catalog.add(entry);
    checker.submitted(entry.job());
    counters.submissions++;
    if (entry.job().kind() == JobKind.SERVICE) {
      services.put(entry.job().uid(), new ServiceReplicas(entry.job()));
    }
  }

  void accepted(JobCatalog.Entry entry, long requestedMs) {
    long nowMs = SteadyClock.nowMs();
    counters.accepted++;
    liveJobs.add(entry.job().uid());
    acceptMs.recordValue(Math.min(MAX_RECORDED_MS, nowMs - entry.submittedMs()));
    recoveries.forEach(timer -> timer.accepted(requestedMs, nowMs));
    ServiceReplicas service = services.get(entry.job().uid());
    if (service != null) {
      service.acceptedMs = Math.min(service.acceptedMs, nowMs);
    }
  }

  void cancelRequested(String uid) {
    services.remove(uid);
  }

  void jobFinished(String uid) {
    liveJobs.remove(uid);
    startedTasksByJob.remove(uid);
  }
}
