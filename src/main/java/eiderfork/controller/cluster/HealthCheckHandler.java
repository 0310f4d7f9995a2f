package eiderfork.controller.cluster;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.store.StoreClient;

/**
 * Responds to the load balancer's health checks. A node that gets replies neither from the store
 * nor from any peer is isolated and can't serve users, so it reports itself as unhealthy.
 */
public final class HealthCheckHandler {
  /** The maximum time since the store last served this node, in steps. */
  private static final int MAX_UNSERVED_STEPS = 2;

  private final ControllerContext context;
  private final StoreClient store;
  private final PeerMonitor peers;

  /** Creates a handler, which keeps no state of its own. */
  public HealthCheckHandler(ControllerContext context, StoreClient store, PeerMonitor peers) {
    this.context = context;
    this.store = store;
    this.peers = peers;
  }

  /** Responds to a health check according to whether the store and peers are reachable. */
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
