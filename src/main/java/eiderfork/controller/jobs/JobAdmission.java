package eiderfork.controller.jobs;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.message.UserResponse;
import eiderfork.controller.registry.MachineRegistry;
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

/** Validates submissions and stores the accepted jobs, each exactly once. Any node can do this. */
final class JobAdmission {
  /** The retry delay for a job that requires all nodes to be upgraded. */
  private static final int VERSION_RETRY_S = 2;

  /** The retry delay while the machine types are unknown. */
  private static final int MACHINE_TYPES_RETRY_S = 2;

  private static final int BAD_REQUEST_STATUS = 400;
  private static final int UNPROCESSABLE_STATUS = 422;

  private final ControllerContext context;
  private final StoreClient store;
  private final MachineRegistry fleet;
  private final ClusterVersion version;
  private final StoredJobReader storedJobs;
  private final LoadShedder loadShedder;
  private final ObjLongConsumer<Job> onAccepted;

  /** The callbacks of submissions that wait for a write in flight, by the uid of the job. */
  private final Map<String, List<Consumer<UserResponse>>> pendingSubmissions = new HashMap<>();

  private ImmutableMap<String, MachineType> storedMachineTypes = ImmutableMap.of();

  /**
   * @param onAccepted called with each job that this node stored and the revision of the write
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

  /** Returns whether a job has to wait until every node runs a version that supports it. */
  boolean mustWaitForVersion(Job job) {
    return job.kind() == JobKind.GANG && !version.isSupportedByAll(ClusterVersion.PACKED_ALLOCS);
  }

  /** Handles a submission while memory may not hold all committed state. */
  void admitAfterLookup(Job job, Consumer<UserResponse> onComplete) {
    // The job is looked up first, since a known job must not be validated again. The lookup has the
    // priority of a submission; queued behind the users' polls it would wait for seconds.
    storedJobs.readStatus(
        job.uid(),
        RequestPriority.SUBMIT,
        lookup -> {
          if (!(lookup instanceof JobLookup.NotFound)) {
            onComplete.accept(lookup.toResponse(UserResponse.unavailable()));
          } else if (machineTypes().isEmpty()) {
            loadMachineTypes(() -> admitNew(job, onComplete));
          } else {
            admitNew(job, onComplete);
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

  /** Handles a submission of a job that memory does not hold. */
  void admitNew(Job job, Consumer<UserResponse> onComplete) {
    if (mustWaitForVersion(job)) {
      version.loadStored(RequestPriority.SUBMIT, isRead -> admitIfVersionAllows(job, onComplete));
    } else {
      validateAndStore(job, onComplete);
    }
  }

  private void admitIfVersionAllows(Job job, Consumer<UserResponse> onComplete) {
    if (mustWaitForVersion(job)) {
      onComplete.accept(
          UserResponse.retryAfter(VERSION_RETRY_S, "not every node runs the new version yet"));
    } else {
      validateAndStore(job, onComplete);
    }
  }

  private void validateAndStore(Job job, Consumer<UserResponse> onComplete) {
    if (machineTypes().isEmpty()) {
      onComplete.accept(
          UserResponse.retryAfter(MACHINE_TYPES_RETRY_S, "the machine types are not known yet"));
      return;
    }
    String error = rejectionReason(job);
    if (error != null) {
      // A peer may have accepted this job without memory showing it yet, and an accepted job must
      // not be refused.
      UserResponse refusal = UserResponse.refused(UNPROCESSABLE_STATUS, error);
      respondWithStoredStatus(job.uid(), refusal, List.of(onComplete));
    } else if (pendingSubmissions.containsKey(job.uid())) {
      pendingSubmissions.get(job.uid()).add(onComplete);
    } else if (!loadShedder.rejectIfOverloaded(
        store.writeWaitMs(RequestPriority.SUBMIT), onComplete)) {
      storeSpec(job, onComplete);
    }
  }

  private void storeSpec(Job job, Consumer<UserResponse> onComplete) {
    List<Consumer<UserResponse>> waiters = new ArrayList<>();
    waiters.add(onComplete);
    pendingSubmissions.put(job.uid(), waiters);
    store.send(
        new StoreRequest.Transaction(
            ImmutableList.of(
                new StoreRequest.Condition(StoreKeys.job(job.uid()), 0),
                // A write that is applied late may follow the job's completion and archival.
                new StoreRequest.Condition(StoreKeys.archivedJob(job.uid()), 0)),
            ImmutableList.of(
                StoreRequest.Change.put(StoreKeys.job(job.uid()), new StoredRecord.JobSpec(job)))),
        RequestPriority.SUBMIT,
        reply -> onStoreReply(job, reply));
  }

  private void onStoreReply(Job job, Reply reply) {
    List<Consumer<UserResponse>> waiters = pendingSubmissions.remove(job.uid());
    if (reply instanceof Reply.Committed committed) {
      onAccepted.accept(job, committed.revision());
      JobStatus status = JobStatus.of(job, StoredRecord.Allocation.EMPTY, 0);
      waiters.get(0).accept(UserResponse.created(status));
      waiters.stream().skip(1).forEach(waiter -> waiter.accept(UserResponse.ok(status)));
    } else if (reply instanceof Reply.Conflict) {
      respondWithStoredStatus(job.uid(), UserResponse.unavailable(), waiters);
    } else if (reply instanceof Reply.Refused refused && refused.isMalformed()) {
      // A peer may have stored the job before the size limit of the store was lowered.
      UserResponse refusal =
          UserResponse.refused(BAD_REQUEST_STATUS, "larger than what can be stored");
      respondWithStoredStatus(job.uid(), refusal, waiters);
    } else {
      // The write may still be applied; a retry by the user finds the stored job.
      waiters.forEach(waiter -> waiter.accept(UserResponse.unavailable()));
    }
  }

  /** Responds with the stored status of a job, or with {@code whenNotFound} if it is not stored. */
  private void respondWithStoredStatus(
      String uid, UserResponse whenNotFound, List<Consumer<UserResponse>> waiters) {
    storedJobs.readStatus(
        uid,
        RequestPriority.SUBMIT,
        lookup -> {
          UserResponse response = lookup.toResponse(whenNotFound);
          waiters.forEach(waiter -> waiter.accept(response));
        });
  }

  /** Returns the reason why a job can never run, or null if it can. */
  private String rejectionReason(Job job) {
    Team team = context.settings.teams().get(job.team());
    if (team == null) {
      return "unknown team " + job.team();
    }
    if (machineTypes().values().stream().noneMatch(type -> canHoldTask(type, job))) {
      return "a task fits no allowed machine type";
    }
    Resources minimum =
        job.kind() == JobKind.ARRAY ? job.taskResources() : job.taskResources().times(job.tasks());
    return team.isWithinLimit(minimum) ? null : "more than the limit of team " + job.team();
  }

  private static boolean canHoldTask(MachineType type, Job job) {
    boolean isInZone = job.requiredZone() == null || type.zones().contains(job.requiredZone());
    return job.allowsType(type.name()) && isInZone && job.taskResources().fitsIn(type.capacity());
  }
}
