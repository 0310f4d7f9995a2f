package eiderfork.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Collection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Appends spans to a file in JSON Lines format. */
final class JsonLinesSpanExporter implements SpanExporter {
  private static final Logger LOG = LoggerFactory.getLogger(JsonLinesSpanExporter.class);

  private final ObjectMapper mapper = new ObjectMapper();
  private final Path file;

  JsonLinesSpanExporter(Path file) {
    this.file = file;
  }

  @Override
  public CompletableResultCode export(Collection<SpanData> spans) {
    StringBuilder lines = new StringBuilder();
    spans.forEach(span -> lines.append(toJson(span)).append('\n'));
    try {
      Files.write(
          file,
          lines.toString().getBytes(StandardCharsets.UTF_8),
          StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
      return CompletableResultCode.ofSuccess();
    } catch (IOException e) {
      // A failed trace must not stop the controller.
      LOG.warn("trace-write-failed file={} cause=\"{}\"", file, e.toString());
      return CompletableResultCode.ofFailure();
    }
  }

  private ObjectNode toJson(SpanData span) {
    ObjectNode node = mapper.createObjectNode();
    node.put("trace_id", span.getTraceId());
    node.put("span_id", span.getSpanId());
    if (span.getParentSpanContext().isValid()) {
      node.put("parent_span_id", span.getParentSpanId());
    }
    node.put("name", span.getName());
    node.put("start_unix_nanos", span.getStartEpochNanos());
    node.put("end_unix_nanos", span.getEndEpochNanos());
    ObjectNode attributes = node.putObject("attributes");
    span.getResource()
        .getAttributes()
        .forEach((key, value) -> attributes.putPOJO(key.getKey(), value));
    span.getAttributes().forEach((key, value) -> attributes.putPOJO(key.getKey(), value));
    return node;
  }

  @Override
  public CompletableResultCode flush() {
    return CompletableResultCode.ofSuccess();
  }

  @Override
  public CompletableResultCode shutdown() {
    return CompletableResultCode.ofSuccess();
  }
}
