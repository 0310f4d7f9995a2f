package eiderfork.controller.jobs;

import eiderfork.controller.autoscaling.Autoscaler;
import eiderfork.controller.cluster.CancellationTracker;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.UserResponse;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.controller.store.ReadBarrier;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles users' requests. The leader answers from memory while its lease is valid. Any other node
 * forwards a request to the leader, and handles it through the store if that fails.
 */
public final class UserRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(UserRequestHandler.class);

  /** The retry delay for a job with an unreadable record, which an operator has to repair first. */
  private static final int UNREADABLE_RECORD_RETRY_S = 30;

  private static final int UNAVAILABLE_STATUS = 503;

  private final ControllerContext context;
  private final LeaderElection election;
  private final JobRegistry jobs;
  private final Autoscaler autoscaler;
  private final ReadBarrier readBarrier;
  private final CancellationTracker cancellations;
  private final Runnable requestSchedulingRound;

  private final JobAdmission admission;
  private final JobCanceller canceller;
  private final JobQueryHandler queries;
  private final RequestForwarder forwarder;
  private final FinalStatusCache finalStatuses = new FinalStatusCache();
  private boolean isRecovered;

  /** Creates a handler that does not answer from memory until {@link #setRecovered} is called. */
  public UserRequestHandler(
      ControllerContext context,
      LeaderElection election,
      StoreClient store,
      JobRegistry jobs,
      MachineRegistry fleet,
      Autoscaler autoscaler,
      ReadBarrier readBarrier,
      CancellationTracker cancellations,
      ClusterVersion version,
      Runnable requestSchedulingRound) {
    this.context = context;
    this.election = election;
    this.jobs = jobs;
    this.autoscaler = autoscaler;
    this.readBarrier = readBarrier;
    this.cancellations = cancellations;
    this.requestSchedulingRound = requestSchedulingRound;
    forwarder = new RequestForwarder(context);
    LoadShedder loadShedder = new LoadShedder(context);
    StoredJobReader storedJobs = new StoredJobReader(store);
    admission =
        new JobAdmission(context, store, fleet, version, storedJobs, loadShedder, this::onAccepted);
    canceller = new JobCanceller(store, jobs, storedJobs);
    queries =
        new JobQueryHandler(
            store, jobs, readBarrier, version, storedJobs, loadShedder, this::canAnswerFromMemory);
  }

  /** Sets whether memory holds all committed state. */
  public void setRecovered(boolean isRecovered) {
    this.isRecovered = isRecovered;
  }

  private boolean canAnswerFromMemory() {
    return isRecovered && election.isLeaseValid();
  }

  /** Forwards the queries queued since the last tick, and starts the read barrier's next read. */
  public void tick() {
    readBarrier.tick();
    forwarder.sendQueued(isPeer(election.leader()) ? election.leader() : null);
  }

  /**
   * Handles a request.
   *
   * @param canForward false for a request that a peer forwarded, which must not be forwarded again
   */
  public void handle(Input request, boolean canForward, Consumer<UserResponse> onResponse) {
    JobStatus finalStatus = findFinalStatus(jobUid(request));
    if (finalStatus != null) {
      onResponse.accept(UserResponse.ok(finalStatus));
      return;
    }
    Consumer<UserResponse> onComplete =
        response -> {
          recordResponse(request, response);
          onResponse.accept(response);
        };
    boolean isForwardable =
        canForward
            && isPeer(election.leader())
            && !mustWaitForVersion(request)
            && fitsForwarding(request);
    if (canAnswerFromMemory() || !isForwardable) {
      handleLocally(request, onComplete);
    } else {
      forward(request, onComplete);
    }
  }

  /**
   * Returns the final status of a terminal job, which no later answer may contradict; null if it is
   * not known.
   */
  private JobStatus findFinalStatus(String uid) {
    JobStatus cachedStatus = finalStatuses.get(uid);
    JobState job = jobs.get(uid);
    if (cachedStatus == null && cancellations.contains(uid) && isCancellationFinal(uid, job)) {
      int doneTasks = job == null ? 0 : job.writes().committed().finishedTaskCount();
      return JobStatus.cancelled(uid, doneTasks);
    }
    return cachedStatus;
  }

  /**
   * Returns whether a cancellation record that was read is the job's final state. A node of an
   * older version may have written the record late, after the job was done and archived.
   */
  private boolean isCancellationFinal(String uid, JobState job) {
    return cancellations.wasConfirmed(uid) || job != null && queries.isCertainlyNotArchived(job);
  }

  private void recordResponse(Input request, UserResponse response) {
    JobStatus job = response.job();
    if (job != null) {
      finalStatuses.putIfFinal(job);
      if (job.phase() == JobStatus.Phase.ABORTED) {
        cancellations.confirm(job.uid());
      }
    } else if (!(request instanceof Input.Query) || LOG.isDebugEnabled()) {
      LOG.info(
          "request-failed request={} job={} status={} error=\"{}\"",
          request.loggedName(),
          jobUid(request),
          response.status(),
          response.error());
    }
  }

  private void forward(Input request, Consumer<UserResponse> onComplete) {
    if (request instanceof Input.Query query) {
      forwarder.enqueueQuery(query.uid(), onComplete, () -> handleLocally(request, onComplete));
      return;
    }
    String leader = election.leader();
    context.call(
        callId ->
            new Effect.ForwardRequest(callId, leader, request, RequestForwarder.timeoutMs(context)),
        reply -> {
          if (reply instanceof Reply.ForwardedResponse forwarded
              && forwarded.response().status() != UNAVAILABLE_STATUS) {
            onComplete.accept(forwarded.response());
          } else {
            handleLocally(request, onComplete);
          }
        });
  }

  /**
   * Returns whether a leader of an older version might accept a job that only the current version
   * handles correctly.
   */
  private boolean mustWaitForVersion(Input request) {
    return request instanceof Input.Submit submit && admission.mustWaitForVersion(submit.job());
  }

  /**
   * Returns whether the request is within the size limit of forwarded requests; a larger one is
   * handled by this node.
   */
  private static boolean fitsForwarding(Input request) {
    return !(request instanceof Input.Submit submit)
        || submit.body().length <= Effect.ForwardRequest.MAX_BODY_BYTES;
  }

  private boolean isPeer(String node) {
    return node != null && context.settings.peerEndpoints().containsKey(node);
  }

  private static String jobUid(Input request) {
    if (request instanceof Input.Submit submit) {
      return submit.job().uid();
    }
    return request instanceof Input.Query query ? query.uid() : ((Input.Cancel) request).uid();
  }

  private void handleLocally(Input request, Consumer<UserResponse> onComplete) {
    if (jobs.isFrozen(jobUid(request))) {
      onComplete.accept(
          UserResponse.retryAfter(
              UNREADABLE_RECORD_RETRY_S, "a stored record of the job can't be read"));
    } else if (request instanceof Input.Submit submit) {
      submit(submit.job(), onComplete);
    } else if (request instanceof Input.Query query) {
      queries.query(query.uid(), onComplete);
    } else if (request instanceof Input.Cancel cancellation) {
      canceller.cancel(cancellation.uid(), canAnswerFromMemory(), onComplete);
    }
  }

  private void submit(Job job, Consumer<UserResponse> onComplete) {
    if (!canAnswerFromMemory()) {
      admission.admitAfterLookup(job, onComplete);
    } else if (jobs.get(job.uid()) == null) {
      admission.admitNew(job, onComplete);
    } else {
      queries.query(job.uid(), onComplete);
    }
  }

  private void onAccepted(Job job, long specVersion) {
    if (!isRecovered) {
      return;
    }
    boolean isNew = jobs.get(job.uid()) == null;
    // The write was conditional on the job not being archived.
    jobs.add(job, specVersion).confirmNotArchived();
    if (isNew) {
      autoscaler.recordArrival(job);
      requestSchedulingRound.run();
    }
  }
}
