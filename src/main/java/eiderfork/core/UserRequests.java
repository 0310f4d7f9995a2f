package eiderfork.core;

import eiderfork.core.context.Context;
import eiderfork.core.message.Effect;
import eiderfork.core.message.Input;
import eiderfork.core.message.Reply;
import eiderfork.core.message.UserAnswer;
import eiderfork.core.state.ReadBarrier;
import eiderfork.core.state.StateGate;
import eiderfork.core.state.Term;
import eiderfork.core.state.Urgency;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What users ask. The leader answers from memory while its lease surely holds; any other node
 * passes the request to the leader, and acts on the state service itself where that fails.
 */
final class UserRequests {
  private static final Logger LOG = LoggerFactory.getLogger(UserRequests.class);

  /** When to ask again for a job of which a record can't be read: an operator has to act first. */
  private static final int RECORD_RETRY_S = 30;

  private final Context context;
  private final Term term;
  private final StateGate gate;
  private final JobTable jobs;
  private final Planner planner;
  private final ReadBarrier readBarrier;
  private final Cancellations cancellations;
  private final ClusterVersion version;
  private final Runnable kick;

  private final WaitLimit waitLimit;
  private final StoredJobs storedJobs;
  private final Submissions submissions;
  private final JobCancellation aborts;
  private final Forwards forwards;
  private final SettledJobs settled = new SettledJobs();
  private boolean ready;

  UserRequests(
      Context context,
      Term term,
      StateGate gate,
      JobTable jobs,
      Fleet fleet,
      Planner planner,
      ReadBarrier readBarrier,
      Cancellations cancellations,
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
    forwards = new Forwards(context);
    waitLimit = new WaitLimit(context);
    storedJobs = new StoredJobs(gate);
    submissions =
        new Submissions(context, gate, fleet, version, storedJobs, waitLimit, this::accepted);
    aborts = new JobCancellation(gate, jobs, storedJobs);
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
    JobEntry entry = jobs.get(uid);
    if (known == null && cancellations.contains(uid) && mayTrustCancellation(uid, entry)) {
      int done = entry == null ? 0 : JobEntry.committedDone(entry.committed);
      return new JobStatus(uid, JobStatus.Stance.ABORTED, done, 0);
    }
    return known;
  }

  /**
   * Whether a cancellation that was read is the job's last word. A late write of an older version
   * may have put one there after the job was done and archived.
   */
  private boolean mayTrustCancellation(String uid, JobEntry entry) {
    return cancellations.wasConfirmed(uid) || entry != null && isSurelyUnarchived(entry);
  }

  private boolean isSurelyUnarchived(JobEntry entry) {
    return entry.isKnownUnarchived() || !version.isSettledOn(ClusterVersion.ARCHIVED_JOBS);
  }

  /** Takes a user's request, or one that a peer passed on, which is passed on no further. */
  void take(Input request, boolean passOn, Consumer<UserAnswer> asker) {
    JobStatus over = over(uid(request));
    if (over != null) {
      asker.accept(UserAnswer.ok(over));
      return;
    }
    Consumer<UserAnswer> answer =
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
          call -> new Effect.AskPeerRequest(call, leader, request, Forwards.timeoutMs(context)),
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

  private void here(Input request, Consumer<UserAnswer> answer) {
    if (jobs.isFrozen(uid(request))) {
      answer.accept(UserAnswer.later(RECORD_RETRY_S, "a stored record of the job can't be read"));
    } else if (request instanceof Input.Submit submit) {
      submit(submit.job(), answer);
    } else if (request instanceof Input.Query query) {
      query(query.uid(), answer);
    } else if (request instanceof Input.Abort abort) {
      aborts.abort(abort.uid(), fromMemory(), answer);
    }
  }

  private void query(String uid, Consumer<UserAnswer> answer) {
    JobEntry entry = jobs.get(uid);
    if (fromMemory() && entry != null && !isSurelyUnarchived(entry)) {
      queryArchive(entry, answer);
    } else if (fromMemory() && entry != null && entry.over()) {
      answer.accept(UserAnswer.ok(entry.status()));
    } else if (fromMemory() && entry != null && !entry.ending) {
      readBarrier.pass(
          caughtUp -> {
            if (caughtUp && fromMemory() && jobs.get(uid) == entry && !entry.ending) {
              answer.accept(UserAnswer.ok(entry.status()));
            } else {
              queryStored(uid, answer);
            }
          });
    } else {
      queryStored(uid, answer);
    }
  }

  /** Answers from the archive, or from memory once the job is known not to be there. */
  private void queryArchive(JobEntry entry, Consumer<UserAnswer> answer) {
    if (waitLimit.refuses(gate.readWaitMs(), answer)) {
      return;
    }
    String uid = entry.job.uid();
    storedJobs.archived(
        uid,
        Urgency.READ,
        status -> {
          if (status == null) {
            answer.accept(UserAnswer.unavailable());
          } else if (status.isPresent()) {
            jobs.forget(entry);
            jobs.removeCopy(entry);
            answer.accept(UserAnswer.ok(status.get()));
          } else {
            entry.proveUnarchived();
            query(uid, answer);
          }
        });
  }

  /** Memory may lag behind a peer that took the job, so only the state service denies one. */
  private void queryStored(String uid, Consumer<UserAnswer> answer) {
    if (waitLimit.refuses(gate.readWaitMs(), answer)) {
      return;
    }
    storedJobs.status(
        uid,
        Urgency.READ,
        status -> {
          if (status == null) {
            answer.accept(UserAnswer.unavailable());
          } else if (status.isEmpty()) {
            answer.accept(UserAnswer.refused(404, "no such job"));
          } else {
            answer.accept(UserAnswer.ok(status.get()));
          }
        });
  }

  private void submit(Job job, Consumer<UserAnswer> answer) {
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
