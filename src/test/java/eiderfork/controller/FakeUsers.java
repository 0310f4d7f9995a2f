package eiderfork.controller;

import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.UserResponse;
import eiderfork.model.Job;
import java.util.function.Consumer;

/**
 * The users of a {@link SimulatedCluster}: they repeat what gets no answer, and tell the checker
 * the rest.
 */
final class FakeUsers {
  private final SimulatedCluster world;

  FakeUsers(SimulatedCluster world) {
    this.world = world;
  }

  /** Submits until the job is accepted or refused for good. */
  void submit(Job job) {
    world.addJob(job);
    world.checker.userSubmits(job);
    user(ticket -> new Input.Submit(ticket, job, new byte[0]), job.uid(), true, 0);
  }

  /** A user submits to this node once. */
  void submitAt(String node, Job job) {
    world.addJob(job);
    world.checker.userSubmits(job);
    user(
        node,
        ticket -> new Input.Submit(ticket, job, new byte[0]),
        job.uid(),
        true,
        Integer.MAX_VALUE);
  }

  void abort(String uid) {
    world.checker.userAborts(uid);
    user(ticket -> new Input.Abort(ticket, uid), uid, false, 0);
  }

  /** Asks this node once to cancel. */
  void abortAt(String node, String uid) {
    world.checker.userAborts(uid);
    user(node, ticket -> new Input.Abort(ticket, uid), uid, false, Integer.MAX_VALUE);
  }

  /** Asks a random live node once. */
  void query(String uid) {
    user(ticket -> new Input.Query(ticket, uid), uid, false, Integer.MAX_VALUE);
  }

  /** Asks all nodes at once. */
  void queryAll(String uid) {
    for (int i = 0; i < world.count; i++) {
      String node = "roost-" + i;
      user(node, ticket -> new Input.Query(ticket, uid), uid, false, Integer.MAX_VALUE);
    }
  }

  /** Asks all nodes at once, and submits the job once more at each. */
  void queryAndResubmitEverywhere(String uid) {
    queryAll(uid);
    for (int i = 0; i < world.count; i++) {
      String node = "roost-" + i;
      Job job = world.job(uid);
      user(
          node, ticket -> new Input.Submit(ticket, job, new byte[0]), uid, true, Integer.MAX_VALUE);
    }
  }

  /** After each answer that says something new of a job, all nodes are asked within moments. */
  boolean probeAfterNews;

  private void user(
      java.util.function.LongFunction<Input> request, String uid, boolean submission, int tries) {
    user("roost-" + world.random.nextInt(world.count), request, uid, submission, tries);
  }

  private void user(
      String node,
      java.util.function.LongFunction<Input> request,
      String uid,
      boolean submission,
      int tries) {
    boolean[] answered = {false};
    ProtocolChecker.Known job = world.checker.known(uid);
    Consumer<UserResponse> end =
        response -> {
          if (answered[0]) {
            return;
          }
          answered[0] = true;
          if (response != null) {
            boolean news = world.checker.told(world.nowMs, uid, response, submission, job);
            if (probeAfterNews && news) {
              for (int ms : new int[] {0, 1, 3, 10, 40, 120}) {
                world.at(ms, () -> queryAndResubmitEverywhere(uid));
              }
            }
          }
          // A cancellation is repeated until it is confirmed or the job is done.
          boolean retry =
              response == null
                  || response.status() >= 429
                  || (!submission && response.status() != 200);
          if (retry && tries < 60) {
            world.at(1000, () -> user(request, uid, submission, tries + 1));
          }
        };
    world.at(5000, () -> end.accept(null));
    if (!world.nodes.containsKey(node)) {
      world.at(1, () -> end.accept(null));
      return;
    }
    world.at(
        1,
        () ->
            world.ask(
                node,
                request,
                effect ->
                    world.at(1, () -> end.accept(((Effect.RespondToUser) effect).response()))));
  }
}
