package eiderfork.controller.cluster;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.store.StoreClient;

/**
 * Answers the load balancer's health checks. A node that neither the store nor any peer replies to
 * is cut off, and of no use to users.
 */
public final class HealthCheckHandler {
  /** How long ago the store may have served this node, in steps. */
  private static final int MAX_UNSERVED_STEPS = 2;

  private final ControllerContext context;
  private final StoreClient store;
  private final PeerMonitor peers;

  /** Makes a handler, which keeps no state. */
  public HealthCheckHandler(ControllerContext context, StoreClient store, PeerMonitor peers) {
    this.context = context;
    this.store = store;
    this.peers = peers;
  }

  /** Answers a health check with what this node can reach. */
  public void handle(Input.HealthCheck check) {
    boolean served = store.sinceServedMs() <= MAX_UNSERVED_STEPS * context.stepMs();
    if (served) {
      respond(check, true, "serving");
    } else if (peers.isAnyReachable()) {
      respond(check, true, "the state service is out");
    } else {
      respond(check, false, "cut off");
    }
  }

  private void respond(Input.HealthCheck check, boolean healthy, String reason) {
    context.emit(new Effect.RespondToHealthCheck(check.ticket(), healthy, reason));
  }
}
