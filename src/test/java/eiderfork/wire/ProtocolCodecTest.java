package eiderfork.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.CancellationGossip;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.MachineHint;
import eiderfork.controller.message.MachineHintBatch;
import eiderfork.controller.message.PeerStatus;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.message.UserResponse;
import eiderfork.model.Attempt;
import eiderfork.model.Heartbeat;
import eiderfork.model.Job;
import eiderfork.model.JobKind;
import eiderfork.model.JobStatus;
import eiderfork.model.StoredRecord;
import eiderfork.model.TaskId;
import eiderfork.model.TaskStatus;
import eiderfork.model.WorkerCommand;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the codecs with the message formats of the protocol. */
class ProtocolCodecTest {
  private static final String JOB =
      """
      {"Uid":"run-000412","Flock":"train","Crew":"vision","Guise":"array","Precedence":"high",
      "Hatchlings":16,"Cpus":8.0,"Gpus":1.0,"RamGb":64.0,"Plumage":"img-07","ImageGb":6.2,
      "Breeds":["g8"],"Shore":null,"Together":true,"Scatter":false,"Driftwood":true,
      "ReckonS":240.0,"MoultS":30.0,"StowS":4.0,"DueS":900.0,"Unheard":{"of":1}}""";

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  @Test
  void decodesJobAndIgnoresUnknownFields() throws MalformedMessageException {
    Job job = UserCodec.decodeJob(bytes(JOB));
    assertEquals("run-000412", job.uid());
    assertEquals(JobKind.ARRAY, job.kind());
    assertEquals(16, job.tasks());
    assertTrue(job.singleZone() && job.spotAllowed() && !job.spreadZones());
    assertNull(job.requiredZone());
    assertEquals(900.0, job.deadlineS());
  }

  @Test
  void storedJobEqualsSubmittedJob() throws MalformedMessageException {
    Job job = UserCodec.decodeJob(bytes(JOB));
    StoredRecord read =
        StoredRecordCodec.fromJson(
            "job/run-000412", StoredRecordCodec.toJson(new StoredRecord.JobSpec(job)));
    assertEquals(new StoredRecord.JobSpec(job), read);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"Uid\":\"run-000412\"|\"Uid\":\"job-1\"",
        "\"Hatchlings\":16|\"Hatchlings\":0",
        "\"Hatchlings\":16|\"Hatchlings\":100001",
        "\"Hatchlings\":16|\"Hatchlings\":1.5",
        "\"Cpus\":8.0|\"Cpus\":-1",
        "\"Cpus\":8.0|\"Cpus\":\"8\"",
        "\"Guise\":\"array\"|\"Guise\":\"heap\"",
        "\"Together\":true|\"Together\":null",
        "\"Crew\":\"vision\",|",
        "\"Breeds\":[\"g8\"]|\"Breeds\":\"g8\"",
        "{\"Uid\"|[{\"Uid\"",
        "\"DueS\":900.0|\"DueS\":[]",
        "\"DueS\":900.0|\"DueS\":\"soon\"",
        "\"DueS\":900.0|\"DueS\":-1"
      })
  void rejectsJobWithMissingOrInvalidField(String change) {
    String[] parts = change.split("\\|", 2);
    String broken = JOB.replace(parts[0], parts[1]);
    assertThrows(MalformedMessageException.class, () -> UserCodec.decodeJob(bytes(broken)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"\"DueS\":null,", ""})
  void jobWithoutDeadlineHasNone(String replacement) throws MalformedMessageException {
    Job job = UserCodec.decodeJob(bytes(JOB.replace("\"DueS\":900.0,", replacement)));
    assertNull(job.deadlineS());
  }

  @Test
  void decodesHeartbeat() throws MalformedMessageException {
    Heartbeat heartbeat =
        WorkerCodec.decodeHeartbeat(
            bytes(
                """
                {"Roost":"n-000231","Addr":"10.1.0.232:9000","Breed":"g8","Shore":"a",
                "Driftwood":true,"Tenure":1,"Tally":88,"Warrant":41,"WarningS":null,
                "Hatchlings":[{"Hatchling":"run-000412/3","Try":2,"Stance":"running"},
                {"Hatchling":"run-000398/0","Try":1,"Stance":"ended","Cause":"done"}]}"""));
    assertEquals(88, heartbeat.sequenceNumber());
    assertEquals(41, heartbeat.fencingToken());
    assertNull(heartbeat.terminationNoticeS());
    assertEquals(new Attempt(new TaskId("run-000412", 3), 2), heartbeat.tasks().get(0).attempt());
    assertEquals(TaskStatus.Cause.DONE, heartbeat.tasks().get(1).cause());
  }

  /** Ignoring a task in a state of a later version would start the task a second time. */
  @Test
  void taskInUnknownStateStillOccupiesItsMachine() throws MalformedMessageException {
    Heartbeat heartbeat =
        WorkerCodec.decodeHeartbeat(
            bytes(
                """
                {"Roost":"n-000231","Addr":"10.1.0.232:9000","Breed":"g8","Shore":"a",
                "Driftwood":true,"Tenure":1,"Tally":88,"Warrant":41,
                "Hatchlings":[{"Hatchling":"run-000412/3","Try":2,"Stance":"dreaming"},
                {"Hatchling":"run-000398/0","Try":1,"Stance":"ended","Cause":"bored"}]}"""));
    assertEquals(TaskStatus.State.OTHER, heartbeat.tasks().get(0).state());
    assertEquals(TaskStatus.Cause.STOPPED, heartbeat.tasks().get(1).cause());
  }

  @Test
  void rejectsHeartbeatWithInvalidTaskId() {
    assertThrows(
        MalformedMessageException.class,
        () ->
            WorkerCodec.decodeHeartbeat(
                bytes(
                    """
                    {"Roost":"n-1","Addr":"a:1","Breed":"g8","Shore":"a","Driftwood":true,
                    "Tenure":1,"Tally":8,"Warrant":4,"Hatchlings":[{"Hatchling":"x"}]}""")));
  }

  @Test
  void encodesCommandsAsInTheProtocol() {
    byte[] body =
        WorkerCodec.encodeHeartbeatResponse(
            41,
            ImmutableList.of(
                new WorkerCommand.Run(new Attempt(new TaskId("run-000412", 4), 2)),
                new WorkerCommand.Kill(new Attempt(new TaskId("run-000377", 1), 1), 10),
                new WorkerCommand.Clear(new Attempt(new TaskId("run-000398", 0), 1))));
    assertEquals(
        "{\"Warrant\":41,\"Calls\":["
            + "{\"Call\":\"run\",\"Hatchling\":\"run-000412/4\",\"Try\":2},"
            + "{\"Call\":\"kill\",\"Hatchling\":\"run-000377/1\",\"Try\":1,\"RespiteS\":10.0},"
            + "{\"Call\":\"clear\",\"Hatchling\":\"run-000398/0\",\"Try\":1}]}",
        text(body));
  }

  @Test
  void encodesJobStatusForUsers() {
    JobStatus job = new JobStatus("run-000412", JobStatus.Phase.RUNNING, 3, 13);
    assertEquals(
        "{\"Uid\":\"run-000412\",\"Stance\":\"running\",\"done\":3,\"running\":13}",
        text(UserCodec.encodeAnswer(new UserResponse(200, job, 0, null))));
  }

  @Test
  void decodesStoreReplies() throws MalformedMessageException {
    assertEquals(
        new Reply.Conflict(ImmutableList.of("a/b")),
        StoreCodec.decodeReply(
            new StoreRequest.Transaction(ImmutableList.of(), ImmutableList.of()),
            409,
            bytes("{\"failed\":[\"a/b\"],\"Ledger\":431}")));
    assertEquals(
        new Reply.Value(null, 0),
        StoreCodec.decodeReply(new StoreRequest.Get("term"), 404, bytes("{\"Ledger\":431}")));
    assertEquals(
        new Reply.Refused(503),
        StoreCodec.decodeReply(new StoreRequest.Get("term"), 503, bytes("{}")));
    Reply.Changes changes =
        (Reply.Changes)
            StoreCodec.decodeReply(
                new StoreRequest.Watch("leader", 431, 0),
                200,
                bytes(
                    """
                    {"Ledger":433,"Log":[{"Write":"leader","V":{"node":"roost-1","term":4},
                    "Stamp":433},{"Drop":"leader","Stamp":432}]}"""));
    assertEquals(new StoredRecord.Leadership("roost-1", 4), changes.items().get(0).record());
    assertNull(changes.items().get(1).record());
  }

  @Test
  void notFoundWithoutRevisionIsNotAMissingKey() {
    assertThrows(
        MalformedMessageException.class,
        () ->
            StoreCodec.decodeReply(
                new StoreRequest.Get("job/run-1"), 404, bytes("{\"error\":\"?\"}")));
  }

  @Test
  void plainAllocationRoundTrips() throws MalformedMessageException {
    StoredRecord.Allocation allocation =
        new StoredRecord.Allocation(
            7,
            false,
            ImmutableList.of(
                new StoredRecord.ReservedRange(0, 3, 1, "n-1"),
                new StoredRecord.ReservedRange(4, 4, 7, "n-2"),
                new StoredRecord.ReservedRange(9, 12, 2, "n-1")),
            ImmutableList.of(new StoredRecord.TaskRange(5, 8)));
    assertEquals(
        allocation,
        StoredRecordCodec.fromJson("alloc/run-1", StoredRecordCodec.toJson(allocation)));
  }

  @Test
  void decodesLegacyAllocations() throws MalformedMessageException {
    StoredRecord.Allocation allocation =
        new StoredRecord.Allocation(
            7,
            false,
            ImmutableList.of(
                new StoredRecord.ReservedRange(0, 3, 1, "n-1"),
                new StoredRecord.ReservedRange(4, 4, 7, "n-2")),
            ImmutableList.of(new StoredRecord.TaskRange(5, 8)));
    String stored = "{\"last\":7,\"on\":{\"n-1\":[0,3,1],\"n-2\":[4,4,7]},\"finished\":[5,8]}";
    assertEquals(
        allocation, StoredRecordCodec.fromJson("alloc/run-1", JsonReader.parse(bytes(stored))));
  }

  @Test
  void distinguishesNoCapacityFromOtherErrors() throws MalformedMessageException {
    assertEquals(
        new Reply.NoCapacity(),
        CloudCodec.decodeRentReply(503, bytes("{\"error\":\"no capacity\"}")));
    assertEquals(
        new Reply.Refused(503), CloudCodec.decodeRentReply(503, bytes("{\"error\":\"trouble\"}")));
  }

  @Test
  void statusOfTheFirstVersionHasNoGossip() throws MalformedMessageException {
    PeerStatus status = new PeerStatus("roost-1", 4, true, 12, 56, 1, CancellationGossip.NONE);
    byte[] firstVersion = {14, 'r', 'o', 'o', 's', 't', '-', '1', 8, 1, 24, 112};
    assertEquals(status, PeerStatusCodec.decodeStatus(firstVersion));
    assertThrows(
        MalformedMessageException.class,
        () -> PeerStatusCodec.decodeStatus(Arrays.copyOf(firstVersion, 11)));
  }

  /**
   * Guards against rejected forwards: the longest submission with the longest job id exceeded the
   * size limit of a request once it was wrapped for forwarding.
   */
  @Test
  void forwardedSubmissionsFitARequest() throws MalformedMessageException {
    String longestId = JOB.replaceFirst("run-[0-9]+", "run-" + "9".repeat(18));
    String padded =
        longestId + " ".repeat(Effect.ForwardRequest.MAX_BODY_BYTES - longestId.length());
    Input.Submit submit = new Input.Submit(9, UserCodec.decodeJob(bytes(padded)), bytes(padded));
    int length = ForwardingCodec.encodeRequest(submit).length;
    assertTrue(length <= 64 * 1024, length + " bytes");
  }

  @Test
  void peerMessagesRoundTrip() throws MalformedMessageException {
    CancellationGossip gossip =
        new CancellationGossip(77, 9000, 3, ImmutableList.of("run-1", "run-2"), true, 78, 12);
    PeerStatus status = new PeerStatus("roost-1", 4, true, 12, 56, 2, gossip);
    assertEquals(status, PeerStatusCodec.decodeStatus(PeerStatusCodec.encodeStatus(status)));
    Input.Submit submit =
        (Input.Submit)
            ForwardingCodec.decodeRequest(
                ForwardingCodec.encodeRequest(
                    new Input.Submit(9, UserCodec.decodeJob(bytes(JOB)), bytes(JOB))));
    assertEquals(UserCodec.decodeJob(bytes(JOB)), submit.job());
    JobStatus job = new JobStatus("run-1", JobStatus.Phase.DONE, 4, 0);
    UserResponse response = new UserResponse(200, job, 0, null);
    assertEquals(
        new Reply.ForwardedResponse(response),
        ForwardingCodec.decodeAnswer(ForwardingCodec.encodeAnswer(response)));
    assertEquals(
        new Reply.ForwardedResponses(ImmutableList.of(response, response)),
        ForwardingCodec.decodeAnswers(ForwardingCodec.encodeAnswers(List.of(response, response))));
    assertEquals(
        List.of("run-1", "run-2"),
        ForwardingCodec.decodeQueries(ForwardingCodec.encodeQueries(List.of("run-1", "run-2"))));
    assertThrows(
        MalformedMessageException.class, () -> ForwardingCodec.decodeQueries(new byte[] {9, 2, 3}));
    assertThrows(
        MalformedMessageException.class, () -> ForwardingCodec.decodeRequest(new byte[] {1, 2, 3}));
  }

  @Test
  void hintsRoundTrip() throws MalformedMessageException {
    MachineHintBatch batch =
        new MachineHintBatch(
            7,
            12,
            ImmutableList.of(
                new MachineHint(
                    "n-1", ImmutableList.of(new MachineHint.ImageHint("img", 72.5, 900))),
                new MachineHint("n-2", ImmutableList.of())));
    assertEquals(batch, MachineHintCodec.decodeHints(MachineHintCodec.encodeHints(batch)));
    assertThrows(
        MalformedMessageException.class,
        () -> MachineHintCodec.decodeHints(new byte[] {1, 2, 3, 4, 5}));
  }
}
