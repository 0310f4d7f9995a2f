package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;

/** The user's side of its protocol, for emulated users. */
public final class UserClientCodec {
  private UserClientCodec() {}

  /** Encodes the body of a submission. */
  public static byte[] encodeSubmission(Job job) {
    return JsonReader.toBytes(UserCodec.toJson(job));
  }

  /**
   * Decodes a job's status from a response to a user; missing task counts become 0.
   *
   * @throws MalformedMessageException if the body does not follow the protocol
   */
  public static JobStatus decodeStatus(byte[] body) throws MalformedMessageException {
    JsonNode node = JsonReader.parse(body);
    return new JobStatus(
        JsonReader.text(node, ProtocolFields.UID),
        JsonReader.oneOf(node, ProtocolFields.STATE, ProtocolNames.JOB_STATES::get),
        node.path("done").asInt(),
        node.path("running").asInt());
  }
}
