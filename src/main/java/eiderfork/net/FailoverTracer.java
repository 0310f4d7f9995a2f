package eiderfork.net;

import eiderfork.controller.message.Effect;

/** Traces takeovers where the operators' settings name a file for that; does nothing elsewhere. */
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

  /** Traces a takeover with its phases. */
  void trace(Effect.FailoverCompleted takeover);

  @Override
  void close();
}
