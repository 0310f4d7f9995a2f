package eiderfork.controller;

import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.UserResponse;
import eiderfork.model.Job;
import java.util.function.LongFunction;

/** The users of a {@link SimulatedCluster}: they retry, and report all responses to the checker. */
final class FakeUsers {
  private static final int TIMEOUT_MS = 5000;
  private static final int RETRY_MS = 1000;
  private static final int HOP_MS = 1;
  private static final int MAX_TRIES = 60;

  /** A number of earlier tries past which a request is not retried. */
  private static final int NO_RETRY = Integer.MAX_VALUE;

  /** When all nodes are queried after an answer that is new. */
  private static final int[] PROBE_DELAYS_MS = {0, 1, 3, 10, 40, 120};

  /** A request of a user, and how often it was tried before. */
  private record Request(LongFunction<Input> input, String uid, boolean isSubmission, int tries) {
    static Request submission(Job job, int tries) {
      return new Request(
          ticket -> new Input.Submit(ticket, job, new byte[0]), job.uid(), true, tries);
    }

    static Request cancellation(String uid, int tries) {
      return new Request(ticket -> new Input.Abort(ticket, uid), uid, false, tries);
    }

    static Request query(String uid) {
      return new Request(ticket -> new Input.Query(ticket, uid), uid, false, NO_RETRY);
    }

    Request retried() {
      return new Request(input, uid, isSubmission, tries + 1);
    }

    /** A cancellation is retried until it is confirmed or the job is done. */
    boolean needsRetry(UserResponse response) {
      boolean failed =
          response == null
              || response.status() >= 429
              || (!isSubmission && response.status() != 200);
      return failed && tries < MAX_TRIES;
    }
  }

  private final SimulatedCluster cluster;
  private boolean probesAfterNews;

  FakeUsers(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Whether all nodes are queried within moments of each answer that is new. */
  void setProbesAfterNews(boolean value) {
    probesAfterNews = value;
  }

  /** Submits until the job is accepted or refused for good. */
  void submit(Job job) {
    cluster.addJob(job);
    cluster.checker.recordSubmission(job);
    sendToRandomNode(Request.submission(job, 0));
  }

  /** Submits to this node once. */
  void submitOnce(String node, Job job) {
    cluster.addJob(job);
    cluster.checker.recordSubmission(job);
    send(node, Request.submission(job, NO_RETRY));
  }

  /** Cancels until that is confirmed or the job is done. */
  void cancel(String uid) {
    cluster.checker.recordCancellation(uid);
    sendToRandomNode(Request.cancellation(uid, 0));
  }

  /** Cancels at this node once. */
  void cancelOnce(String node, String uid) {
    cluster.checker.recordCancellation(uid);
    send(node, Request.cancellation(uid, NO_RETRY));
  }

  /** Queries a random node once. */
  void queryRandomNode(String uid) {
    sendToRandomNode(Request.query(uid));
  }

  /** Queries all nodes at once. */
  void queryAllNodes(String uid) {
    for (int i = 0; i < cluster.nodeCount; i++) {
      send(nodeName(i), Request.query(uid));
    }
  }

  /** Queries all nodes at once, and submits the job once more at each. */
  void queryAndResubmitEverywhere(String uid) {
    queryAllNodes(uid);
    for (int i = 0; i < cluster.nodeCount; i++) {
      send(nodeName(i), Request.submission(cluster.job(uid), NO_RETRY));
    }
  }

  private static String nodeName(int node) {
    return "roost-" + node;
  }

  private void sendToRandomNode(Request request) {
    send(nodeName(cluster.random.nextInt(cluster.nodeCount)), request);
  }

  private void send(String node, Request request) {
    PendingRequest pending = new PendingRequest(request);
    cluster.schedule(TIMEOUT_MS, pending::fail);
    if (!cluster.controllers.containsKey(node)) {
      cluster.schedule(HOP_MS, pending::fail);
      return;
    }
    cluster.schedule(
        HOP_MS,
        () ->
            cluster.sendRequest(
                node,
                request.input,
                effect ->
                    cluster.schedule(
                        HOP_MS, () -> pending.complete((Effect.RespondToUser) effect))));
  }

  /** A request that has no response yet; the first response or the time-out ends it. */
  private final class PendingRequest {
    private final Request request;
    private final ProtocolChecker.KnownState known;
    private boolean isEnded;

    PendingRequest(Request request) {
      this.request = request;
      known = cluster.checker.knownState(request.uid);
    }

    void complete(Effect.RespondToUser effect) {
      end(effect.response());
    }

    void fail() {
      end(null);
    }

    private void end(UserResponse response) {
      if (isEnded) {
        return;
      }
      isEnded = true;
      if (response != null) {
        check(response);
      }
      if (request.needsRetry(response)) {
        cluster.schedule(RETRY_MS, () -> sendToRandomNode(request.retried()));
      }
    }

    private void check(UserResponse response) {
      boolean isNews =
          cluster.checker.checkResponse(
              cluster.nowMs, request.uid, response, request.isSubmission, known);
      if (probesAfterNews && isNews) {
        for (int delayMs : PROBE_DELAYS_MS) {
          cluster.schedule(delayMs, () -> queryAndResubmitEverywhere(request.uid));
        }
      }
    }
  }
}
