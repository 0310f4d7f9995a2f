package eiderfork.controller;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.message.UserResponse;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.MachineType;
import eiderfork.model.Resources;
import eiderfork.model.StoredRecord;
import eiderfork.model.Team;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;

/** Judges submissions and writes those that can run; each job is stored once, by whatever node. */
final class JobAdmission {
  /** When to come back with a job that waits for the last node to be upgraded. */
  private static final int VERSION_RETRY_S = 2;

  private final ControllerContext context;
  private final StoreClient store;
  private final MachineRegistry fleet;
  private final ClusterVersion version;
  private final StoredJobReader storedJobs;
  private final LoadShedder loadShedder;
  private final ObjLongConsumer<Job> onAccepted;

  /** Submissions whose write is under way, with those that wait for its end. */
  private final Map<String, List<Consumer<UserResponse>>> pendingSubmissions = new HashMap<>();

  private ImmutableMap<String, MachineType> storedMachineTypes = ImmutableMap.of();

  /**
   * @param onAccepted takes each job that was stored from here, with the revision of that
   */
  JobAdmission(
      ControllerContext context,
      StoreClient store,
      MachineRegistry fleet,
      ClusterVersion version,
      StoredJobReader storedJobs,
      LoadShedder loadShedder,
      ObjLongConsumer<Job> onAccepted) {
    this.context = context;
    this.store = store;
    this.fleet = fleet;
    this.version = version;
    this.storedJobs = storedJobs;
    this.loadShedder = loadShedder;
    this.onAccepted = onAccepted;
  }

  /** Whether a job has to wait until every node runs the version that can carry it out. */
  boolean mustWaitForVersion(Job job) {
    return job.kind() == JobKind.GANG && !version.isSupportedByAll(ClusterVersion.PACKED_ALLOCS);
  }

  /** Takes a submission where memory does not hold all that is committed. */
  void admitAfterLookup(Job job, Consumer<UserResponse> answer) {
    // A known job is never judged again, so it is looked up first; not behind the polls, which
    // once held submissions up for seconds at nodes that could not reach the leader.
    storedJobs.status(
        job.uid(),
        RequestPriority.SUBMIT,
        status -> {
          if (status == null) {
            answer.accept(UserResponse.unavailable());
          } else if (status.isPresent()) {
            answer.accept(UserResponse.ok(status.get()));
          } else if (machineTypes().isEmpty()) {
            loadMachineTypes(() -> admitNew(job, answer));
          } else {
            admitNew(job, answer);
          }
        });
  }

  private ImmutableMap<String, MachineType> machineTypes() {
    return fleet.types().isEmpty() ? storedMachineTypes : fleet.types();
  }

  private void loadMachineTypes(Runnable onComplete) {
    store.send(
        new StoreRequest.Get(StoreKeys.MACHINE_TYPES),
        RequestPriority.SUBMIT,
        reply -> {
          if (reply instanceof Reply.Value value
              && value.record() instanceof StoredRecord.MachineTypes stored) {
            ImmutableMap.Builder<String, MachineType> builder = ImmutableMap.builder();
            stored.types().forEach(type -> builder.put(type.name(), type));
            storedMachineTypes = builder.buildKeepingLast();
          }
          onComplete.run();
        });
  }

  /** Takes a submission of a job that is not known here. */
  void admitNew(Job job, Consumer<UserResponse> answer) {
    if (mustWaitForVersion(job)) {
      version.loadStored(() -> admitIfVersionAllows(job, answer));
    } else {
      validateAndStore(job, answer);
    }
  }

  private void admitIfVersionAllows(Job job, Consumer<UserResponse> answer) {
    if (mustWaitForVersion(job)) {
      answer.accept(
          UserResponse.retryAfter(VERSION_RETRY_S, "not every node runs the new version yet"));
    } else {
      validateAndStore(job, answer);
    }
  }

  private void validateAndStore(Job job, Consumer<UserResponse> answer) {
    if (machineTypes().isEmpty()) {
      answer.accept(UserResponse.retryAfter(2, "the machine types are not known yet"));
      return;
    }
    String error = rejectionReason(job);
    if (error != null) {
      // Memory may lag behind a peer that took this job; only an unknown job may be refused.
      storedJobs.status(
          job.uid(),
          RequestPriority.SUBMIT,
          status -> {
            if (status == null) {
              answer.accept(UserResponse.unavailable());
            } else if (status.isPresent()) {
              answer.accept(UserResponse.ok(status.get()));
            } else {
              answer.accept(UserResponse.refused(422, error));
            }
          });
      return;
    }
    List<Consumer<UserResponse>> waiting = pendingSubmissions.get(job.uid());
    if (waiting != null) {
      waiting.add(answer);
      return;
    }
    if (loadShedder.rejects(store.writeWaitMs(RequestPriority.SUBMIT), answer)) {
      return;
    }
    waiting = new ArrayList<>();
    waiting.add(answer);
    pendingSubmissions.put(job.uid(), waiting);
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(
                new StoreRequest.Condition(StoreKeys.job(job.uid()), 0),
                // Carried out late, this write may come after the job was done and archived.
                new StoreRequest.Condition(StoreKeys.ended(job.uid()), 0)),
            ImmutableList.of(
                StoreRequest.Change.put(StoreKeys.job(job.uid()), new StoredRecord.JobSpec(job)))),
        RequestPriority.SUBMIT,
        reply -> onStoreReply(job, reply));
  }

  private void onStoreReply(Job job, Reply reply) {
    List<Consumer<UserResponse>> waiting = pendingSubmissions.remove(job.uid());
    if (reply instanceof Reply.Committed committed) {
      onAccepted.accept(job, committed.revision());
      JobStatus status = JobState.status(job, StoredRecord.Allocation.EMPTY, 0);
      waiting.get(0).accept(UserResponse.created(status));
      waiting.stream().skip(1).forEach(each -> each.accept(UserResponse.ok(status)));
    } else if (reply instanceof Reply.Conflict) {
      respondWithStoredStatus(job.uid(), UserResponse.unavailable(), waiting);
    } else if (reply instanceof Reply.Refused refused && refused.isMalformed()) {
      // A peer may have stored it before the service's limits fell.
      UserResponse never = UserResponse.refused(400, "larger than what can be stored");
      respondWithStoredStatus(job.uid(), never, waiting);
    } else {
      // It may be written yet; the user's own repeat finds out.
      waiting.forEach(each -> each.accept(UserResponse.unavailable()));
    }
  }

  /** Answers with the job as it is stored, or with {@code otherwise} where it is not. */
  private void respondWithStoredStatus(
      String uid, UserResponse otherwise, List<Consumer<UserResponse>> waiting) {
    storedJobs.status(
        uid,
        RequestPriority.SUBMIT,
        status -> {
          UserResponse response =
              status == null
                  ? UserResponse.unavailable()
                  : status.map(UserResponse::ok).orElse(otherwise);
          waiting.forEach(each -> each.accept(response));
        });
  }

  /** Why a job can never run, or null. */
  private String rejectionReason(Job job) {
    Team team = context.settings.teams().get(job.team());
    if (team == null) {
      return "unknown team " + job.team();
    }
    boolean fits = false;
    for (MachineType type : machineTypes().values()) {
      boolean zone = job.requiredZone() == null || type.zones().contains(job.requiredZone());
      fits |= job.allowsType(type.name()) && zone && job.taskResources().fitsIn(type.capacity());
    }
    if (!fits) {
      return "a task fits no allowed machine type";
    }
    Resources least =
        job.kind() == JobKind.ARRAY ? job.taskResources() : job.taskResources().times(job.tasks());
    return team.isWithinLimit(least) ? null : "more than the limit of team " + job.team();
  }
}
