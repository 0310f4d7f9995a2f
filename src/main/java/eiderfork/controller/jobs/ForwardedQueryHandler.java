package eiderfork.controller.jobs;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.UserResponse;

/** Handles the queries that a peer forwards in one request, with one response to all of them. */
public final class ForwardedQueryHandler {
  /** The ticket of a single query; only the request has one, since it gets one response. */
  private static final long NO_TICKET = 0;

  private final ControllerContext context;
  private final UserRequestHandler users;

  /** Creates a handler that answers queries through {@code users}. */
  public ForwardedQueryHandler(ControllerContext context, UserRequestHandler users) {
    this.context = context;
    this.users = users;
  }

  /** Answers all queries of a request, in the order of the request. */
  public void handle(Input.PeerQueries request) {
    if (request.uids().isEmpty()) {
      respond(request, new UserResponse[0]);
      return;
    }
    UserResponse[] responses = new UserResponse[request.uids().size()];
    int[] remaining = {responses.length};
    for (int i = 0; i < responses.length; i++) {
      int index = i;
      users.handle(
          new Input.Query(NO_TICKET, request.uids().get(index)),
          false,
          response -> {
            responses[index] = response;
            remaining[0]--;
            if (remaining[0] == 0) {
              respond(request, responses);
            }
          });
    }
  }

  private void respond(Input.PeerQueries request, UserResponse[] responses) {
    context.emit(new Effect.RespondToQueries(request.ticket(), ImmutableList.copyOf(responses)));
  }
}
