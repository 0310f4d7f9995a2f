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

/** What users send and are told. */
public final class UserCodec {
  /** Where jobs are submitted and asked for. */
  public static final String JOBS_PATH = "/v2/runs";

  /** What a job's path ends with to cancel it. */
  public static final String CANCEL_SUFFIX = "/abort";

  /** Where the load balancer probes. */
  public static final String HEALTH_PATH = "/healthz";

  private static final Pattern JOB_ID_PATTERN = Pattern.compile("run-[0-9]{1,18}");

  private UserCodec() {}

  /** Whether the text has the form of a job's id. */
  public static boolean isJobId(String text) {
    return JOB_ID_PATTERN.matcher(text).matches();
  }

  /**
   * Reads a submission.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Job decodeJob(byte[] body) throws MalformedMessageException {
    return decodeJob(JsonReader.parse(body));
  }

  static Job decodeJob(JsonNode node) throws MalformedMessageException {
    String uid = JsonReader.text(node, "Uid");
    if (!isJobId(uid)) {
      throw new MalformedMessageException("field Uid is not a job id");
    }
    long tasks = JsonReader.integer(node, "Hatchlings");
    if (tasks < 1 || tasks > Job.MAX_TASKS) {
      throw new MalformedMessageException("field Hatchlings is not from 1 to " + Job.MAX_TASKS);
    }
    return new Job(
        uid,
        JsonReader.text(node, "Flock"),
        JsonReader.text(node, "Crew"),
        JsonReader.oneOf(node, "Guise", ProtocolNames.JOB_KINDS::get),
        JsonReader.oneOf(node, "Precedence", ProtocolNames.PRIORITIES::get),
        (int) tasks,
        new Resources(
            JsonReader.amount(node, "Cpus"),
            JsonReader.amount(node, "Gpus"),
            JsonReader.amount(node, "RamGb")),
        decodeTypes(node),
        JsonReader.textOrNull(node, "Shore"),
        JsonReader.flag(node, "Together"),
        JsonReader.flag(node, "Scatter"),
        JsonReader.flag(node, "Driftwood"),
        JsonReader.text(node, "Plumage"),
        JsonReader.amount(node, "ImageGb"),
        JsonReader.amount(node, "ReckonS"),
        JsonReader.amount(node, "MoultS"),
        JsonReader.amount(node, "StowS"),
        JsonReader.amountOrNull(node, "DueS"));
  }

  private static ImmutableSet<String> decodeTypes(JsonNode node) throws MalformedMessageException {
    if (!node.hasNonNull("Breeds")) {
      return null;
    }
    ImmutableSet.Builder<String> types = ImmutableSet.builder();
    for (JsonNode type : JsonReader.array(node, "Breeds")) {
      if (!type.isTextual()) {
        throw new MalformedMessageException("field Breeds is not a list of texts");
      }
      types.add(type.textValue());
    }
    return types.build();
  }

  static ObjectNode toJson(Job job) {
    ObjectNode node = JsonReader.newObject();
    node.put("Uid", job.uid());
    node.put("Flock", job.jobClass());
    node.put("Crew", job.team());
    node.put("Guise", ProtocolNames.JOB_KINDS.inverse().get(job.kind()));
    node.put("Precedence", ProtocolNames.PRIORITIES.inverse().get(job.priority()));
    node.put("Hatchlings", job.tasks());
    node.put("Cpus", job.taskResources().cpus());
    node.put("Gpus", job.taskResources().gpus());
    node.put("RamGb", job.taskResources().ramGb());
    if (job.allowedTypes() != null) {
      ArrayNode types = node.putArray("Breeds");
      job.allowedTypes().forEach(types::add);
    }
    if (job.requiredZone() != null) {
      node.put("Shore", job.requiredZone());
    }
    node.put("Together", job.singleZone());
    node.put("Scatter", job.spreadZones());
    node.put("Driftwood", job.spotAllowed());
    node.put("Plumage", job.image());
    node.put("ImageGb", job.imageGb());
    node.put("ReckonS", job.estimatedRunS());
    node.put("MoultS", job.checkpointIntervalS());
    node.put("StowS", job.saveDurationS());
    if (job.deadlineS() != null) {
      node.put("DueS", job.deadlineS());
    }
    return node;
  }

  /** The body of an answer to a user. */
  public static byte[] encodeAnswer(UserResponse response) {
    ObjectNode node = JsonReader.newObject();
    JobStatus job = response.job();
    if (job == null) {
      node.put("error", response.error());
    } else {
      node.put("Uid", job.uid());
      node.put("Stance", ProtocolNames.JOB_STATES.inverse().get(job.phase()));
      node.put("done", job.doneTasks());
      node.put("running", job.runningTasks());
    }
    return JsonReader.toBytes(node);
  }

  /** The body of an answer to a health check. */
  public static byte[] encodeHealth(boolean healthy, String reason) {
    ObjectNode node = JsonReader.newObject();
    node.put("healthy", healthy);
    node.put("why", reason);
    return JsonReader.toBytes(node);
  }

  /** The body of an answer that says what is wrong. */
  public static byte[] encodeError(String error) {
    return JsonReader.toBytes(JsonReader.newObject().put("error", error));
  }
}
