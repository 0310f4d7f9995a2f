package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;

/** The users' side of their protocol, for emulations. */
public final class UserClientCodec {
  private UserClientCodec() {}

  /** The body of a submission. */
  public static byte[] encodeSubmission(Job job) {
    return JsonReader.toBytes(UserCodec.toJson(job));
  }

  /**
   * Reads the response to a user; counts that it does not have are 0.
   *
   * @throws MalformedMessageException where it does not follow the protocol
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
