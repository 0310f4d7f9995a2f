package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Command;
import eiderfork.model.Heartbeat;
import eiderfork.model.JobKind;
import eiderfork.model.Machine;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.TaskStatus;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;

/** A leader of term 1 that knows one worker and a job of two tasks; time is the test's. */
abstract class LeaderAndWorkerFixture {
  static final Machine MACHINE = new Machine("n-1", "n-1:1", "g4", "a", false);
  static final long SESSION = 1;

  /** Three nodes stand in one zone, five in two. */
  private final int nodes;

  final ControllerContext context;
  final StoreClient gate;
  final LeaderElection term;
  final JobRegistry jobs;
  final MachineRegistry fleet;
  final MachineLiveness liveness;
  final LeaseExpiry lapses;
  final WorkerLeaseLog log;
  final WorkerCommander workers;

  /** Reads of the lease proxies' records that are under way. */
  final Deque<Consumer<Set<String>>> reads = new ArrayDeque<>();

  JobState job;
  MachineState machine;
  long firstToken;

  LeaderAndWorkerFixture(int nodes) {
    this.nodes = nodes;
    context =
        new ControllerContext(TestFixtures.settings("roost-0", nodes), new Random(1), 1_000_000);
    gate = new StoreClient(context);
    term = new LeaderElection(context, gate, ElectedLeader.NO_LISTENER);
    ClusterVersion version = new ClusterVersion(context, gate, term);
    jobs = new JobRegistry(context, gate, term, version);
    fleet = new MachineRegistry(context, jobs);
    CancellationTracker cancellations = new CancellationTracker(context, uid -> {});
    liveness = new MachineLiveness(context, term);
    PeerMonitor peers = new PeerMonitor(context, term, cancellations, version);
    log = new WorkerLeaseLog(context);
    lapses = new LeaseExpiry(context, fleet, peers, liveness, log, reads::add, () -> {});
    workers =
        new WorkerCommander(
            context, term, jobs, fleet, cancellations, liveness, lapses, log, () -> {});
  }

  /** This node leads term 1 and knows a job of two tasks and an empty machine. */
  @BeforeEach
  void lead() {
    ElectedLeader.win(context, term);
    // The leader's share of the rates fills up.
    context.nowMs += 500;
    assertTrue(term.sure());
    context.takeEffects();
    workers.elected();
    workers.rebuilt();
    fleet.types(
        ImmutableList.of(
            new MachineType("g4", new Resources(4, 4, 64), 50, 2, 8, 3, 4, ImmutableList.of("a"))));
    job = jobs.add(TestFixtures.job(1, JobKind.ARRAY, 2, 1), 1);
    firstToken = term.firstToken() + 1;
    report(SESSION, 1, firstToken);
    machine = fleet.get("n-1");
  }

  <T extends Effect> List<T> effects(Class<T> kind) {
    return ElectedLeader.effects(context, kind);
  }

  /** Time passes, a tick's worth or less, and the leader's own lease is renewed. */
  void pass(long ms) {
    context.nowMs += ms;
    term.tick();
    gate.pump();
    for (Effect.AskState asked : effects(Effect.AskState.class)) {
      if (asked.op() instanceof StoreRequest.Renew renew) {
        context.answered(asked.call(), new Reply.Leased(renew.lease()));
      }
    }
    context.takeEffects();
  }

  /** Answers the one call to the state service that is open. */
  void answer(Reply reply) {
    ElectedLeader.answer(context, reply);
  }

  List<Command> report(long session, long seq, long token, TaskStatus... tasks) {
    context.takeEffects();
    workers.report(1, reportOf(session, seq, token, tasks));
    List<Effect.AnswerWorker> answers = effects(Effect.AnswerWorker.class);
    return answers.isEmpty() ? List.of() : answers.get(0).commands();
  }

  static Heartbeat reportOf(long session, long seq, long token, TaskStatus... tasks) {
    return new Heartbeat(MACHINE, session, seq, token, null, ImmutableList.copyOf(tasks));
  }

  static TaskStatus running(Reservation task) {
    return new TaskStatus(task.id(), TaskStatus.State.RUNNING, null, false);
  }

  static TaskStatus done(Reservation task) {
    return new TaskStatus(task.id(), TaskStatus.State.ENDED, TaskStatus.Cause.DONE, false);
  }

  Reservation reserved() {
    Reservation task = jobs.propose(job, 0, job.nextAttempt(), machine);
    jobs.write(job, RequestPriority.START);
    answer(new Reply.Committed(5));
    assertTrue(task.committed);
    return task;
  }

  /** A reserved task that was started and is seen to run, by report 2. */
  Reservation started() {
    Reservation task = reserved();
    report(SESSION, 2, firstToken);
    report(SESSION, 3, firstToken, running(task));
    assertEquals(TaskStatus.State.RUNNING, task.seen);
    return task;
  }
}
