package eiderfork.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Effect;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that failovers are written as spans in JSON Lines format. */
class FailoverTracerTest {
  private static final Effect.FailoverCompleted FAILOVER =
      new Effect.FailoverCompleted(
          5,
          ImmutableList.of(
              new Effect.FailoverPhase("election", 1000, 1030),
              new Effect.FailoverPhase("copy", 1030, 1050)));

  @TempDir private Path folder;

  @Test
  void eachPhaseIsAChildSpanOfTheFailover() throws Exception {
    Path file = folder.resolve("takeovers.jsonl");
    try (FailoverTracer tracer = FailoverTracer.of("roost-1", file.toString())) {
      tracer.trace(FAILOVER);
    }
    List<JsonNode> spans = new ArrayList<>();
    for (String line : Files.readAllLines(file)) {
      spans.add(new ObjectMapper().readTree(line));
    }
    assertEquals(
        List.of("election", "copy", "takeover"),
        spans.stream().map(span -> span.get("name").textValue()).toList());
    JsonNode rootSpan = spans.get(2);
    assertFalse(rootSpan.has("parent_span_id"));
    assertEquals(rootSpan.get("span_id"), spans.get(0).get("parent_span_id"));
    assertEquals(rootSpan.get("trace_id"), spans.get(1).get("trace_id"));
    assertEquals(50_000_000, durationNs(rootSpan));
    assertEquals(20_000_000, durationNs(spans.get(1)));
    assertEquals(5, rootSpan.get("attributes").get("term").asLong());
    assertEquals("roost-1", rootSpan.get("attributes").get("host.name").textValue());
  }

  private static long durationNs(JsonNode span) {
    return span.get("end_unix_nanos").asLong() - span.get("start_unix_nanos").asLong();
  }

  @Test
  void tracesNothingWithoutFile() {
    assertSame(FailoverTracer.NONE, FailoverTracer.of("roost-1", null));
  }

  /** A failure to write the trace must not stop the controller. */
  @Test
  void unwritableFileIsIgnored() {
    try (FailoverTracer tracer =
        FailoverTracer.of("roost-1", folder.resolve("none/takeovers.jsonl").toString())) {
      tracer.trace(FAILOVER);
    }
  }
}
