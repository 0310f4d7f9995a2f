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

/** Traces failovers as spans: one for the whole, with a child span for each phase. */
final class FailoverSpanTracer implements FailoverTracer {
  private static final String NAME = "eiderfork";

  private final SdkTracerProvider provider;
  private final Tracer tracer;

  FailoverSpanTracer(String node, String file) {
    provider =
        SdkTracerProvider.builder()
            .setResource(Resource.create(Attributes.of(AttributeKey.stringKey("host.name"), node)))
            .addSpanProcessor(SimpleSpanProcessor.create(new JsonLinesSpanExporter(Path.of(file))))
            .build();
    tracer = provider.get(NAME);
  }

  @Override
  public void trace(Effect.FailoverCompleted takeover) {
    List<Effect.FailoverPhase> phases = takeover.phases();
    // Phases are in steady time, spans in wall-clock time.
    long offsetMs = System.currentTimeMillis() - System.nanoTime() / 1_000_000;
    Span whole =
        tracer
            .spanBuilder("takeover")
            .setNoParent()
            .setAttribute("term", takeover.term())
            .setStartTimestamp(offsetMs + phases.get(0).fromMs(), TimeUnit.MILLISECONDS)
            .startSpan();
    for (Effect.FailoverPhase phase : phases) {
      tracer
          .spanBuilder(phase.name())
          .setParent(Context.root().with(whole))
          .setStartTimestamp(offsetMs + phase.fromMs(), TimeUnit.MILLISECONDS)
          .startSpan()
          .end(offsetMs + phase.toMs(), TimeUnit.MILLISECONDS);
    }
    whole.end(offsetMs + phases.get(phases.size() - 1).toMs(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    provider.close();
  }
}
