package eiderfork.wire;

import com.google.common.collect.ImmutableBiMap;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Phase;
import eiderfork.model.ListedMachine;
import eiderfork.model.Priority;
import eiderfork.model.TaskStatus.Cause;
import eiderfork.model.TaskStatus.State;

/** The values of enumerated fields in the protocol, and the model constants that they map to. */
final class ProtocolNames {
  static final ImmutableBiMap<String, JobKind> JOB_KINDS =
      ImmutableBiMap.of("array", JobKind.ARRAY, "group", JobKind.GANG, "standing", JobKind.SERVICE);

  static final ImmutableBiMap<String, Priority> PRIORITIES =
      ImmutableBiMap.of(
          "production", Priority.PRODUCTION,
          "high", Priority.HIGH,
          "standard", Priority.STANDARD,
          "low", Priority.LOW);

  static final ImmutableBiMap<String, Phase> JOB_STATES =
      ImmutableBiMap.of(
          "pending", Phase.PENDING,
          "running", Phase.RUNNING,
          "done", Phase.DONE,
          "aborted", Phase.ABORTED);

  static final ImmutableBiMap<String, State> TASK_STATES =
      ImmutableBiMap.of(
          "pulling", State.FETCHING,
          "gathering", State.WAITING_FOR_GANG,
          "running", State.RUNNING,
          "saving", State.CHECKPOINTING,
          "ended", State.ENDED);

  static final ImmutableBiMap<String, Cause> END_CAUSES =
      ImmutableBiMap.of(
          "done", Cause.DONE,
          "halted", Cause.STOPPED,
          "error", Cause.ERROR,
          "full", Cause.NO_ROOM,
          "in_use", Cause.BUSY,
          "unknown", Cause.UNKNOWN,
          "peers", Cause.PEER_LOST,
          "incomplete", Cause.GANG_INCOMPLETE);

  static final ImmutableBiMap<String, ListedMachine.State> HOST_STATES =
      ImmutableBiMap.of(
          "starting", ListedMachine.State.BOOTING,
          "running", ListedMachine.State.RUNNING,
          "failed", ListedMachine.State.FAILED);

  private ProtocolNames() {}
}
