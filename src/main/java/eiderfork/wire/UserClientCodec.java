package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;

/** The users' side of their protocol, for stand-ins. */
public final class UserClientCodec {
  private UserClientCodec() {}

  /** The body of a submission. */
  public static byte[] encodeSubmission(Job job) {
    return JsonReader.toBytes(UserCodec.toJson(job));
  }

  /**
   * Reads what a user is told of a job; the counts are only those of an answer that has them.
   *
   * @throws MalformedMessageException where it does not follow the protocol
   */
  public static JobStatus decodeStatus(byte[] body) throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    return new JobStatus(
        JsonReader.text(node, "Uid"),
        JsonReader.oneOf(node, "Stance", ProtocolNames.JOB_STATES::get),
        node.path("done").asInt(),
        node.path("running").asInt());
  }
}
