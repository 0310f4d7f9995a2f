package eiderfork.wire;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.UserResponse;
import eiderfork.model.JobStatus;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;

/** Encodes and decodes user requests that controllers forward to each other, and their answers. */
public final class ForwardingCodec {
  /** The path that takes one forwarded request. */
  public static final String REQUEST_PATH = "/peer/request";

  /** The path that takes a batch of forwarded queries. */
  public static final String QUERIES_PATH = "/peer/queries";

  private static final String SUBMISSION = "SUBMIT";
  private static final String QUERY = "QUERY";
  private static final String CANCELLATION = "ABORT";

  /** The ticket of a decoded request, to which the receiver has not assigned one yet. */
  private static final long NO_TICKET = 0;

  private ForwardingCodec() {}

  /** Encodes a user request. */
  public static byte[] encodeRequest(Input request) {
    GenericRecord record = new GenericData.Record(PeerSchemas.REQUEST);
    if (request instanceof Input.Submit submission) {
      putKind(record, SUBMISSION, submission.job().uid());
      record.put("body", ByteBuffer.wrap(submission.body()));
    } else if (request instanceof Input.Query query) {
      putKind(record, QUERY, query.uid());
    } else if (request instanceof Input.Cancel cancellation) {
      putKind(record, CANCELLATION, cancellation.uid());
    }
    return AvroCodec.encode(record);
  }

  private static void putKind(GenericRecord record, String kind, String uid) {
    var kindSchema = PeerSchemas.REQUEST.getField("kind").schema();
    record.put("kind", new GenericData.EnumSymbol(kindSchema, kind));
    record.put("uid", uid);
  }

  /**
   * Decodes a user request.
   *
   * @throws MalformedMessageException if the message can't be decoded
   */
  public static Input decodeRequest(byte[] bytes) throws MalformedMessageException {
    GenericRecord record = AvroCodec.decode(PeerSchemas.REQUEST, bytes);
    String uid = record.get("uid").toString();
    return switch (record.get("kind").toString()) {
      case SUBMISSION -> decodeSubmission(record.get("body"));
      case QUERY -> new Input.Query(NO_TICKET, uid);
      default -> new Input.Cancel(NO_TICKET, uid);
    };
  }

  private static Input.Submit decodeSubmission(Object field) throws MalformedMessageException {
    if (!(field instanceof ByteBuffer buffer)) {
      throw new MalformedMessageException("a submission without a body");
    }
    byte[] body = new byte[buffer.remaining()];
    buffer.get(body);
    return new Input.Submit(NO_TICKET, UserCodec.decodeJob(body), body);
  }

  /** Encodes a batch of queries, each given by the id of its job. */
  public static byte[] encodeQueries(List<String> uids) {
    GenericRecord record = new GenericData.Record(PeerSchemas.QUERIES);
    record.put("uids", uids);
    return AvroCodec.encode(record);
  }

  /**
   * Decodes a batch of queries to the ids of their jobs.
   *
   * @throws MalformedMessageException if the message can't be decoded
   */
  public static ImmutableList<String> decodeQueries(byte[] bytes) throws MalformedMessageException {
    GenericRecord record = AvroCodec.decode(PeerSchemas.QUERIES, bytes);
    return AvroCodec.toStrings((List<?>) record.get("uids"));
  }

  /** Encodes the answers to a batch of queries, in the order of the queries. */
  public static byte[] encodeAnswers(List<UserResponse> answers) {
    GenericRecord record = new GenericData.Record(PeerSchemas.ANSWERS);
    record.put("answers", answers.stream().map(ForwardingCodec::toRecord).toList());
    return AvroCodec.encode(record);
  }

  /**
   * Decodes the answers to a batch of queries.
   *
   * @throws MalformedMessageException if the message can't be decoded
   */
  public static Reply decodeAnswers(byte[] bytes) throws MalformedMessageException {
    GenericRecord record = AvroCodec.decode(PeerSchemas.ANSWERS, bytes);
    ImmutableList.Builder<UserResponse> answers = ImmutableList.builder();
    for (Object answer : (List<?>) record.get("answers")) {
      answers.add(toResponse((GenericRecord) answer));
    }
    return new Reply.ForwardedResponses(answers.build());
  }

  /** Encodes the answer to one request. */
  public static byte[] encodeAnswer(UserResponse response) {
    return AvroCodec.encode(toRecord(response));
  }

  private static GenericRecord toRecord(UserResponse response) {
    GenericRecord record = new GenericData.Record(PeerSchemas.ANSWER);
    record.put("status", response.status());
    record.put("retryAfterS", response.retryAfterS());
    record.put("error", response.error());
    JobStatus job = response.job();
    record.put("uid", job == null ? null : job.uid());
    record.put("stance", job == null ? null : job.phase().name());
    record.put("done", job == null ? 0 : job.doneTasks());
    record.put("running", job == null ? 0 : job.runningTasks());
    return record;
  }

  /**
   * Decodes the answer to one request.
   *
   * @throws MalformedMessageException if the message can't be decoded
   */
  public static Reply decodeAnswer(byte[] bytes) throws MalformedMessageException {
    return new Reply.ForwardedResponse(toResponse(AvroCodec.decode(PeerSchemas.ANSWER, bytes)));
  }

  private static UserResponse toResponse(GenericRecord record) throws MalformedMessageException {
    Object error = record.get("error");
    return new UserResponse(
        (Integer) record.get("status"),
        toStatusOrNull(record),
        (Integer) record.get("retryAfterS"),
        error == null ? null : error.toString());
  }

  private static JobStatus toStatusOrNull(GenericRecord record) throws MalformedMessageException {
    if (record.get("uid") == null || record.get("stance") == null) {
      return null;
    }
    return new JobStatus(
        record.get("uid").toString(),
        toPhase(record.get("stance").toString()),
        (Integer) record.get("done"),
        (Integer) record.get("running"));
  }

  private static JobStatus.Phase toPhase(String name) throws MalformedMessageException {
    try {
      return JobStatus.Phase.valueOf(name);
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("unknown stance");
    }
  }
}
