package eiderfork.controller.jobs;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Input;
import eiderfork.controller.message.UserResponse;

/** Responds to the queries that a peer forwards in one request, to all of them at once. */
public final class ForwardedQueryHandler {
  /** Queries of one request get one response, so that they carry no ticket of their own. */
  private static final long NO_TICKET = 0;

  private final ControllerContext context;
  private final UserRequestHandler users;

  /** Makes a handler that answers queries as {@code users} does. */
  public ForwardedQueryHandler(ControllerContext context, UserRequestHandler users) {
    this.context = context;
    this.users = users;
  }

  /** Answers all queries of a request, in their order. */
  public void handle(Input.PeerQueries request) {
    if (request.uids().isEmpty()) {
      respond(request, new UserResponse[0]);
      return;
    }
    UserResponse[] responses = new UserResponse[request.uids().size()];
    int[] missing = {responses.length};
    for (int i = 0; i < responses.length; i++) {
      int index = i;
      users.handle(
          new Input.Query(NO_TICKET, request.uids().get(index)),
          false,
          response -> {
            responses[index] = response;
            missing[0]--;
            if (missing[0] == 0) {
              respond(request, responses);
            }
          });
    }
  }

  private void respond(Input.PeerQueries request, UserResponse[] responses) {
    context.emit(new Effect.RespondToQueries(request.ticket(), ImmutableList.copyOf(responses)));
  }
}
