package eiderfork.net;

import eiderfork.core.message.Effect;

/** Traces takeovers where the operators' settings name a file for that; does nothing elsewhere. */
interface TakeoverTracer extends AutoCloseable {
  /** The tracer of a node that traces nothing. */
  TakeoverTracer NONE =
      new TakeoverTracer() {
        @Override
        public void trace(Effect.TookOver takeover) {}

        @Override
        public void close() {}
      };

  /**
   * A tracer to this file.
   *
   * @param file null for nowhere; no class of the tracing library is loaded then
   */
  static TakeoverTracer of(String node, String file) {
    return file == null ? NONE : new SpanTracer(node, file);
  }

  /** Traces a takeover with its phases. */
  void trace(Effect.TookOver takeover);

  @Override
  void close();
}
