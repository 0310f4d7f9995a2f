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
 * How the tasks of a gang find each other, run, save and end together, written from the protocol. A
 * gang is one attempt number of a job, whatever machines its tasks are on.
 */
final class FakeGangs {
  static final long WAIT_MS = 40_000;
  static final long PEER_MS = 8_000;

  private record Key(String uid, long attempt) {}

  private record Member(FakeWorker worker, FakeWorker.Task task) {
    int index() {
      return task.attempt.task().index();
    }
  }

  private static final class Attempt {
    final Map<Integer, Member> members = new HashMap<>();
    final Map<Integer, Long> gatheredMs = new HashMap<>();
    boolean running;
    long startedMs;

    /** When a member was found gone; 0 while all are there. */
    long brokenMs;

    /** When the first member was told to save, and which have been told; 0 for none. */
    long savingMs;

    final Map<Integer, Long> savingSinceMs = new HashMap<>();
  }

  private final SimulatedCluster cluster;
  private final Map<Key, Attempt> attempts = new HashMap<>();

  /** How much of each gang's work is safe in a checkpoint. */
  final Map<String, Long> savedProgressMs = new HashMap<>();

  /** How often gangs started, whole. */
  int startCount;

  /** How often a gang was seen to save its progress when it was stopped. */
  int savedGangs;

  FakeGangs(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  private static Key key(FakeWorker.Task task) {
    return new Key(task.attempt.task().jobUid(), task.attempt.number());
  }

  /** A task is told to stop; whether it saves first. */
  boolean startSaving(FakeWorker worker, FakeWorker.Task task, double graceS) {
    Job job = cluster.job(task.attempt.task().jobUid());
    Attempt attempt = attempts.get(key(task));
    boolean able =
        job.kind() == JobKind.GANG
            && attempt != null
            && attempt.running
            && attempt.brokenMs == 0
            && job.checkpointIntervalS() > 0
            && graceS > 0
            && graceS >= job.saveDurationS();
    if (!able || task.state == State.CHECKPOINTING && graceS <= 0) {
      return false;
    }
    if (task.state == State.RUNNING) {
      task.state = State.CHECKPOINTING;
      worker.hasUnsentChanges = true;
      attempt.savingMs = attempt.savingMs == 0 ? cluster.nowMs : attempt.savingMs;
      attempt.savingSinceMs.put(task.attempt.task().index(), cluster.nowMs);
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
          attempt.gatheredMs.putIfAbsent(member.index(), cluster.nowMs);
        }
      }
    }
    new ArrayList<>(attempts.keySet()).forEach(this::advance);
  }

  private boolean isThere(Member member) {
    return !member.worker.isDead
        && member.task.state != State.ENDED
        && member.worker.tasks().contains(member.task);
  }

  private void advance(Key key) {
    Attempt attempt = attempts.get(key);
    Job job = cluster.job(key.uid);
    attempt.members.values().removeIf(member -> !attempt.running && !isThere(member));
    attempt.gatheredMs.keySet().retainAll(attempt.members.keySet());
    List<Member> there = attempt.members.values().stream().filter(this::isThere).toList();
    if (there.isEmpty()) {
      attempts.remove(key);
    } else if (!attempt.running) {
      gather(attempt, job);
    } else if (attempt.savingMs > 0) {
      save(attempt, job, there);
    } else {
      run(attempt, job, there);
    }
  }

  private void gather(Attempt attempt, Job job) {
    boolean hangs = attempt.members.values().stream().anyMatch(m -> m.worker.isHanging);
    if (attempt.members.size() == job.tasks() && !hangs) {
      attempt.running = true;
      attempt.startedMs = cluster.nowMs;
      startCount++;
      for (Member member : attempt.members.values()) {
        member.task.state = State.RUNNING;
        member.worker.hasUnsentChanges = true;
      }
      return;
    }
    for (Member member : List.copyOf(attempt.members.values())) {
      long waitedMs = cluster.nowMs - attempt.gatheredMs.get(member.index());
      if (waitedMs > WAIT_MS && !member.worker.isHanging) {
        member.worker.end(member.task, Cause.GANG_INCOMPLETE);
      }
    }
  }

  private void run(Attempt attempt, Job job, List<Member> there) {
    boolean whole =
        there.size() == job.tasks() && there.stream().noneMatch(m -> m.worker.isHanging);
    long beganMs = savedProgressMs.getOrDefault(job.uid(), 0L);
    long progressMs = beganMs + cluster.nowMs - attempt.startedMs;
    if (!whole) {
      fail(attempt, job, there, progressMs);
    } else if (progressMs >= job.estimatedRunS() * 1000) {
      for (Member member : there) {
        TaskId id = member.task.attempt.task();
        cluster.recordCompletion(id);
        member.worker.end(member.task, Cause.DONE);
      }
    }
  }

  /** The others notice within a while; what was done since the last checkpoint is lost. */
  private void fail(Attempt attempt, Job job, List<Member> there, long progressMs) {
    if (attempt.brokenMs == 0) {
      attempt.brokenMs = cluster.nowMs;
      long stepMs = (long) (job.checkpointIntervalS() * 1000);
      if (stepMs > 0) {
        savedProgressMs.merge(job.uid(), progressMs / stepMs * stepMs, Math::max);
      }
    }
    if (cluster.nowMs - attempt.brokenMs > PEER_MS / 2) {
      for (Member member : there) {
        if (!member.worker.isHanging) {
          member.worker.end(member.task, Cause.PEER_LOST);
        }
      }
    }
  }

  private void save(Attempt attempt, Job job, List<Member> there) {
    boolean allTold = attempt.savingSinceMs.size() == job.tasks() && there.size() == job.tasks();
    boolean allSaved =
        allTold
            && attempt.savingSinceMs.values().stream()
                .allMatch(since -> cluster.nowMs - since >= job.saveDurationS() * 1000);
    if (allSaved) {
      savedGangs++;
      long savedMs =
          savedProgressMs.getOrDefault(job.uid(), 0L) + attempt.savingMs - attempt.startedMs;
      savedProgressMs.put(job.uid(), savedMs);
      for (Member member : there) {
        member.task.isProgressSaved = true;
        member.worker.end(member.task, Cause.STOPPED);
      }
    } else if (there.size() < job.tasks() || cluster.nowMs - attempt.savingMs > PEER_MS) {
      for (Member member : there) {
        if (!member.worker.isHanging) {
          member.worker.end(member.task, Cause.PEER_LOST);
        }
      }
    }
  }
}
