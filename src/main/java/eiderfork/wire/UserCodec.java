package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import eiderfork.controller.message.UserResponse;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;
import eiderfork.model.Resources;
import java.util.regex.Pattern;

/** The controller's side of the users' protocol: decodes requests and encodes responses. */
public final class UserCodec {
  /** The path that submits jobs, and the start of the paths that query and cancel them. */
  public static final String JOBS_PATH = "/v2/runs";

  /** The end of the path that cancels a job. */
  public static final String CANCEL_SUFFIX = "/abort";

  /** The path of the load balancer's health checks. */
  public static final String HEALTH_PATH = "/healthz";

  private static final Pattern JOB_ID_PATTERN = Pattern.compile("run-[0-9]{1,18}");

  private UserCodec() {}

  /** Returns whether the text has the form of a job id. */
  public static boolean isJobId(String text) {
    return JOB_ID_PATTERN.matcher(text).matches();
  }

  /**
   * Decodes a submission.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
   */
  public static Job decodeJob(byte[] body) throws MalformedMessageException {
    return decodeJob(JsonReader.parse(body));
  }

  static Job decodeJob(JsonNode node) throws MalformedMessageException {
    String uid = JsonReader.text(node, ProtocolFields.UID);
    if (!isJobId(uid)) {
      throw new MalformedMessageException("field Uid is not a job id");
    }
    long tasks = JsonReader.integer(node, ProtocolFields.TASKS);
    if (tasks < 1 || tasks > Job.MAX_TASKS) {
      throw new MalformedMessageException("field Hatchlings is not from 1 to " + Job.MAX_TASKS);
    }
    return new Job(
        uid,
        JsonReader.text(node, ProtocolFields.JOB_CLASS),
        JsonReader.text(node, ProtocolFields.TEAM),
        JsonReader.oneOf(node, ProtocolFields.JOB_KIND, ProtocolNames.JOB_KINDS::get),
        JsonReader.oneOf(node, ProtocolFields.PRIORITY, ProtocolNames.PRIORITIES::get),
        (int) tasks,
        new Resources(
            JsonReader.amount(node, ProtocolFields.CPUS),
            JsonReader.amount(node, ProtocolFields.GPUS),
            JsonReader.amount(node, ProtocolFields.RAM_GB)),
        decodeTypes(node),
        JsonReader.textOrNull(node, ProtocolFields.ZONE),
        JsonReader.flag(node, ProtocolFields.SINGLE_ZONE),
        JsonReader.flag(node, ProtocolFields.SPREAD_ZONES),
        JsonReader.flag(node, ProtocolFields.SPOT),
        JsonReader.text(node, ProtocolFields.IMAGE),
        JsonReader.amount(node, ProtocolFields.IMAGE_GB),
        JsonReader.amount(node, ProtocolFields.ESTIMATED_RUN_S),
        JsonReader.amount(node, ProtocolFields.CHECKPOINT_INTERVAL_S),
        JsonReader.amount(node, ProtocolFields.SAVE_DURATION_S),
        JsonReader.amountOrNull(node, ProtocolFields.DEADLINE_S));
  }

  private static ImmutableSet<String> decodeTypes(JsonNode node) throws MalformedMessageException {
    if (!node.hasNonNull(ProtocolFields.MACHINE_TYPES)) {
      return null;
    }
    ImmutableSet.Builder<String> types = ImmutableSet.builder();
    for (JsonNode type : JsonReader.array(node, ProtocolFields.MACHINE_TYPES)) {
      if (!type.isTextual()) {
        throw new MalformedMessageException("field Breeds is not a list of texts");
      }
      types.add(type.textValue());
    }
    return types.build();
  }

  static ObjectNode toJson(Job job) {
    ObjectNode node = JsonReader.newObject();
    node.put(ProtocolFields.UID, job.uid());
    node.put(ProtocolFields.JOB_CLASS, job.jobClass());
    node.put(ProtocolFields.TEAM, job.team());
    node.put(ProtocolFields.JOB_KIND, ProtocolNames.JOB_KINDS.inverse().get(job.kind()));
    node.put(ProtocolFields.PRIORITY, ProtocolNames.PRIORITIES.inverse().get(job.priority()));
    node.put(ProtocolFields.TASKS, job.tasks());
    node.put(ProtocolFields.CPUS, job.taskResources().cpus());
    node.put(ProtocolFields.GPUS, job.taskResources().gpus());
    node.put(ProtocolFields.RAM_GB, job.taskResources().ramGb());
    if (job.allowedTypes() != null) {
      ArrayNode types = node.putArray(ProtocolFields.MACHINE_TYPES);
      job.allowedTypes().forEach(types::add);
    }
    if (job.requiredZone() != null) {
      node.put(ProtocolFields.ZONE, job.requiredZone());
    }
    node.put(ProtocolFields.SINGLE_ZONE, job.singleZone());
    node.put(ProtocolFields.SPREAD_ZONES, job.spreadZones());
    node.put(ProtocolFields.SPOT, job.spotAllowed());
    node.put(ProtocolFields.IMAGE, job.image());
    node.put(ProtocolFields.IMAGE_GB, job.imageGb());
    node.put(ProtocolFields.ESTIMATED_RUN_S, job.estimatedRunS());
    node.put(ProtocolFields.CHECKPOINT_INTERVAL_S, job.checkpointIntervalS());
    node.put(ProtocolFields.SAVE_DURATION_S, job.saveDurationS());
    if (job.deadlineS() != null) {
      node.put(ProtocolFields.DEADLINE_S, job.deadlineS());
    }
    return node;
  }

  /** Encodes the body of a response to a user. */
  public static byte[] encodeAnswer(UserResponse response) {
    ObjectNode node = JsonReader.newObject();
    JobStatus job = response.job();
    if (job == null) {
      node.put("error", response.error());
    } else {
      node.put(ProtocolFields.UID, job.uid());
      node.put(ProtocolFields.STATE, ProtocolNames.JOB_STATES.inverse().get(job.phase()));
      node.put("done", job.doneTasks());
      node.put("running", job.runningTasks());
    }
    return JsonReader.toBytes(node);
  }

  /** Encodes the body of the response to a health check. */
  public static byte[] encodeHealth(boolean healthy, String reason) {
    ObjectNode node = JsonReader.newObject();
    node.put("healthy", healthy);
    node.put("why", reason);
    return JsonReader.toBytes(node);
  }

  /** Encodes the body of the response to a rejected request. */
  public static byte[] encodeError(String error) {
    return JsonReader.toBytes(JsonReader.newObject().put("error", error));
  }
}
