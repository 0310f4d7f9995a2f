package eiderfork.controller;

import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.UserResponse;
import eiderfork.model.Job;
import java.util.function.LongFunction;

/** The users of a {@link SimulatedCluster}; they retry and pass all responses to the checker. */
final class FakeUsers {
  private static final int TIMEOUT_MS = 5000;
  private static final int RETRY_MS = 1000;
  private static final int HOP_MS = 1;
  private static final int MAX_TRIES = 60;

  /** The number of earlier tries of a request that is not to be retried. */
  private static final int NO_RETRY = Integer.MAX_VALUE;

  /** Delays of the queries to all nodes after a response with a new state of a job. */
  private static final int[] PROBE_DELAYS_MS = {0, 1, 3, 10, 40, 120};

  /** A request of a user, with the number of earlier tries. */
  private record Request(LongFunction<Input> input, String uid, boolean isSubmission, int tries) {
    static Request submission(Job job, int tries) {
      return new Request(
          ticket -> new Input.Submit(ticket, job, new byte[0]), job.uid(), true, tries);
    }

    static Request cancellation(String uid, int tries) {
      return new Request(ticket -> new Input.Cancel(ticket, uid), uid, false, tries);
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

  /** Sets whether all nodes are queried shortly after each response with a new state of a job. */
  void setProbesAfterNews(boolean isEnabled) {
    probesAfterNews = isEnabled;
  }

  /** Submits a job, with retries until it is accepted or rejected. */
  void submit(Job job) {
    cluster.addJob(job);
    cluster.checker.recordSubmission(job);
    sendToRandomNode(Request.submission(job, 0));
  }

  /** Submits a job to this node, without retries. */
  void submitOnce(String node, Job job) {
    cluster.addJob(job);
    cluster.checker.recordSubmission(job);
    send(node, Request.submission(job, NO_RETRY));
  }

  /** Cancels a job, with retries until that is confirmed or the job is done. */
  void cancel(String uid) {
    cluster.checker.recordCancellation(uid);
    sendToRandomNode(Request.cancellation(uid, 0));
  }

  /** Cancels a job at this node, without retries. */
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

  /** Queries all nodes at once and submits the job again to each. */
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

  /** A request without a response yet; the first response or the timeout ends it. */
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
