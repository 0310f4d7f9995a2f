package eiderfork.wire;

import com.google.common.collect.ImmutableBiMap;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus.Stance;
import eiderfork.model.ListedMachine;
import eiderfork.model.Priority;
import eiderfork.model.TaskStatus.Cause;
import eiderfork.model.TaskStatus.State;

/** The protocol's words for what the model has its own names for. */
final class ProtocolNames {
  static final ImmutableBiMap<String, JobKind> KIND =
      ImmutableBiMap.of("array", JobKind.ARRAY, "group", JobKind.GANG, "standing", JobKind.SERVICE);

  static final ImmutableBiMap<String, Priority> PRIORITY =
      ImmutableBiMap.of(
          "production", Priority.PRODUCTION,
          "high", Priority.HIGH,
          "standard", Priority.STANDARD,
          "low", Priority.LOW);

  static final ImmutableBiMap<String, Stance> STANCE =
      ImmutableBiMap.of(
          "pending", Stance.PENDING,
          "running", Stance.RUNNING,
          "done", Stance.DONE,
          "aborted", Stance.ABORTED);

  static final ImmutableBiMap<String, State> TASK_STATE =
      ImmutableBiMap.of(
          "pulling", State.FETCHING,
          "gathering", State.GATHERING,
          "running", State.RUNNING,
          "saving", State.SAVING,
          "ended", State.ENDED);

  static final ImmutableBiMap<String, Cause> CAUSE =
      ImmutableBiMap.of(
          "done", Cause.DONE,
          "halted", Cause.STOPPED,
          "error", Cause.ERROR,
          "full", Cause.NO_ROOM,
          "in_use", Cause.BUSY,
          "unknown", Cause.UNKNOWN,
          "peers", Cause.PEERS,
          "incomplete", Cause.INCOMPLETE);

  static final ImmutableBiMap<String, ListedMachine.State> HOST_STATE =
      ImmutableBiMap.of(
          "starting", ListedMachine.State.BOOTING,
          "running", ListedMachine.State.RUNNING,
          "failed", ListedMachine.State.FAILED);

  private ProtocolNames() {}
}
