package eiderfork.controller;

import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.TaskId;
import eiderfork.model.TaskStatus.Cause;
import eiderfork.model.TaskStatus.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Implements the protocol for gangs: their tasks assemble, run, save and end together. All tasks of
 * a job with the same attempt number form one gang, whatever machines they are on.
 */
final class FakeGangs {
  static final long ASSEMBLY_TIMEOUT_MS = 40_000;
  static final long PEER_TIMEOUT_MS = 8_000;

  private record Key(String uid, long attempt) {}

  private record Member(FakeWorker worker, FakeWorker.Task task) {
    int index() {
      return task.attempt.task().index();
    }
  }

  private static final class Attempt {
    final Map<Integer, Member> members = new HashMap<>();
    final Map<Integer, Long> joinedMs = new HashMap<>();
    boolean isRunning;
    long startedMs;

    /** The time when a member was found missing; 0 while all are present. */
    long memberLostMs;

    /** The time when the first member began to save; 0 for none. */
    long firstSavingMs;

    /** The time when each member began to save, by task index. */
    final Map<Integer, Long> savingSinceMsByIndex = new HashMap<>();
  }

  private final SimulatedCluster cluster;
  private final Map<Key, Attempt> attempts = new HashMap<>();

  /** The run time saved in checkpoints, by job. */
  final Map<String, Long> savedProgressMs = new HashMap<>();

  /** The number of times that a gang was complete and started. */
  int startCount;

  /** The number of times that a stopped gang saved its progress. */
  int savedGangs;

  FakeGangs(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  private static Key key(FakeWorker.Task task) {
    return new Key(task.attempt.task().jobUid(), task.attempt.number());
  }

  /** Handles a stop command for a task; returns whether the task saves first. */
  boolean startSaving(FakeWorker worker, FakeWorker.Task task, double graceS) {
    Job job = cluster.job(task.attempt.task().jobUid());
    Attempt attempt = attempts.get(key(task));
    boolean canSave =
        job.kind() == JobKind.GANG
            && attempt != null
            && attempt.isRunning
            && attempt.memberLostMs == 0
            && job.checkpointIntervalS() > 0
            && graceS > 0
            && graceS >= job.saveDurationS();
    if (!canSave || task.state == State.CHECKPOINTING && graceS <= 0) {
      return false;
    }
    if (task.state == State.RUNNING) {
      task.state = State.CHECKPOINTING;
      worker.hasUnsentChanges = true;
      attempt.firstSavingMs = attempt.firstSavingMs == 0 ? cluster.nowMs : attempt.firstSavingMs;
      attempt.savingSinceMsByIndex.put(task.attempt.task().index(), cluster.nowMs);
    }
    return true;
  }

  void tick() {
    Map<Key, Attempt> present = new HashMap<>();
    for (FakeWorker worker : cluster.workers()) {
      if (worker.isDead) {
        continue;
      }
      for (FakeWorker.Task task : worker.tasks()) {
        Job job = cluster.job(task.attempt.task().jobUid());
        if (job.kind() == JobKind.GANG
            && task.state != State.ENDED
            && task.state != State.FETCHING) {
          Attempt attempt = attempts.computeIfAbsent(key(task), k -> new Attempt());
          present.computeIfAbsent(key(task), k -> attempt);
          Member member = new Member(worker, task);
          attempt.members.put(member.index(), member);
          attempt.joinedMs.putIfAbsent(member.index(), cluster.nowMs);
        }
      }
    }
    new ArrayList<>(attempts.keySet()).forEach(this::advance);
  }

  private boolean isPresent(Member member) {
    return !member.worker.isDead
        && member.task.state != State.ENDED
        && member.worker.tasks().contains(member.task);
  }

  private void advance(Key key) {
    Attempt attempt = attempts.get(key);
    Job job = cluster.job(key.uid);
    attempt.members.values().removeIf(member -> !attempt.isRunning && !isPresent(member));
    attempt.joinedMs.keySet().retainAll(attempt.members.keySet());
    List<Member> presentMembers =
        attempt.members.values().stream().filter(this::isPresent).toList();
    if (presentMembers.isEmpty()) {
      attempts.remove(key);
    } else if (!attempt.isRunning) {
      assemble(attempt, job);
    } else if (attempt.firstSavingMs > 0) {
      save(attempt, job, presentMembers);
    } else {
      run(attempt, job, presentMembers);
    }
  }

  private void assemble(Attempt attempt, Job job) {
    boolean isAnyHanging =
        attempt.members.values().stream().anyMatch(member -> member.worker.isHanging);
    if (attempt.members.size() == job.tasks() && !isAnyHanging) {
      attempt.isRunning = true;
      attempt.startedMs = cluster.nowMs;
      startCount++;
      for (Member member : attempt.members.values()) {
        member.task.state = State.RUNNING;
        member.worker.hasUnsentChanges = true;
      }
      return;
    }
    for (Member member : List.copyOf(attempt.members.values())) {
      long waitedMs = cluster.nowMs - attempt.joinedMs.get(member.index());
      if (waitedMs > ASSEMBLY_TIMEOUT_MS && !member.worker.isHanging) {
        member.worker.end(member.task, Cause.GANG_INCOMPLETE);
      }
    }
  }

  private void run(Attempt attempt, Job job, List<Member> presentMembers) {
    boolean isComplete =
        presentMembers.size() == job.tasks()
            && presentMembers.stream().noneMatch(member -> member.worker.isHanging);
    long savedMs = savedProgressMs.getOrDefault(job.uid(), 0L);
    long progressMs = savedMs + cluster.nowMs - attempt.startedMs;
    if (!isComplete) {
      endIncompleteGang(attempt, job, presentMembers, progressMs);
    } else if (progressMs >= job.estimatedRunS() * 1000) {
      for (Member member : presentMembers) {
        TaskId id = member.task.attempt.task();
        cluster.recordCompletion(id);
        member.worker.end(member.task, Cause.DONE);
      }
    }
  }

  /** Ends the remaining members after a delay; progress since the last checkpoint is lost. */
  private void endIncompleteGang(
      Attempt attempt, Job job, List<Member> presentMembers, long progressMs) {
    if (attempt.memberLostMs == 0) {
      attempt.memberLostMs = cluster.nowMs;
      long stepMs = (long) (job.checkpointIntervalS() * 1000);
      if (stepMs > 0) {
        savedProgressMs.merge(job.uid(), progressMs / stepMs * stepMs, Math::max);
      }
    }
    if (cluster.nowMs - attempt.memberLostMs > PEER_TIMEOUT_MS / 2) {
      for (Member member : presentMembers) {
        if (!member.worker.isHanging) {
          member.worker.end(member.task, Cause.PEER_LOST);
        }
      }
    }
  }

  private void save(Attempt attempt, Job job, List<Member> presentMembers) {
    boolean areAllSaving =
        attempt.savingSinceMsByIndex.size() == job.tasks() && presentMembers.size() == job.tasks();
    boolean haveAllSaved =
        areAllSaving
            && attempt.savingSinceMsByIndex.values().stream()
                .allMatch(since -> cluster.nowMs - since >= job.saveDurationS() * 1000);
    if (haveAllSaved) {
      savedGangs++;
      long savedMs =
          savedProgressMs.getOrDefault(job.uid(), 0L) + attempt.firstSavingMs - attempt.startedMs;
      savedProgressMs.put(job.uid(), savedMs);
      for (Member member : presentMembers) {
        member.task.isProgressSaved = true;
        member.worker.end(member.task, Cause.STOPPED);
      }
    } else if (presentMembers.size() < job.tasks()
        || cluster.nowMs - attempt.firstSavingMs > PEER_TIMEOUT_MS) {
      for (Member member : presentMembers) {
        if (!member.worker.isHanging) {
          member.worker.end(member.task, Cause.PEER_LOST);
        }
      }
    }
  }
}
