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
  public static final String RUNS = "/v2/runs";

  /** What a job's path ends with to cancel it. */
  public static final String ABORT = "/abort";

  /** Where the load balancer probes. */
  public static final String HEALTH = "/healthz";

  private static final Pattern UID = Pattern.compile("run-[0-9]{1,18}");

  private UserCodec() {}

  /** Whether the text has the form of a job's id. */
  public static boolean isUid(String text) {
    return UID.matcher(text).matches();
  }

  /**
   * Reads a submission.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static Job job(byte[] body) throws MalformedMessageException {
    return job(JsonReader.parse(body));
  }

  static Job job(JsonNode node) throws MalformedMessageException {
    String uid = JsonReader.text(node, "Uid");
    if (!isUid(uid)) {
      throw new MalformedMessageException("field Uid is not a job id");
    }
    long tasks = JsonReader.integer(node, "Hatchlings");
    if (tasks < 1 || tasks > Job.MOST_TASKS) {
      throw new MalformedMessageException("field Hatchlings is not from 1 to " + Job.MOST_TASKS);
    }
    return new Job(
        uid,
        JsonReader.text(node, "Flock"),
        JsonReader.text(node, "Crew"),
        JsonReader.oneOf(node, "Guise", ProtocolNames.KIND::get),
        JsonReader.oneOf(node, "Precedence", ProtocolNames.PRIORITY::get),
        (int) tasks,
        new Resources(
            JsonReader.amount(node, "Cpus"),
            JsonReader.amount(node, "Gpus"),
            JsonReader.amount(node, "RamGb")),
        types(node),
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

  private static ImmutableSet<String> types(JsonNode node) throws MalformedMessageException {
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

  static ObjectNode node(Job job) {
    ObjectNode node = JsonReader.object();
    node.put("Uid", job.uid());
    node.put("Flock", job.jobClass());
    node.put("Crew", job.team());
    node.put("Guise", ProtocolNames.KIND.inverse().get(job.kind()));
    node.put("Precedence", ProtocolNames.PRIORITY.inverse().get(job.priority()));
    node.put("Hatchlings", job.tasks());
    node.put("Cpus", job.need().cpus());
    node.put("Gpus", job.need().gpus());
    node.put("RamGb", job.need().ramGb());
    if (job.types() != null) {
      ArrayNode types = node.putArray("Breeds");
      job.types().forEach(types::add);
    }
    if (job.zone() != null) {
      node.put("Shore", job.zone());
    }
    node.put("Together", job.oneZone());
    node.put("Scatter", job.spread());
    node.put("Driftwood", job.spot());
    node.put("Plumage", job.image());
    node.put("ImageGb", job.imageGb());
    node.put("ReckonS", job.estimateS());
    node.put("MoultS", job.checkpointS());
    node.put("StowS", job.saveS());
    if (job.deadlineS() != null) {
      node.put("DueS", job.deadlineS());
    }
    return node;
  }

  /** The body of an answer to a user. */
  public static byte[] body(UserResponse answer) {
    ObjectNode node = JsonReader.object();
    JobStatus job = answer.job();
    if (job == null) {
      node.put("error", answer.error());
    } else {
      node.put("Uid", job.uid());
      node.put("Stance", ProtocolNames.STANCE.inverse().get(job.stance()));
      node.put("done", job.done());
      node.put("running", job.running());
    }
    return JsonReader.bytes(node);
  }

  /** The body of an answer to a health check. */
  public static byte[] health(boolean healthy, String why) {
    ObjectNode node = JsonReader.object();
    node.put("healthy", healthy);
    node.put("why", why);
    return JsonReader.bytes(node);
  }

  /** The body of an answer that says what is wrong. */
  public static byte[] error(String error) {
    return JsonReader.bytes(JsonReader.object().put("error", error));
  }
}
