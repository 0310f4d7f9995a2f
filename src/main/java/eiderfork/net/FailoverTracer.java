package eiderfork.net;

import eiderfork.controller.message.Effect;

/** Traces failovers, where the operators' settings name a file for that. */
interface FailoverTracer extends AutoCloseable {
  /** The tracer of a node that traces nothing. */
  FailoverTracer NONE =
      new FailoverTracer() {
        @Override
        public void trace(Effect.FailoverCompleted takeover) {}

        @Override
        public void close() {}
      };

  /**
   * A tracer to this file.
   *
   * @param file null for nowhere; no class of the tracing library is loaded then
   */
  static FailoverTracer of(String node, String file) {
    return file == null ? NONE : new FailoverSpanTracer(node, file);
  }

  /** Traces a failover with its phases. */
  void trace(Effect.FailoverCompleted takeover);

  @Override
  void close();
}
