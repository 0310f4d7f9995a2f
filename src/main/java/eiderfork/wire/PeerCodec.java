package eiderfork.wire;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.CancellationGossip;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.MachineHint;
import eiderfork.controller.message.MachineHintBatch;
import eiderfork.controller.message.PeerStatus;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.UserResponse;
import eiderfork.model.JobStatus;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;

/** What the nodes exchange with each other, in Avro. */
public final class PeerCodec {
  /** Where peers exchange their views. */
  public static final String PING_PATH = "/peer/ping";

  /** Where a user's request is passed on. */
  public static final String REQUEST_PATH = "/peer/request";

  /** Where several queries are passed on together. */
  public static final String QUERIES_PATH = "/peer/queries";

  /** Where a leader tells a standby what is not committed. */
  public static final String HINTS_PATH = "/peer/hints";

  private static final String SCHEMA_RESOURCE = "peer.avpr.json";
  private static final Schema UNION_SCHEMA = AvroCodec.loadSchema(SCHEMA_RESOURCE);
  private static final Schema VIEW_SCHEMA = UNION_SCHEMA.getTypes().get(0);

  /** The forms that a view has had, the newest first: each version added a field at the end. */
  private static final ImmutableList<Schema> VIEW_SCHEMA_VERSIONS = schemaVersions(VIEW_SCHEMA);

  private static final Schema NEWS_SCHEMA = VIEW_SCHEMA.getField("news").schema().getTypes().get(1);
  private static final Schema REQUEST_SCHEMA = UNION_SCHEMA.getTypes().get(1);
  private static final Schema ANSWER_SCHEMA = UNION_SCHEMA.getTypes().get(2);
  private static final Schema QUERIES_SCHEMA = UNION_SCHEMA.getTypes().get(3);
  private static final Schema ANSWERS_SCHEMA = UNION_SCHEMA.getTypes().get(4);

  private static final Schema HINT_MESSAGE_SCHEMA = UNION_SCHEMA.getTypes().get(5);
  private static final Schema MACHINE_HINT_SCHEMA =
      HINT_MESSAGE_SCHEMA.getField("machines").schema().getElementType();
  private static final Schema IMAGE_HINT_SCHEMA =
      MACHINE_HINT_SCHEMA.getField("images").schema().getElementType();

  private PeerCodec() {}

  /** A record's schema, and what it was before each field that came later and has a default. */
  private static ImmutableList<Schema> schemaVersions(Schema schema) {
    ImmutableList.Builder<Schema> forms = ImmutableList.builder();
    int fields = schema.getFields().size();
    forms.add(schema);
    while (schema.getFields().get(fields - 1).hasDefaultValue()) {
      fields--;
      forms.add(firstFields(schema, fields));
    }
    return forms.build();
  }

  private static Schema firstFields(Schema schema, int count) {
    List<Schema.Field> fields =
        schema.getFields().stream()
            .limit(count)
            .map(field -> new Schema.Field(field.name(), field.schema()))
            .toList();
    return Schema.createRecord(
        schema.getName(), null, schema.getNamespace(), schema.isError(), fields);
  }

  /** Writes a node's view. */
  public static byte[] encodeStatus(PeerStatus status) {
    GenericRecord record = new GenericData.Record(VIEW_SCHEMA);
    record.put("node", status.node());
    record.put("term", status.term());
    record.put("leading", status.leading());
    record.put("stateAgeMs", status.storeAgeMs());
    record.put("machinesHeard", status.reportingMachines());
    record.put("news", news(status.cancellations()));
    record.put("version", status.version());
    return AvroCodec.encode(record);
  }

  private static GenericRecord news(CancellationGossip gossip) {
    GenericRecord record = new GenericData.Record(NEWS_SCHEMA);
    record.put("process", gossip.processId());
    record.put("upMs", gossip.uptimeMs());
    record.put("after", gossip.afterNumber());
    record.put("uids", gossip.uids());
    record.put("complete", gossip.complete());
    record.put("heardProcess", gossip.acknowledgedProcessId());
    record.put("heardUpTo", gossip.acknowledgedNumber());
    return record;
  }

  private static CancellationGossip news(Object field) {
    if (!(field instanceof GenericRecord record)) {
      return CancellationGossip.NONE;
    }
    return new CancellationGossip(
        (Long) record.get("process"),
        (Long) record.get("upMs"),
        (Long) record.get("after"),
        strings((List<?>) record.get("uids")),
        (Boolean) record.get("complete"),
        (Long) record.get("heardProcess"),
        (Long) record.get("heardUpTo"));
  }

  private static ImmutableList<String> strings(List<?> list) {
    return list.stream().map(Object::toString).collect(ImmutableList.toImmutableList());
  }

  /**
   * Reads a node's view, also from a process with older schemas.
   *
   * @throws MalformedMessageException where it can't be read
   */
  public static PeerStatus decodeStatus(byte[] bytes) throws MalformedMessageException {
    GenericRecord record = decodeViewOfAnyVersion(bytes);
    return new PeerStatus(
        record.get("node").toString(),
        (Long) record.get("term"),
        (Boolean) record.get("leading"),
        (Long) record.get("stateAgeMs"),
        (Integer) record.get("machinesHeard"),
        (Integer) record.get("version"),
        news(record.get("news")));
  }

  /** Writes a user's request that is passed on. */
  public static byte[] encodeRequest(Input request) {
    GenericRecord record = new GenericData.Record(REQUEST_SCHEMA);
    if (request instanceof Input.Submit it) {
      putKind(record, "SUBMIT", it.job().uid());
      record.put("body", ByteBuffer.wrap(it.body()));
    } else if (request instanceof Input.Query it) {
      putKind(record, "QUERY", it.uid());
    } else if (request instanceof Input.Abort it) {
      putKind(record, "ABORT", it.uid());
    }
    return AvroCodec.encode(record);
  }

  private static void putKind(GenericRecord record, String kind, String uid) {
    record.put("kind", new GenericData.EnumSymbol(REQUEST_SCHEMA.getField("kind").schema(), kind));
    record.put("uid", uid);
  }

  /**
   * Reads a user's request that a peer passed on.
   *
   * @throws MalformedMessageException where it can't be read
   */
  public static Input decodeRequest(byte[] bytes) throws MalformedMessageException {
    GenericRecord record = decode(REQUEST_SCHEMA, bytes);
    String uid = record.get("uid").toString();
    switch (record.get("kind").toString()) {
      case "SUBMIT":
        if (!(record.get("body") instanceof ByteBuffer buffer)) {
          throw new MalformedMessageException("a submission without a body");
        }
        byte[] body = new byte[buffer.remaining()];
        buffer.get(body);
        return new Input.Submit(0, UserCodec.decodeJob(body), body);
      case "QUERY":
        return new Input.Query(0, uid);
      default:
        return new Input.Abort(0, uid);
    }
  }

  /** Writes the ids of jobs that are asked for together. */
  public static byte[] encodeQueries(List<String> uids) {
    GenericRecord record = new GenericData.Record(QUERIES_SCHEMA);
    record.put("uids", uids);
    return AvroCodec.encode(record);
  }

  /**
   * Reads the ids of jobs that are asked for together.
   *
   * @throws MalformedMessageException where they can't be read
   */
  public static ImmutableList<String> decodeQueries(byte[] bytes) throws MalformedMessageException {
    return strings((List<?>) decode(QUERIES_SCHEMA, bytes).get("uids"));
  }

  /** Writes the answers to queries, in the order of the queries. */
  public static byte[] encodeAnswers(List<UserResponse> answers) {
    GenericRecord record = new GenericData.Record(ANSWERS_SCHEMA);
    record.put("answers", answers.stream().map(PeerCodec::toRecord).toList());
    return AvroCodec.encode(record);
  }

  /**
   * Reads the answers to queries.
   *
   * @throws MalformedMessageException where they can't be read
   */
  public static Reply decodeAnswers(byte[] bytes) throws MalformedMessageException {
    ImmutableList.Builder<UserResponse> answers = ImmutableList.builder();
    for (Object answer : (List<?>) decode(ANSWERS_SCHEMA, bytes).get("answers")) {
      answers.add(fromRecord((GenericRecord) answer));
    }
    return new Reply.ForwardedResponses(answers.build());
  }

  /** Writes the answer to a request that was passed on. */
  public static byte[] encodeAnswer(UserResponse response) {
    return AvroCodec.encode(toRecord(response));
  }

  private static GenericRecord toRecord(UserResponse response) {
    GenericRecord record = new GenericData.Record(ANSWER_SCHEMA);
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
   * Reads the answer to a request that was passed on.
   *
   * @throws MalformedMessageException where it can't be read
   */
  public static Reply decodeAnswer(byte[] bytes) throws MalformedMessageException {
    return new Reply.ForwardedResponse(fromRecord(decode(ANSWER_SCHEMA, bytes)));
  }

  private static UserResponse fromRecord(GenericRecord record) throws MalformedMessageException {
    JobStatus job = null;
    if (record.get("uid") != null && record.get("stance") != null) {
      try {
        job =
            new JobStatus(
                record.get("uid").toString(),
                JobStatus.Phase.valueOf(record.get("stance").toString()),
                (Integer) record.get("done"),
                (Integer) record.get("running"));
      } catch (IllegalArgumentException e) {
        throw new MalformedMessageException("unknown stance");
      }
    }
    Object error = record.get("error");
    return new UserResponse(
        (Integer) record.get("status"),
        job,
        (Integer) record.get("retryAfterS"),
        error == null ? null : error.toString());
  }

  /** Writes hints for a standby. */
  public static byte[] encodeHints(MachineHintBatch batch) {
    GenericRecord record = new GenericData.Record(HINT_MESSAGE_SCHEMA);
    record.put("term", batch.term());
    record.put("number", batch.sequence());
    record.put("machines", batch.machines().stream().map(PeerCodec::toRecord).toList());
    return AvroCodec.encode(record);
  }

  private static GenericRecord toRecord(MachineHint hint) {
    GenericRecord record = new GenericData.Record(MACHINE_HINT_SCHEMA);
    record.put("machine", hint.machine());
    record.put("images", hint.images().stream().map(PeerCodec::toRecord).toList());
    return record;
  }

  private static GenericRecord toRecord(MachineHint.ImageHint image) {
    GenericRecord record = new GenericData.Record(IMAGE_HINT_SCHEMA);
    record.put("image", image.image());
    record.put("gb", image.sizeGb());
    record.put("readyInMs", image.readyInMs());
    return record;
  }

  /**
   * Reads hints for a standby.
   *
   * @throws MalformedMessageException where they can't be read
   */
  public static MachineHintBatch decodeHints(byte[] bytes) throws MalformedMessageException {
    GenericRecord record = decode(HINT_MESSAGE_SCHEMA, bytes);
    ImmutableList.Builder<MachineHint> machines = ImmutableList.builder();
    for (Object machine : (List<?>) record.get("machines")) {
      machines.add(machineHint((GenericRecord) machine));
    }
    return new MachineHintBatch(
        (Long) record.get("term"), (Long) record.get("number"), machines.build());
  }

  private static MachineHint machineHint(GenericRecord record) {
    ImmutableList.Builder<MachineHint.ImageHint> images = ImmutableList.builder();
    for (Object each : (List<?>) record.get("images")) {
      GenericRecord image = (GenericRecord) each;
      images.add(
          new MachineHint.ImageHint(
              image.get("image").toString(),
              (Double) image.get("gb"),
              (Long) image.get("readyInMs")));
    }
    return new MachineHint(record.get("machine").toString(), images.build());
  }

  /** A peer of an earlier version ends after the fields that there were then. */
  private static GenericRecord decodeViewOfAnyVersion(byte[] bytes)
      throws MalformedMessageException {
    MalformedMessageException newest = null;
    for (Schema form : VIEW_SCHEMA_VERSIONS) {
      try {
        return AvroCodec.decode(form, VIEW_SCHEMA, bytes);
      } catch (MalformedMessageException e) {
        newest = newest == null ? e : newest;
      }
    }
    throw newest;
  }

  private static GenericRecord decode(Schema schema, byte[] bytes)
      throws MalformedMessageException {
    return AvroCodec.decode(schema, schema, bytes);
  }
}
