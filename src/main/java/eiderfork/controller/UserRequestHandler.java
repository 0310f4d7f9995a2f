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
  private static final int RECORD_RETRY_S = 30;

  private final ControllerContext context;
  private final LeaderElection term;
  private final StoreClient gate;
  private final JobRegistry jobs;
  private final Autoscaler planner;
  private final ReadBarrier readBarrier;
  private final CancellationTracker cancellations;
  private final ClusterVersion version;
  private final Runnable kick;

  private final QueueTimeLimit waitLimit;
  private final StoredJobReader storedJobs;
  private final JobAdmission submissions;
  private final JobCanceller aborts;
  private final RequestForwarder forwards;
  private final FinalStatusCache settled = new FinalStatusCache();
  private boolean ready;

  UserRequestHandler(
      ControllerContext context,
      LeaderElection term,
      StoreClient gate,
      JobRegistry jobs,
      MachineRegistry fleet,
      Autoscaler planner,
      ReadBarrier readBarrier,
      CancellationTracker cancellations,
      ClusterVersion version,
      Runnable kick) {
    this.context = context;
    this.term = term;
    this.gate = gate;
    this.jobs = jobs;
    this.planner = planner;
    this.readBarrier = readBarrier;
    this.cancellations = cancellations;
    this.version = version;
    this.kick = kick;
    forwards = new RequestForwarder(context);
    waitLimit = new QueueTimeLimit(context);
    storedJobs = new StoredJobReader(gate);
    submissions =
        new JobAdmission(context, gate, fleet, version, storedJobs, waitLimit, this::accepted);
    aborts = new JobCanceller(gate, jobs, storedJobs);
  }

  /** Whether memory holds all that is committed. */
  void ready(boolean value) {
    ready = value;
  }

  private boolean fromMemory() {
    return ready && term.sure();
  }

  /**
   * The final state of a job that this node knows to be over, which no later answer contradicts.
   */
  private JobStatus over(String uid) {
    JobStatus known = settled.get(uid);
    JobState entry = jobs.get(uid);
    if (known == null && cancellations.contains(uid) && mayTrustCancellation(uid, entry)) {
      int done = entry == null ? 0 : JobState.committedDone(entry.committed);
      return new JobStatus(uid, JobStatus.Stance.ABORTED, done, 0);
    }
    return known;
  }

  /**
   * Whether a cancellation that was read is the job's last word. A late write of an older version
   * may have put one there after the job was done and archived.
   */
  private boolean mayTrustCancellation(String uid, JobState entry) {
    return cancellations.wasConfirmed(uid) || entry != null && isSurelyUnarchived(entry);
  }

  private boolean isSurelyUnarchived(JobState entry) {
    return entry.isKnownUnarchived() || !version.isSettledOn(ClusterVersion.ARCHIVED_JOBS);
  }

  /** Takes a user's request, or one that a peer passed on, which is passed on no further. */
  void take(Input request, boolean passOn, Consumer<UserResponse> asker) {
    JobStatus over = over(uid(request));
    if (over != null) {
      asker.accept(UserResponse.ok(over));
      return;
    }
    Consumer<UserResponse> answer =
        it -> {
          if (it.job() != null) {
            settled.note(it.job());
            if (it.job().stance() == JobStatus.Stance.ABORTED) {
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
          asker.accept(it);
        };
    String leader = term.leader();
    if (fromMemory() || !passOn || !isPeer(leader) || waitsForVersion(request)) {
      here(request, answer);
    } else if (request instanceof Input.Query query) {
      forwards.add(query.uid(), answer, () -> here(request, answer));
    } else {
      context.ask(
          call ->
              new Effect.AskPeerRequest(call, leader, request, RequestForwarder.timeoutMs(context)),
          reply -> {
            if (reply instanceof Reply.PeerAnswer it && it.answer().status() != 503) {
              answer.accept(it.answer());
            } else {
              here(request, answer);
            }
          });
    }
  }

  /** Whether an older leader might take what only the current version carries out by the rules. */
  private boolean waitsForVersion(Input request) {
    return request instanceof Input.Submit it && submissions.waitForVersion(it.job());
  }

  private boolean isPeer(String node) {
    return node != null && context.settings.peers().containsKey(node);
  }

  /** Sends on what has gathered since the last tick. */
  void tick() {
    readBarrier.tick();
    forwards.tick(isPeer(term.leader()) ? term.leader() : null);
  }

  private static String uid(Input request) {
    if (request instanceof Input.Submit submit) {
      return submit.job().uid();
    }
    return request instanceof Input.Query query ? query.uid() : ((Input.Abort) request).uid();
  }

  private void here(Input request, Consumer<UserResponse> answer) {
    if (jobs.isFrozen(uid(request))) {
      answer.accept(UserResponse.later(RECORD_RETRY_S, "a stored record of the job can't be read"));
    } else if (request instanceof Input.Submit submit) {
      submit(submit.job(), answer);
    } else if (request instanceof Input.Query query) {
      query(query.uid(), answer);
    } else if (request instanceof Input.Abort abort) {
      aborts.abort(abort.uid(), fromMemory(), answer);
    }
  }

  private void query(String uid, Consumer<UserResponse> answer) {
    JobState entry = jobs.get(uid);
    if (fromMemory() && entry != null && !isSurelyUnarchived(entry)) {
      queryArchive(entry, answer);
    } else if (fromMemory() && entry != null && entry.over()) {
      answer.accept(UserResponse.ok(entry.status()));
    } else if (fromMemory() && entry != null && !entry.ending) {
      readBarrier.pass(
          caughtUp -> {
            if (caughtUp && fromMemory() && jobs.get(uid) == entry && !entry.ending) {
              answer.accept(UserResponse.ok(entry.status()));
            } else {
              queryStored(uid, answer);
            }
          });
    } else {
      queryStored(uid, answer);
    }
  }

  /** Answers from the archive, or from memory once the job is known not to be there. */
  private void queryArchive(JobState entry, Consumer<UserResponse> answer) {
    if (waitLimit.refuses(gate.readWaitMs(), answer)) {
      return;
    }
    String uid = entry.job.uid();
    storedJobs.archived(
        uid,
        RequestPriority.READ,
        status -> {
          if (status == null) {
            answer.accept(UserResponse.unavailable());
          } else if (status.isPresent()) {
            jobs.forget(entry);
            jobs.removeCopy(entry);
            answer.accept(UserResponse.ok(status.get()));
          } else {
            entry.proveUnarchived();
            query(uid, answer);
          }
        });
  }

  /** Memory may lag behind a peer that took the job, so only the state service denies one. */
  private void queryStored(String uid, Consumer<UserResponse> answer) {
    if (waitLimit.refuses(gate.readWaitMs(), answer)) {
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
    if (fromMemory() && jobs.get(job.uid()) != null) {
      query(job.uid(), answer);
    } else if (fromMemory()) {
      submissions.submitNew(job, answer);
    } else {
      submissions.submitUnknown(job, answer);
    }
  }

  private void accepted(Job job, long revision) {
    if (!ready) {
      return;
    }
    boolean isNew = jobs.get(job.uid()) == null;
    // It was written under the condition that the job is not archived.
    jobs.add(job, revision).proveUnarchived();
    if (isNew) {
      planner.arrived(job);
      kick.run();
    }
  }
}
