package eiderfork.wire;

import com.fasterxml.jackson.databind.JsonNode;
import eiderfork.model.Job;
import eiderfork.model.JobStatus;

/** The users' side of their protocol, for stand-ins. */
public final class UserClientWire {
  private UserClientWire() {}

  /** The body of a submission. */
  public static byte[] submission(Job job) {
    return Json.bytes(UserWire.node(job));
  }

  /**
   * Reads what a user is told of a job; the counts are only those of an answer that has them.
   *
   * @throws BadMessage where it does not follow the protocol
   */
  public static JobStatus status(byte[] body) throws BadMessage {
    JsonNode node = Json.parse(body);
    return new JobStatus(
        Json.text(node, "Uid"),
        Json.oneOf(node, "Stance", Names.STANCE::get),
        node.path("done").asInt(),
        node.path("running").asInt());
  }
}
