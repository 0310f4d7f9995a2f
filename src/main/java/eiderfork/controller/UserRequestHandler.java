package eiderfork.controller;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.UserResponse;
import eiderfork.controller.store.ReadBarrier;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What users ask. The leader answers from memory while its lease surely holds; any other node
 * passes the request to the leader, and acts on the state service itself where that fails.
 */
final class UserRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(UserRequestHandler.class);

  /** When to ask again for a job of which a record can't be read: an operator has to act first. */
  private static final int UNREADABLE_RECORD_RETRY_S = 30;

  private final ControllerContext context;
  private final LeaderElection election;
  private final StoreClient store;
  private final JobRegistry jobs;
  private final Autoscaler autoscaler;
  private final ReadBarrier readBarrier;
  private final CancellationTracker cancellations;
  private final ClusterVersion version;
  private final Runnable triggerRound;

  private final LoadShedder loadShedder;
  private final StoredJobReader storedJobs;
  private final JobAdmission admission;
  private final JobCanceller canceller;
  private final RequestForwarder forwarder;
  private final FinalStatusCache finalStatuses = new FinalStatusCache();
  private boolean ready;

  UserRequestHandler(
      ControllerContext context,
      LeaderElection election,
      StoreClient store,
      JobRegistry jobs,
      MachineRegistry fleet,
      Autoscaler autoscaler,
      ReadBarrier readBarrier,
      CancellationTracker cancellations,
      ClusterVersion version,
      Runnable triggerRound) {
    this.context = context;
    this.election = election;
    this.store = store;
    this.jobs = jobs;
    this.autoscaler = autoscaler;
    this.readBarrier = readBarrier;
    this.cancellations = cancellations;
    this.version = version;
    this.triggerRound = triggerRound;
    forwarder = new RequestForwarder(context);
    loadShedder = new LoadShedder(context);
    storedJobs = new StoredJobReader(store);
    admission =
        new JobAdmission(context, store, fleet, version, storedJobs, loadShedder, this::onAccepted);
    canceller = new JobCanceller(store, jobs, storedJobs);
  }

  /** Whether memory holds all that is committed. */
  void ready(boolean value) {
    ready = value;
  }

  private boolean canAnswerFromMemory() {
    return ready && election.isLeaseValid();
  }

  /**
   * The final state of a job that this node knows to be over, which no later answer contradicts.
   */
  private JobStatus findFinalStatus(String uid) {
    JobStatus known = finalStatuses.get(uid);
    JobState job = jobs.get(uid);
    if (known == null && cancellations.contains(uid) && isCancellationFinal(uid, job)) {
      int done = job == null ? 0 : JobState.countFinishedTasks(job.committedAllocation);
      return new JobStatus(uid, JobStatus.Phase.ABORTED, done, 0);
    }
    return known;
  }

  /**
   * Whether a cancellation that was read is the job's last word. A late write of an older version
   * may have put one there after the job was done and archived.
   */
  private boolean isCancellationFinal(String uid, JobState job) {
    return cancellations.wasConfirmed(uid) || job != null && isCertainlyNotArchived(job);
  }

  private boolean isCertainlyNotArchived(JobState job) {
    return job.isKnownNotArchived() || !version.isMinimumVersion(ClusterVersion.ARCHIVED_JOBS);
  }

  /** Takes a user's request, or one that a peer passed on, which is passed on no further. */
  void handle(Input request, boolean canForward, Consumer<UserResponse> requester) {
    JobStatus finalStatus = findFinalStatus(uid(request));
    if (finalStatus != null) {
      requester.accept(UserResponse.ok(finalStatus));
      return;
    }
    Consumer<UserResponse> answer =
        it -> {
          if (it.job() != null) {
            finalStatuses.putIfFinal(it.job());
            if (it.job().phase() == JobStatus.Phase.ABORTED) {
              cancellations.confirm(it.job().uid());
            }
          } else if (!(request instanceof Input.Query) || LOG.isDebugEnabled()) {
            LOG.info(
                "{} of {}: {}, {}",
                request.getClass().getSimpleName(),
                uid(request),
                it.status(),
                it.error());
          }
          requester.accept(it);
        };
    String leader = election.leader();
    if (canAnswerFromMemory() || !canForward || !isPeer(leader) || mustWaitForVersion(request)) {
      handleLocally(request, answer);
    } else if (request instanceof Input.Query query) {
      forwarder.enqueueQuery(query.uid(), answer, () -> handleLocally(request, answer));
    } else {
      context.call(
          call ->
              new Effect.ForwardRequest(call, leader, request, RequestForwarder.timeoutMs(context)),
          reply -> {
            if (reply instanceof Reply.ForwardedResponse it && it.response().status() != 503) {
              answer.accept(it.response());
            } else {
              handleLocally(request, answer);
            }
          });
    }
  }

  /** Whether an older leader might take what only the current version carries out by the rules. */
  private boolean mustWaitForVersion(Input request) {
    return request instanceof Input.Submit it && admission.mustWaitForVersion(it.job());
  }

  private boolean isPeer(String node) {
    return node != null && context.settings.peerEndpoints().containsKey(node);
  }

  /** Sends on what has gathered since the last tick. */
  void tick() {
    readBarrier.tick();
    forwarder.sendQueued(isPeer(election.leader()) ? election.leader() : null);
  }

  private static String uid(Input request) {
    if (request instanceof Input.Submit submit) {
      return submit.job().uid();
    }
    return request instanceof Input.Query query ? query.uid() : ((Input.Abort) request).uid();
  }

  private void handleLocally(Input request, Consumer<UserResponse> answer) {
    if (jobs.isFrozen(uid(request))) {
      answer.accept(
          UserResponse.retryAfter(
              UNREADABLE_RECORD_RETRY_S, "a stored record of the job can't be read"));
    } else if (request instanceof Input.Submit submit) {
      submit(submit.job(), answer);
    } else if (request instanceof Input.Query query) {
      query(query.uid(), answer);
    } else if (request instanceof Input.Abort abort) {
      canceller.cancel(abort.uid(), canAnswerFromMemory(), answer);
    }
  }

  private void query(String uid, Consumer<UserResponse> answer) {
    JobState job = jobs.get(uid);
    if (canAnswerFromMemory() && job != null && !isCertainlyNotArchived(job)) {
      queryArchived(job, answer);
    } else if (canAnswerFromMemory() && job != null && job.isTerminal()) {
      answer.accept(UserResponse.ok(job.status()));
    } else if (canAnswerFromMemory() && job != null && !job.completionWriteInFlight) {
      readBarrier.awaitCaughtUp(
          caughtUp -> {
            if (caughtUp
                && canAnswerFromMemory()
                && jobs.get(uid) == job
                && !job.completionWriteInFlight) {
              answer.accept(UserResponse.ok(job.status()));
            } else {
              queryStored(uid, answer);
            }
          });
    } else {
      queryStored(uid, answer);
    }
  }

  /** Answers from the archive, or from memory once the job is known not to be there. */
  private void queryArchived(JobState job, Consumer<UserResponse> answer) {
    if (loadShedder.rejects(store.readWaitMs(), answer)) {
      return;
    }
    String uid = job.spec.uid();
    storedJobs.readArchivedStatus(
        uid,
        RequestPriority.READ,
        status -> {
          if (status == null) {
            answer.accept(UserResponse.unavailable());
          } else if (status.isPresent()) {
            jobs.evict(job);
            jobs.removeStaleSpec(job);
            answer.accept(UserResponse.ok(status.get()));
          } else {
            job.confirmNotArchived();
            query(uid, answer);
          }
        });
  }

  /** Memory may lag behind a peer that took the job, so only the state service denies one. */
  private void queryStored(String uid, Consumer<UserResponse> answer) {
    if (loadShedder.rejects(store.readWaitMs(), answer)) {
      return;
    }
    storedJobs.status(
        uid,
        RequestPriority.READ,
        status -> {
          if (status == null) {
            answer.accept(UserResponse.unavailable());
          } else if (status.isEmpty()) {
            answer.accept(UserResponse.refused(404, "no such job"));
          } else {
            answer.accept(UserResponse.ok(status.get()));
          }
        });
  }

  private void submit(Job job, Consumer<UserResponse> answer) {
    if (canAnswerFromMemory() && jobs.get(job.uid()) != null) {
      query(job.uid(), answer);
    } else if (canAnswerFromMemory()) {
      admission.admitNew(job, answer);
    } else {
      admission.admitAfterLookup(job, answer);
    }
  }

  private void onAccepted(Job job, long revision) {
    if (!ready) {
      return;
    }
    boolean isNew = jobs.get(job.uid()) == null;
    // It was written under the condition that the job is not archived.
    jobs.add(job, revision).confirmNotArchived();
    if (isNew) {
      autoscaler.recordArrival(job);
      triggerRound.run();
    }
  }
}
