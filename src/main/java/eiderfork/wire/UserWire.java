package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import eiderfork.core.message.UserAnswer;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;
import eiderfork.model.Resources;
import java.util.regex.Pattern;

/** What users send and are told. */
public final class UserWire {
  /** Where jobs are submitted and asked for. */
  public static final String RUNS = "/v2/runs";

  /** What a job's path ends with to cancel it. */
  public static final String ABORT = "/abort";

  /** Where the load balancer probes. */
  public static final String HEALTH = "/healthz";

  private static final Pattern UID = Pattern.compile("run-[0-9]{1,18}");

  private UserWire() {}

  /** Whether the text has the form of a job's id. */
  public static boolean isUid(String text) {
    return UID.matcher(text).matches();
  }

  /**
   * Reads a submission.
   *
   * @throws BadMessage where it does not follow the protocol
   */
  public static Job job(byte[] body) throws BadMessage {
    return job(Json.parse(body));
  }

  static Job job(JsonNode node) throws BadMessage {
    String uid = Json.text(node, "Uid");
    if (!isUid(uid)) {
      throw new BadMessage("field Uid is not a job id");
    }
    long tasks = Json.integer(node, "Hatchlings");
    if (tasks < 1 || tasks > Job.MOST_TASKS) {
      throw new BadMessage("field Hatchlings is not from 1 to " + Job.MOST_TASKS);
    }
    return new Job(
        uid,
        Json.text(node, "Flock"),
        Json.text(node, "Crew"),
        Json.oneOf(node, "Guise", Names.KIND::get),
        Json.oneOf(node, "Precedence", Names.PRIORITY::get),
        (int) tasks,
        new Resources(
            Json.amount(node, "Cpus"), Json.amount(node, "Gpus"), Json.amount(node, "RamGb")),
        types(node),
        Json.textOrNull(node, "Shore"),
        Json.flag(node, "Together"),
        Json.flag(node, "Scatter"),
        Json.flag(node, "Driftwood"),
        Json.text(node, "Plumage"),
        Json.amount(node, "ImageGb"),
        Json.amount(node, "ReckonS"),
        Json.amount(node, "MoultS"),
        Json.amount(node, "StowS"),
        Json.amountOrNull(node, "DueS"));
  }

  private static ImmutableSet<String> types(JsonNode node) throws BadMessage {
    if (!node.hasNonNull("Breeds")) {
      return null;
    }
    ImmutableSet.Builder<String> types = ImmutableSet.builder();
    for (JsonNode type : Json.array(node, "Breeds")) {
      if (!type.isTextual()) {
        throw new BadMessage("field Breeds is not a list of texts");
      }
      types.add(type.textValue());
    }
    return types.build();
  }

  static ObjectNode node(Job job) {
    ObjectNode node = Json.object();
    node.put("Uid", job.uid());
    node.put("Flock", job.jobClass());
    node.put("Crew", job.team());
    node.put("Guise", Names.KIND.inverse().get(job.kind()));
    node.put("Precedence", Names.PRIORITY.inverse().get(job.priority()));
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
  public static byte[] body(UserAnswer answer) {
    ObjectNode node = Json.object();
    JobStatus job = answer.job();
    if (job == null) {
      node.put("error", answer.error());
    } else {
      node.put("Uid", job.uid());
      node.put("Stance", Names.STANCE.inverse().get(job.stance()));
      node.put("done", job.done());
      node.put("running", job.running());
    }
    return Json.bytes(node);
  }

  /** The body of an answer to a health check. */
  public static byte[] health(boolean healthy, String why) {
    ObjectNode node = Json.object();
    node.put("healthy", healthy);
    node.put("why", why);
    return Json.bytes(node);
  }

  /** The body of an answer that says what is wrong. */
  public static byte[] error(String error) {
    return Json.bytes(Json.object().put("error", error));
  }
}
