package eiderfork.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.CancellationGossip;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.PeerStatus;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.UserResponse;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericDatumReader;
import org.apache.avro.generic.GenericRecord;
import org.apache.avro.io.DecoderFactory;
import org.junit.jupiter.api.Test;

/**
 * Tests compatibility with the version in production: during an upgrade both versions run side by
 * side, and each reads the records and messages of the other. Fixtures: {@code
 * production/README.md} among the test resources.
 */
class ProductionCompatibilityTest {
  private static final CancellationGossip GOSSIP =
      new CancellationGossip(77, 9000, 3, ImmutableList.of("run-1", "run-2"), true, 78, 12);

  private static String resource(String name) throws IOException {
    try (InputStream in =
        ProductionCompatibilityTest.class.getResourceAsStream("production/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static Map<String, String> readEntries(String name) throws IOException {
    Map<String, String> entries = new LinkedHashMap<>();
    for (String line : resource(name).lines().toList()) {
      int space = line.indexOf(' ');
      entries.put(line.substring(0, space), line.substring(space + 1));
    }
    return entries;
  }

  private static byte[] message(String kind) throws IOException {
    return HexFormat.of().parseHex(readEntries("peer.txt").get(kind));
  }

  private static StoredRecord stored(String key, String value) throws MalformedMessageException {
    return StoredRecordCodec.fromJson(
        key, JsonReader.parse(value.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void storedRecordsAreReadAndWrittenByteForByte() throws Exception {
    Map<String, String> records = readEntries("records.txt");
    assertEquals(12, records.size());
    for (Map.Entry<String, String> entry : records.entrySet()) {
      StoredRecord record = stored(entry.getKey(), entry.getValue());
      assertFalse(record instanceof StoredRecord.Unreadable, entry.getKey());
      String written =
          new String(JsonReader.toBytes(StoredRecordCodec.toJson(record)), StandardCharsets.UTF_8);
      assertEquals(entry.getValue(), written, entry.getKey());
    }
  }

  @Test
  void storedRecordsHaveTheSameMeaning() throws Exception {
    Map<String, String> records = readEntries("records.txt");
    StoredRecord.JobSpec gang =
        (StoredRecord.JobSpec) stored("job/run-000413", records.get("job/run-000413"));
    assertEquals(JobKind.GANG, gang.job().kind());
    assertTrue(gang.job().singleZone());
    assertEquals(
        new StoredRecord.Allocation(
            7,
            false,
            ImmutableList.of(
                new StoredRecord.ReservedRange(0, 3, 1, "n-000231"),
                new StoredRecord.ReservedRange(4, 4, 7, "n-000232"),
                new StoredRecord.ReservedRange(9, 12, 2, "n-000231")),
            ImmutableList.of(new StoredRecord.TaskRange(5, 8))),
        stored("alloc/run-000412", records.get("alloc/run-000412")));
    assertEquals(
        new StoredRecord.Leadership("roost-1", 4), stored("leader", records.get("leader")));
  }

  @Test
  void messagesAreDecoded() throws Exception {
    // A status without a version comes from the first version; its gossip is decoded all the same.
    assertEquals(
        new PeerStatus("roost-1", 4, true, 12, 56, 1, GOSSIP),
        PeerStatusCodec.decodeStatus(message("view")));
    Input.Submit submit = (Input.Submit) ForwardingCodec.decodeRequest(message("submit"));
    assertEquals("run-000412", submit.job().uid());
    assertEquals(new Input.Query(0, "run-000412"), ForwardingCodec.decodeRequest(message("query")));
    assertEquals(
        new Input.Cancel(0, "run-000412"), ForwardingCodec.decodeRequest(message("abort")));
    UserResponse ok =
        new UserResponse(200, new JobStatus("run-000412", JobStatus.Phase.RUNNING, 4, 3), 0, null);
    UserResponse unavailable =
        new UserResponse(503, null, 2, "the machine types are not known yet");
    assertEquals(new Reply.ForwardedResponse(ok), ForwardingCodec.decodeAnswer(message("answer")));
    assertEquals(
        List.of("run-000412", "run-000413"), ForwardingCodec.decodeQueries(message("queries")));
    assertEquals(
        new Reply.ForwardedResponses(ImmutableList.of(ok, unavailable)),
        ForwardingCodec.decodeAnswers(message("answers")));
  }

  @Test
  void requestsAndAnswersAreEncodedByteForByte() throws Exception {
    Input.Submit submit = (Input.Submit) ForwardingCodec.decodeRequest(message("submit"));
    assertEquals(hex(message("submit")), hex(ForwardingCodec.encodeRequest(submit)));
    assertEquals(
        hex(message("query")),
        hex(ForwardingCodec.encodeRequest(new Input.Query(0, "run-000412"))));
    assertEquals(
        hex(message("abort")),
        hex(ForwardingCodec.encodeRequest(new Input.Cancel(0, "run-000412"))));
    Reply.ForwardedResponses answers =
        (Reply.ForwardedResponses) ForwardingCodec.decodeAnswers(message("answers"));
    assertEquals(hex(message("answers")), hex(ForwardingCodec.encodeAnswers(answers.responses())));
    assertEquals(
        hex(message("answer")), hex(ForwardingCodec.encodeAnswer(answers.responses().get(0))));
    assertEquals(
        hex(message("queries")),
        hex(ForwardingCodec.encodeQueries(List.of("run-000412", "run-000413"))));
  }

  private static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  /** Production decodes a status with its own schema and ignores the fields that follow. */
  @Test
  void productionDecodesTheFieldsItKnowsOfThisStatus() throws Exception {
    Schema productionSchema =
        new Schema.Parser().parse(resource("peer.avpr.json")).getTypes().get(0);
    byte[] sent =
        PeerStatusCodec.encodeStatus(new PeerStatus("roost-1", 4, true, 12, 56, 2, GOSSIP));
    var decoder = DecoderFactory.get().binaryDecoder(sent, null);
    GenericRecord read =
        new GenericDatumReader<GenericRecord>(productionSchema, productionSchema)
            .read(null, decoder);
    assertEquals("roost-1", read.get("node").toString());
    assertEquals(4L, read.get("term"));
    assertEquals(true, read.get("leading"));
    assertEquals(12L, read.get("stateAgeMs"));
    assertEquals(56, read.get("machinesHeard"));
    GenericRecord news = (GenericRecord) read.get("news");
    assertEquals(77L, news.get("process"));
    assertEquals("[run-1, run-2]", news.get("uids").toString());
    assertEquals(true, news.get("complete"));
    assertEquals(12L, news.get("heardUpTo"));
  }

  /**
   * Production treats a record without the field {@code ended} as unreadable and freezes the job.
   * It must not mistake the packed encoding for one that it can read.
   */
  @Test
  void packedEncodingHasNoFieldThatProductionReads() throws Exception {
    Job job = ((Input.Submit) ForwardingCodec.decodeRequest(message("submit"))).job();
    StoredRecord.Allocation allocation =
        new StoredRecord.Allocation(
            1,
            false,
            ImmutableList.of(new StoredRecord.ReservedRange(0, 3, 1, "n-1")),
            ImmutableList.of());
    var node = StoredRecordCodec.toJson(new StoredRecord.PackedAllocation(allocation));
    assertEquals(1, node.size());
    for (String field : List.of("on", "by", "ended", "endedBits", "last")) {
      assertFalse(node.has(field), field);
    }
    assertEquals(allocation, StoredRecordCodec.fromJson("alloc/" + job.uid(), node));
  }
}
