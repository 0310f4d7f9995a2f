package eiderfork.net;

import eiderfork.controller.message.Effect;

/** Traces failovers to a file, if the operators' settings configure one. */
interface FailoverTracer extends AutoCloseable {
  /** Tracer that discards everything. */
  FailoverTracer NONE =
      new FailoverTracer() {
        @Override
        public void trace(Effect.FailoverCompleted failover) {}

        @Override
        public void close() {}
      };

  /**
   * Returns a tracer that appends to the file.
   *
   * @param file null to disable tracing; no class of the tracing library is loaded then
   */
  static FailoverTracer of(String nodeName, String file) {
    return file == null ? NONE : new FailoverSpanTracer(nodeName, file);
  }

  /** Records a completed failover with its phases. */
  void trace(Effect.FailoverCompleted failover);

  @Override
  void close();
}
