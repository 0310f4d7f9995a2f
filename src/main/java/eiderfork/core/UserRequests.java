package eiderfork.core;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.MachineType;
import eiderfork.model.Record;
import eiderfork.model.Resources;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What users ask. The leader answers from memory while its lease surely holds; any other node
 * passes the request to the leader, and acts on the state service itself where that fails.
 */
final class UserRequests {
  private static final Logger LOG = LoggerFactory.getLogger(UserRequests.class);

  /**
   * A request that would wait longer than this many steps for its turn at the state service is
   * refused at once, with the time after which to come back.
   */
  private static final double WAIT_STEPS = 0.8;

  /** When to ask again for a job of which a record can't be read: an operator has to act first. */
  private static final int RECORD_RETRY_S = 30;

  /** When to come back with a job that waits for the last node to be upgraded. */
  private static final int VERSION_RETRY_S = 2;

  private final Context context;
  private final Term term;
  private final StateGate gate;
  private final JobTable jobs;
  private final Fleet fleet;
  private final Planner planner;
  private final ReadBarrier readBarrier;
  private final Cancellations cancellations;
  private final ClusterVersion version;
  private final Runnable kick;

  /** Submissions whose write is under way, with those that wait for its end. */
  private final Map<String, List<Consumer<UserAnswer>>> submitting = new HashMap<>();

  private final Forwards forwards;
  private final SettledJobs settled = new SettledJobs();
  private ImmutableMap<String, MachineType> storedTypes = ImmutableMap.of();
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
    this.fleet = fleet;
    this.planner = planner;
    this.readBarrier = readBarrier;
    this.cancellations = cancellations;
    this.version = version;
    this.kick = kick;
    forwards = new Forwards(context);
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
    if (known == null && cancellations.contains(uid)) {
      JobEntry entry = jobs.get(uid);
      int done = entry == null ? 0 : JobEntry.committedDone(entry.committed);
      return new JobStatus(uid, JobStatus.Stance.ABORTED, done, 0);
    }
    return known;
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
    return request instanceof Input.Submit it && waitsForVersion(it.job());
  }

  private boolean waitsForVersion(Job job) {
    return job.kind() == JobKind.GANG && !version.isCurrent();
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
      abort(abort.uid(), answer);
    }
  }

  private static UserAnswer unavailable() {
    return UserAnswer.later(1, "the state service can't be reached");
  }

  // Submissions.

  private void submit(Job job, Consumer<UserAnswer> answer) {
    JobEntry entry = jobs.get(job.uid());
    if (fromMemory() && entry != null) {
      query(job.uid(), answer);
      return;
    }
    if (fromMemory()) {
      submitNew(job, answer);
      return;
    }
    // A known job is never judged again, so it is looked up first; not behind the polls, which
    // once held submissions up for seconds at nodes that could not reach the leader.
    stored(
        job.uid(),
        Urgency.SUBMIT,
        status -> {
          if (status == null) {
            answer.accept(unavailable());
          } else if (status.isPresent()) {
            answer.accept(UserAnswer.ok(status.get()));
          } else if (types().isEmpty()) {
            loadTypes(() -> submitNew(job, answer));
          } else {
            submitNew(job, answer);
          }
        });
  }

  private ImmutableMap<String, MachineType> types() {
    return fleet.types().isEmpty() ? storedTypes : fleet.types();
  }

  private void loadTypes(Runnable then) {
    gate.send(
        new StateOp.Get(Keys.TYPES),
        Urgency.SUBMIT,
        reply -> {
          if (reply instanceof Reply.Value value && value.record() instanceof Record.Types it) {
            ImmutableMap.Builder<String, MachineType> builder = ImmutableMap.builder();
            it.types().forEach(type -> builder.put(type.name(), type));
            storedTypes = builder.buildKeepingLast();
          }
          then.run();
        });
  }

  private void submitNew(Job job, Consumer<UserAnswer> answer) {
    if (waitsForVersion(job)) {
      version.load(() -> submitIfCurrent(job, answer));
    } else {
      submitAllowed(job, answer);
    }
  }

  private void submitIfCurrent(Job job, Consumer<UserAnswer> answer) {
    if (waitsForVersion(job)) {
      answer.accept(UserAnswer.later(VERSION_RETRY_S, "not every node runs the new version yet"));
    } else {
      submitAllowed(job, answer);
    }
  }

  private void submitAllowed(Job job, Consumer<UserAnswer> answer) {
    if (types().isEmpty()) {
      answer.accept(UserAnswer.later(2, "the machine types are not known yet"));
      return;
    }
    String error = impossible(job);
    if (error != null) {
      // Memory may lag behind a peer that took this job; only an unknown job may be refused.
      stored(
          job.uid(),
          Urgency.SUBMIT,
          status -> {
            if (status == null) {
              answer.accept(unavailable());
            } else if (status.isPresent()) {
              answer.accept(UserAnswer.ok(status.get()));
            } else {
              answer.accept(UserAnswer.refused(422, error));
            }
          });
      return;
    }
    List<Consumer<UserAnswer>> waiting = submitting.get(job.uid());
    if (waiting != null) {
      waiting.add(answer);
      return;
    }
    if (refusedForWait(gate.waitMs(Urgency.SUBMIT), answer)) {
      return;
    }
    waiting = new ArrayList<>();
    waiting.add(answer);
    submitting.put(job.uid(), waiting);
    gate.send(
        new StateOp.Transact(
            ImmutableList.of(new StateOp.Condition(Keys.job(job.uid()), 0)),
            ImmutableList.of(StateOp.Change.put(Keys.job(job.uid()), new Record.JobSpec(job)))),
        Urgency.SUBMIT,
        reply -> submitted(job, reply));
  }

  private boolean refusedForWait(long waitMs, Consumer<UserAnswer> answer) {
    if (waitMs <= context.stepMs() * WAIT_STEPS) {
      return false;
    }
    int laterS = (int) Math.max(1, Math.ceil(waitMs / 1000.0));
    answer.accept(UserAnswer.later(laterS, "too many requests"));
    return true;
  }

  private void submitted(Job job, Reply reply) {
    List<Consumer<UserAnswer>> waiting = submitting.remove(job.uid());
    if (reply instanceof Reply.Committed committed) {
      if (ready && jobs.get(job.uid()) == null) {
        jobs.add(job, committed.revision());
        planner.arrived(job);
        kick.run();
      }
      JobStatus status = JobEntry.status(job, Record.Alloc.EMPTY, 0);
      waiting.get(0).accept(UserAnswer.created(status));
      waiting.stream().skip(1).forEach(each -> each.accept(UserAnswer.ok(status)));
    } else if (reply instanceof Reply.Conflict) {
      answerAsStored(job.uid(), unavailable(), waiting);
    } else if (reply instanceof Reply.Refused refused && refused.isMalformed()) {
      // A peer may have stored it before the service's limits fell.
      UserAnswer never = UserAnswer.refused(400, "larger than what can be stored");
      answerAsStored(job.uid(), never, waiting);
    } else {
      // It may be written yet; the user's own repeat finds out.
      waiting.forEach(each -> each.accept(unavailable()));
    }
  }

  /** Answers with the job as it is stored, or with {@code otherwise} where it is not. */
  private void answerAsStored(
      String uid, UserAnswer otherwise, List<Consumer<UserAnswer>> waiting) {
    stored(
        uid,
        Urgency.SUBMIT,
        status -> {
          UserAnswer said =
              status == null ? unavailable() : status.map(UserAnswer::ok).orElse(otherwise);
          waiting.forEach(each -> each.accept(said));
        });
  }

  /** Why a job can never run, or null. */
  private String impossible(Job job) {
    Team team = context.settings.teams().get(job.team());
    if (team == null) {
      return "unknown team " + job.team();
    }
    boolean fits = false;
    for (MachineType type : types().values()) {
      boolean zone = job.zone() == null || type.zones().contains(job.zone());
      fits |= job.allowsType(type.name()) && zone && job.need().fitsIn(type.room());
    }
    if (!fits) {
      return "a task fits no allowed machine type";
    }
    Resources least = job.kind() == JobKind.ARRAY ? job.need() : job.need().times(job.tasks());
    return team.withinLimit(least) ? null : "more than the limit of team " + job.team();
  }

  // Queries.

  private void query(String uid, Consumer<UserAnswer> answer) {
    JobEntry entry = jobs.get(uid);
    if (fromMemory() && entry != null && entry.over()) {
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

  /** Memory may lag behind a peer that took the job, so only the state service denies one. */
  private void queryStored(String uid, Consumer<UserAnswer> answer) {
    if (refusedForWait(gate.readWaitMs(), answer)) {
      return;
    }
    stored(
        uid,
        Urgency.READ,
        status -> {
          if (status == null) {
            answer.accept(unavailable());
          } else if (status.isEmpty()) {
            answer.accept(UserAnswer.refused(404, "no such job"));
          } else {
            answer.accept(UserAnswer.ok(status.get()));
          }
        });
  }

  /** A job as the state service has it: null where it did not say, empty for no such job. */
  private void stored(String uid, Urgency urgency, Consumer<java.util.Optional<JobStatus>> then) {
    gate.send(
        new StateOp.Get(Keys.job(uid)),
        urgency,
        reply -> {
          if (!(reply instanceof Reply.Value spec) || spec.record() instanceof Record.Unreadable) {
            then.accept(null);
          } else if (!(spec.record() instanceof Record.JobSpec it)) {
            then.accept(java.util.Optional.empty());
          } else {
            storedAlloc(
                it.job(),
                urgency,
                (alloc, version) ->
                    storedAbort(
                        uid,
                        urgency,
                        aborted -> {
                          if (alloc == null || aborted == null) {
                            then.accept(null);
                          } else {
                            then.accept(java.util.Optional.of(status(it.job(), alloc, aborted)));
                          }
                        }));
          }
        });
  }

  private static JobStatus status(Job job, Record.Alloc alloc, boolean aborted) {
    int reserved = 0;
    for (Record.Span span : alloc.reserved()) {
      reserved += span.to() - span.from() + 1;
    }
    if (aborted) {
      return new JobStatus(job.uid(), JobStatus.Stance.ABORTED, JobEntry.committedDone(alloc), 0);
    }
    return JobEntry.status(job, alloc, reserved);
  }

  private interface AllocTaker {
    void take(Record.Alloc alloc, long version);
  }

  private void storedAlloc(Job job, Urgency urgency, AllocTaker then) {
    gate.send(
        new StateOp.Get(Keys.alloc(job.uid())),
        urgency,
        reply -> {
          if (!(reply instanceof Reply.Value value)
              || value.record() instanceof Record.Unreadable) {
            then.take(null, 0);
          } else if (value.record() instanceof Record.Alloc alloc) {
            then.take(alloc, value.version());
          } else {
            then.take(Record.Alloc.EMPTY, 0);
          }
        });
  }

  private void storedAbort(String uid, Urgency urgency, Consumer<Boolean> then) {
    gate.send(
        new StateOp.Get(Keys.abort(uid)),
        urgency,
        reply -> then.accept(reply instanceof Reply.Value value ? value.record() != null : null));
  }

  // Cancellations.

  private void abort(String uid, Consumer<UserAnswer> answer) {
    JobEntry entry = jobs.get(uid);
    if (fromMemory() && entry != null && entry.over()) {
      answer.accept(UserAnswer.ok(entry.status()));
      return;
    }
    if (entry != null) {
      entry.aborting = true;
    }
    gate.send(
        new StateOp.Get(Keys.job(uid)),
        Urgency.ABORT,
        reply -> {
          if (!(reply instanceof Reply.Value spec) || spec.record() instanceof Record.Unreadable) {
            abortFailed(uid, answer);
          } else if (!(spec.record() instanceof Record.JobSpec it)) {
            answer.accept(UserAnswer.refused(404, "no such job"));
          } else {
            tryAbort(it.job(), 0, answer);
          }
        });
  }

  private void abortFailed(String uid, Consumer<UserAnswer> answer) {
    JobEntry entry = jobs.get(uid);
    if (entry != null) {
      entry.aborting = false;
    }
    answer.accept(unavailable());
  }

  /** The alloc key may change in between; a few tries outlast that. */
  private static final int ABORT_TRIES = 5;

  private void tryAbort(Job job, int tries, Consumer<UserAnswer> answer) {
    String uid = job.uid();
    storedAlloc(
        job,
        Urgency.ABORT,
        (alloc, version) -> {
          if (alloc == null || tries >= ABORT_TRIES) {
            abortFailed(uid, answer);
            return;
          }
          if (alloc.done()) {
            answer.accept(UserAnswer.ok(JobEntry.status(job, alloc, 0)));
            return;
          }
          gate.send(
              new StateOp.Transact(
                  ImmutableList.of(
                      new StateOp.Condition(Keys.abort(uid), 0),
                      new StateOp.Condition(Keys.alloc(uid), version)),
                  ImmutableList.of(StateOp.Change.put(Keys.abort(uid), new Record.Aborted(uid)))),
              Urgency.ABORT,
              reply -> {
                boolean there =
                    reply instanceof Reply.Conflict conflict
                        && conflict.failed().contains(Keys.abort(uid));
                if (reply instanceof Reply.Committed || there) {
                  jobs.markAborted(uid);
                  answer.accept(UserAnswer.ok(status(job, alloc, true)));
                } else if (reply instanceof Reply.Conflict) {
                  tryAbort(job, tries + 1, answer);
                } else {
                  abortFailed(uid, answer);
                }
              });
        });
  }
}
