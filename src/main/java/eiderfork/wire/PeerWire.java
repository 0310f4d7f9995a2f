package eiderfork.wire;

import com.google.common.collect.ImmutableList;
import eiderfork.core.Input;
import eiderfork.core.PeerView;
import eiderfork.core.Reply;
import eiderfork.core.UserAnswer;
import eiderfork.model.JobStatus;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericDatumWriter;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.DecoderFactory;
import org.apache.avro.io.EncoderFactory;

/** What the nodes exchange with each other, in Avro. */
public final class PeerWire {
  public static final String PING = "/peer/ping";
  public static final String REQUEST = "/peer/request";
  public static final String QUERIES = "/peer/queries";

  private static final String SCHEMAS = "peer.avpr.json";
  private static final Schema UNION = load();
  private static final Schema VIEW = UNION.getTypes().get(0);
  private static final Schema ASKED = UNION.getTypes().get(1);
  private static final Schema ANSWER = UNION.getTypes().get(2);
  private static final Schema QUESTIONS = UNION.getTypes().get(3);
  private static final Schema ANSWERS = UNION.getTypes().get(4);

  private PeerWire() {}

  private static Schema load() {
    try (InputStream in = PeerWire.class.getResourceAsStream(SCHEMAS)) {
      return new Schema.Parser().parse(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  public static byte[] view(PeerView view) {
    GenericRecord record = new GenericData.Record(VIEW);
    record.put("node", view.node());
    record.put("term", view.term());
    record.put("leading", view.leading());
    record.put("stateAgeMs", view.stateAgeMs());
    record.put("machinesHeard", view.machinesHeard());
    return bytes(record);
  }

  public static PeerView view(byte[] bytes) throws BadMessage {
    GenericRecord record = read(VIEW, bytes);
    return new PeerView(
        record.get("node").toString(),
        (Long) record.get("term"),
        (Boolean) record.get("leading"),
        (Long) record.get("stateAgeMs"),
        (Integer) record.get("machinesHeard"));
  }

  public static byte[] request(Input request) {
    GenericRecord record = new GenericData.Record(ASKED);
    if (request instanceof Input.Submit it) {
      put(record, "SUBMIT", it.job().uid());
      record.put("body", ByteBuffer.wrap(it.body()));
    } else if (request instanceof Input.Query it) {
      put(record, "QUERY", it.uid());
    } else if (request instanceof Input.Abort it) {
      put(record, "ABORT", it.uid());
    }
    return bytes(record);
  }

  private static void put(GenericRecord record, String kind, String uid) {
    record.put("kind", new GenericData.EnumSymbol(ASKED.getField("kind").schema(), kind));
    record.put("uid", uid);
  }

  public static Input request(byte[] bytes) throws BadMessage {
    GenericRecord record = read(ASKED, bytes);
    String uid = record.get("uid").toString();
    switch (record.get("kind").toString()) {
      case "SUBMIT":
        if (!(record.get("body") instanceof ByteBuffer buffer)) {
          throw new BadMessage("a submission without a body");
        }
        byte[] body = new byte[buffer.remaining()];
        buffer.get(body);
        return new Input.Submit(0, UserWire.job(body), body);
      case "QUERY":
        return new Input.Query(0, uid);
      default:
        return new Input.Abort(0, uid);
    }
  }

  public static byte[] queries(List<String> uids) {
    GenericRecord record = new GenericData.Record(QUESTIONS);
    record.put("uids", uids);
    return bytes(record);
  }

  public static ImmutableList<String> queries(byte[] bytes) throws BadMessage {
    ImmutableList.Builder<String> uids = ImmutableList.builder();
    for (Object uid : (List<?>) read(QUESTIONS, bytes).get("uids")) {
      uids.add(uid.toString());
    }
    return uids.build();
  }

  public static byte[] answers(List<UserAnswer> answers) {
    GenericRecord record = new GenericData.Record(ANSWERS);
    record.put("answers", answers.stream().map(PeerWire::toRecord).toList());
    return bytes(record);
  }

  public static Reply answers(byte[] bytes) throws BadMessage {
    ImmutableList.Builder<UserAnswer> answers = ImmutableList.builder();
    for (Object answer : (List<?>) read(ANSWERS, bytes).get("answers")) {
      answers.add(fromRecord((GenericRecord) answer));
    }
    return new Reply.PeerAnsweredAll(answers.build());
  }

  public static byte[] answer(UserAnswer answer) {
    return bytes(toRecord(answer));
  }

  private static GenericRecord toRecord(UserAnswer answer) {
    GenericRecord record = new GenericData.Record(ANSWER);
    record.put("status", answer.status());
    record.put("retryAfterS", answer.retryAfterS());
    record.put("error", answer.error());
    JobStatus job = answer.job();
    record.put("uid", job == null ? null : job.uid());
    record.put("stance", job == null ? null : job.stance().name());
    record.put("done", job == null ? 0 : job.done());
    record.put("running", job == null ? 0 : job.running());
    return record;
  }

  public static Reply answer(byte[] bytes) throws BadMessage {
    return new Reply.PeerAnswered(fromRecord(read(ANSWER, bytes)));
  }

  private static UserAnswer fromRecord(GenericRecord record) throws BadMessage {
    JobStatus job = null;
    if (record.get("uid") != null && record.get("stance") != null) {
      try {
        job =
            new JobStatus(
                record.get("uid").toString(),
                JobStatus.Stance.valueOf(record.get("stance").toString()),
                (Integer) record.get("done"),
                (Integer) record.get("running"));
      } catch (IllegalArgumentException e) {
        throw new BadMessage("unknown stance");
      }
    }
    Object error = record.get("error");
    return new UserAnswer(
        (Integer) record.get("status"),
        job,
        (Integer) record.get("retryAfterS"),
        error == null ? null : error.toString());
  }

  private static byte[] bytes(GenericRecord record) {
    try {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      var encoder = EncoderFactory.get().directBinaryEncoder(out, null);
      new GenericDatumWriter<GenericRecord>(record.getSchema()).write(record, encoder);
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static GenericRecord read(Schema schema, byte[] bytes) throws BadMessage {
    try {
      var decoder = DecoderFactory.get().binaryDecoder(bytes, null);
      return new GenericDatumReader<GenericRecord>(schema).read(null, decoder);
    } catch (IOException | RuntimeException e) {
      // The decoder trusts lengths that it reads, and fails in many ways on bytes of something
      // else.
      throw new BadMessage("not a peer's message");
    }
  }
}
