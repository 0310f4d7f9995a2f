package eiderfork.net;

import eiderfork.controller.message.Effect;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Records each failover as a root span with a child span for each phase. */
final class FailoverSpanTracer implements FailoverTracer {
  private static final String INSTRUMENTATION_NAME = "eiderfork";

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  FailoverSpanTracer(String nodeName, String file) {
    provider =
        SdkTracerProvider.builder()
            .setResource(
                Resource.create(Attributes.of(AttributeKey.stringKey("host.name"), nodeName)))
            .addSpanProcessor(SimpleSpanProcessor.create(new JsonLinesSpanExporter(Path.of(file))))
            .build();
    tracer = provider.get(INSTRUMENTATION_NAME);
  }

  @Override
  public void trace(Effect.FailoverCompleted failover) {
    List<Effect.FailoverPhase> phases = failover.phases();
    // Phases have monotonic timestamps, spans need wall-clock timestamps.
    long wallClockOffsetMs = System.currentTimeMillis() - System.nanoTime() / 1_000_000;
    Span rootSpan =
        tracer
            .spanBuilder("takeover")
            .setNoParent()
            .setAttribute("term", failover.term())
            .setStartTimestamp(wallClockOffsetMs + phases.get(0).fromMs(), TimeUnit.MILLISECONDS)
            .startSpan();
    for (Effect.FailoverPhase phase : phases) {
      tracer
          .spanBuilder(phase.name())
          .setParent(Context.root().with(rootSpan))
          .setStartTimestamp(wallClockOffsetMs + phase.fromMs(), TimeUnit.MILLISECONDS)
          .startSpan()
          .end(wallClockOffsetMs + phase.toMs(), TimeUnit.MILLISECONDS);
    }
    rootSpan.end(wallClockOffsetMs + phases.get(phases.size() - 1).toMs(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    provider.close();
  }
}
