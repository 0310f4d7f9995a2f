package eiderfork.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.jobs.UserRequestHandler;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.message.UserResponse;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests requests that a node executes against the store itself because it can't reach a leader, and
 * their conflicts with concurrent writes.
 */
class UserRequestHandlerTest {
  private static final Job JOB = TestFixtures.job(1, JobKind.ARRAY, 2, 1);

  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 1_000_000);
  private final StoreClient store = new StoreClient(context);
  private final LeaderElection election = new LeaderElection(context, store, null);
  private final ClusterVersion version = new ClusterVersion(context, store, election);
  private final JobRegistry jobs = new JobRegistry(context, store, election, version);
  private final UserRequestHandler handler =
      new UserRequestHandler(
          context,
          election,
          store,
          jobs,
          new MachineRegistry(context, jobs),
          null,
          null,
          new CancellationTracker(context, uid -> {}),
          version,
          () -> {});
  private final List<UserResponse> responses = new ArrayList<>();

  /**
   * Completes a call with a reply, if there is one, and returns the one request to the store that
   * follows.
   */
  private StoreRequest nextRequest(Reply reply, long callId) {
    if (reply != null) {
      context.completeCall(callId, reply);
    }
    context.advanceBy(1000);
    store.sendQueued();
    List<Effect> effects = context.drainEffects();
    assertEquals(1, effects.size());
    lastCallId = ((Effect.CallStore) effects.get(0)).callId();
    return ((Effect.CallStore) effects.get(0)).request();
  }

  private long lastCallId;

  /** Cancels the job, replies to the reads and returns the write of the cancellation. */
  private StoreRequest.Transaction cancelUntilWrite(
      StoredRecord.Allocation allocation, long allocVersion) {
    handler.handle(new Input.Cancel(1, JOB.uid()), true, responses::add);
    assertEquals(new StoreRequest.Get(StoreKeys.job(JOB.uid())), nextRequest(null, 0));
    Reply job = new Reply.Value(new StoredRecord.JobSpec(JOB), 3);
    assertEquals(
        new StoreRequest.Get(StoreKeys.allocation(JOB.uid())), nextRequest(job, lastCallId));
    return (StoreRequest.Transaction)
        nextRequest(new Reply.Value(allocation, allocVersion), lastCallId);
  }

  private static StoredRecord.Allocation alloc(boolean done) {
    return new StoredRecord.Allocation(1, done, ImmutableList.of(), ImmutableList.of());
  }

  /** Without the condition on the allocation, a job already reported as done could be cancelled. */
  @Test
  void cancellationIsConditionalOnTheAllocationThatWasRead() {
    StoreRequest.Transaction write = cancelUntilWrite(alloc(false), 9);
    assertEquals(
        ImmutableList.of(
            new StoreRequest.Condition(StoreKeys.cancellation(JOB.uid()), 0),
            new StoreRequest.Condition(StoreKeys.allocation(JOB.uid()), 9),
            new StoreRequest.Condition(StoreKeys.archivedJob(JOB.uid()), 0)),
        write.conditions());
  }

  @Test
  void jobThatCompletesMeanwhileIsNotCancelled() {
    cancelUntilWrite(alloc(false), 9);
    Reply conflict = new Reply.Conflict(ImmutableList.of(StoreKeys.allocation(JOB.uid())));
    assertEquals(
        new StoreRequest.Get(StoreKeys.allocation(JOB.uid())), nextRequest(conflict, lastCallId));
    context.completeCall(lastCallId, new Reply.Value(alloc(true), 10));
    assertEquals(JobStatus.Phase.DONE, responses.get(0).job().phase());
  }

  /** Late writes of an older version may have recreated a done job and its cancellation. */
  @Test
  void cancellationOfAnArchivedJobIsAnsweredWithItsFinalStatus() {
    cancelUntilWrite(StoredRecord.Allocation.EMPTY, 0);
    Reply conflict =
        new Reply.Conflict(
            ImmutableList.of(StoreKeys.cancellation(JOB.uid()), StoreKeys.archivedJob(JOB.uid())));
    assertEquals(
        new StoreRequest.Get(StoreKeys.archivedJob(JOB.uid())), nextRequest(conflict, lastCallId));
    StoredRecord ended = new StoredRecord.ArchivedJob(JobStatus.Phase.DONE, 2);
    context.completeCall(lastCallId, new Reply.Value(ended, 12));
    assertEquals(JobStatus.Phase.DONE, responses.get(0).job().phase());
  }

  private static final Job GANG = TestFixtures.gang(2, 3, 1, 4, true);

  /**
   * Submits a gang to this node, which can't reach a leader, and replies to the reads until the
   * cluster version is read.
   */
  private void submitGang() {
    handler.handle(new Input.Submit(1, GANG, new byte[0]), true, responses::add);
    assertEquals(new StoreRequest.Get(StoreKeys.job(GANG.uid())), nextRequest(null, 0));
    Reply absent = new Reply.Value(null, 0);
    assertEquals(
        new StoreRequest.Get(StoreKeys.archivedJob(GANG.uid())), nextRequest(absent, lastCallId));
    assertEquals(new StoreRequest.Get(StoreKeys.MACHINE_TYPES), nextRequest(absent, lastCallId));
    MachineType type =
        new MachineType("g4", new Resources(16, 4, 64), 9, 2, 8, 3, 4, ImmutableList.of("a"));
    Reply types = new Reply.Value(new StoredRecord.MachineTypes(ImmutableList.of(type)), 2);
    assertEquals(new StoreRequest.Get(StoreKeys.CLUSTER_VERSION), nextRequest(types, lastCallId));
  }

  /** A leader of an older version would accept the gang and run it by older rules. */
  @Test
  void gangIsNotForwardedWhileTheLeaderMayRunAnOlderVersion() {
    election.observeLeader("roost-1", 4);
    assertEquals("roost-1", election.leader());
    submitGang();
    context.completeCall(lastCallId, new Reply.Value(null, 0));
    assertEquals(503, responses.get(0).status());
    assertTrue(responses.get(0).retryAfterS() > 0);
  }

  @Test
  void nodeWithoutConfirmedVersionReadsTheStoredOne() {
    submitGang();
    Reply storedVersion =
        new Reply.Value(new StoredRecord.StoredVersion(ClusterVersion.CURRENT), 8);
    StoreRequest.Transaction write =
        (StoreRequest.Transaction) nextRequest(storedVersion, lastCallId);
    assertEquals(
        StoreRequest.Change.put(StoreKeys.job(GANG.uid()), new StoredRecord.JobSpec(GANG)),
        write.changes().get(0));
  }

  /** A peer may have stored the job before the limits were lowered; then it is not refused. */
  @Test
  void oversizedSubmissionIsLookedUpBeforeItIsRefused() {
    submitGang();
    nextRequest(
        new Reply.Value(new StoredRecord.StoredVersion(ClusterVersion.CURRENT), 8), lastCallId);
    assertEquals(
        new StoreRequest.Get(StoreKeys.job(GANG.uid())),
        nextRequest(new Reply.Refused(400), lastCallId));
    Reply storedSpec = new Reply.Value(new StoredRecord.JobSpec(GANG), 7);
    assertEquals(
        new StoreRequest.Get(StoreKeys.cancellation(GANG.uid())),
        nextRequest(storedSpec, lastCallId));
    nextRequest(new Reply.Value(null, 0), lastCallId);
    // Without an alloc record the job may have been archived between the reads.
    assertEquals(
        new StoreRequest.Get(StoreKeys.archivedJob(GANG.uid())),
        nextRequest(new Reply.Value(null, 0), lastCallId));
    context.completeCall(lastCallId, new Reply.Value(null, 0));
    assertEquals(200, responses.get(0).status());
  }

  @Test
  void cancellationWithoutReplyIsNotConfirmed() {
    cancelUntilWrite(alloc(false), 9);
    context.completeCall(lastCallId, new Reply.Unanswered());
    assertEquals(503, responses.get(0).status());
    assertTrue(context.drainEffects().isEmpty());
  }
}
