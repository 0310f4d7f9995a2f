package eiderfork.controller.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.TestFixtures;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Heartbeat;
import eiderfork.model.Machine;
import eiderfork.model.StoredRecord;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests which fencing tokens a lease proxy answers workers with. */
class ProxyFencingTokensTest {
  private static final long TERM_START = 3L << LeaderElection.TOKEN_SEQUENCE_BITS;
  private static final long REPORTED = TERM_START + 1;
  private static final Reply VERSION_STORED =
      new Reply.Value(new StoredRecord.StoredVersion(ClusterVersion.ADOPTED_TOKENS), 5);
  private static final Reply OLDER_VERSION_STORED =
      new Reply.Value(new StoredRecord.StoredVersion(ClusterVersion.ADOPTED_TOKENS - 1), 5);

  private final ControllerContext context =
      new ControllerContext(TestFixtures.settings("roost-0"), new Random(1), 1_000_000);
  private final StoreClient store = new StoreClient(context);
  private final ProxyFencingTokens tokens =
      new ProxyFencingTokens(
          context, new ClusterVersion(context, store, new LeaderElection(context, store, null)));

  private static Heartbeat heartbeat(String name, long token) {
    Machine machine = new Machine(name, name + ":1", "g4", "a", false);
    return new Heartbeat(machine, 1, 1, token, null, ImmutableList.of());
  }

  private static Heartbeat heartbeat(long token) {
    return heartbeat("n-1", token);
  }

  /** Ticks and answers the read of the stored version that this causes. */
  private void readVersion(Reply reply) {
    tokens.tick();
    List<Effect> calls = context.drainEffects();
    assertEquals(1, calls.size());
    context.completeCall(((Effect.CallStore) calls.get(0)).callId(), reply);
  }

  @Test
  void firstAnswerRaisesTheTokenOfEachWorker() {
    readVersion(VERSION_STORED);
    assertEquals(REPORTED + ProxyFencingTokens.INCREMENT, tokens.next(heartbeat(REPORTED)));
    assertEquals(
        REPORTED + 7 + ProxyFencingTokens.INCREMENT, tokens.next(heartbeat("n-2", REPORTED + 7)));
  }

  /** The leader may have reached the worker, or another proxy, or the raised token was lost. */
  @Test
  void tokenIsRaisedAgainIfTheWorkerReportsAnotherOne() {
    readVersion(VERSION_STORED);
    long raised = tokens.next(heartbeat(REPORTED));
    assertEquals(raised, tokens.next(heartbeat(REPORTED)));
    assertEquals(raised, tokens.next(heartbeat(raised)));
    assertEquals(raised + 1 + ProxyFencingTokens.INCREMENT, tokens.next(heartbeat(raised + 1)));
  }

  /** The leader may have adopted the raised token and sent a start with it. */
  @Test
  void tokenIsRaisedAgainInTimeForTheCancellationTimeout() {
    readVersion(VERSION_STORED);
    long raised = tokens.next(heartbeat(REPORTED));
    long spareMs = context.cancellationTimeoutMs() - context.workerLeaseMs();
    context.advanceBy(spareMs / 4);
    assertEquals(raised, tokens.next(heartbeat(raised)));
    context.advanceBy(spareMs / 4);
    assertTrue(tokens.next(heartbeat(raised)) > raised, "not raised after half of the spare time");
  }

  /** Without the stored version, an earlier leader that does not adopt tokens may lead. */
  @Test
  void tokenIsNotRaisedBeforeTheVersionIsStored() {
    assertFalse(tokens.hasTokenFor(heartbeat(REPORTED)), "answered before the version is read");
    readVersion(OLDER_VERSION_STORED);
    assertTrue(tokens.hasTokenFor(heartbeat(REPORTED)));
    assertEquals(REPORTED, tokens.next(heartbeat(REPORTED)));
    tokens.tick();
    assertEquals(List.of(), context.drainEffects());
    context.advanceBy(context.workerLeaseMs());
    readVersion(VERSION_STORED);
    assertTrue(tokens.next(heartbeat(REPORTED)) > REPORTED);
  }

  /**
   * Without a leader in reach, the node looks submissions up itself. A read of the version that was
   * queued behind these lookups once kept the proxy from answering until leases had expired.
   */
  @Test
  void versionIsReadAlthoughSubmissionsUseUpTheRequestRate() {
    for (int i = 0; i < 1000; i++) {
      store.send(new StoreRequest.Get("job/" + i), RequestPriority.SUBMIT, reply -> {});
    }
    context.drainEffects();
    readVersion(VERSION_STORED);
    assertTrue(tokens.hasTokenFor(heartbeat(REPORTED)));
  }

  @Test
  void workersAreNotAnsweredWhileTheVersionCannotBeRead() {
    readVersion(new Reply.Unanswered());
    assertFalse(tokens.hasTokenFor(heartbeat(REPORTED)));
    context.advanceBy(context.stepMs());
    readVersion(OLDER_VERSION_STORED);
    assertTrue(tokens.hasTokenFor(heartbeat(REPORTED)));
    tokens.reset();
    assertFalse(tokens.hasTokenFor(heartbeat(REPORTED)), "the read is too old");
  }

  /** A token of the next term would depose the leader, and fence off the next one. */
  @Test
  void tokensStayInTheirTermAndLeaveSomeToTheLeader() {
    readVersion(VERSION_STORED);
    long half = 1L << (LeaderElection.TOKEN_SEQUENCE_BITS - 1);
    assertTrue(tokens.hasTokenFor(heartbeat(TERM_START + half - ProxyFencingTokens.INCREMENT - 1)));
    assertFalse(tokens.hasTokenFor(heartbeat(TERM_START + half - ProxyFencingTokens.INCREMENT)));
    assertFalse(tokens.hasTokenFor(heartbeat(TERM_START + 2 * half - 1)));
  }
}
