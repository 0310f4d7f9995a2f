package eiderfork.controller.autoscaling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.message.Effect;
import eiderfork.controller.message.Reply;
import eiderfork.controller.ratelimit.Backoff;
import eiderfork.controller.ratelimit.TokenBucket;
import eiderfork.controller.registry.MachineRegistry;
import eiderfork.model.ListedMachine;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the cloud's list of machines again and again, page by page. */
final class MachineListPoller {
  /** A list that is not complete after this many of its lags is begun anew. */
  private static final int MAX_LISTING_LAGS = 4;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final TokenBucket callBudget;
  private final Runnable onListed;
  private final Backoff backoff;
  private long nextRequestMs;
  private boolean isInFlight;
  private boolean hasCompleteListing;

  /** The list that is being read; null between lists. */
  private Listing listing;

  /** The pages of a list that were read. */
  private static final class Listing {
    private final long startedMs;
    private final Map<String, ListedMachine> entriesByName = new LinkedHashMap<>();
    private String lastName = "";

    Listing(long startedMs) {
      this.startedMs = startedMs;
    }

    /** Whether the page took the list further. */
    boolean add(Reply.Hosts page) {
      String before = lastName;
      for (ListedMachine entry : page.entries()) {
        lastName = entry.machine().name();
        entriesByName.put(lastName, entry);
      }
      return !lastName.equals(before);
    }
  }

  /**
   * @param onListed called after each complete list
   */
  MachineListPoller(
      ControllerContext context, MachineRegistry fleet, TokenBucket callBudget, Runnable onListed) {
    this.context = context;
    this.fleet = fleet;
    this.callBudget = callBudget;
    this.onListed = onListed;
    backoff = new Backoff(context.stepMs(), context.cloudListLagMs());
  }

  /** Begins anew, for a new term. */
  void reset() {
    listing = null;
    isInFlight = false;
    hasCompleteListing = false;
    nextRequestMs = 0;
  }

  /** Whether a complete list was read in this term. */
  boolean hasCompleteListing() {
    return hasCompleteListing;
  }

  /** Requests the next page where that is due and the budget allows it. */
  void requestIfDue() {
    if (!isInFlight && context.nowMs() >= nextRequestMs && callBudget.tryTake(1, context.nowMs())) {
      requestPage();
    }
  }

  private void requestPage() {
    if (listing == null || isOutdated(listing)) {
      listing = new Listing(context.nowMs());
    }
    Listing current = listing;
    long timeoutMs = CloudProvisioner.callTimeoutMs(context);
    isInFlight = true;
    context.call(
        callId -> new Effect.ListHosts(callId, current.lastName, timeoutMs),
        reply -> {
          if (listing == current) {
            isInFlight = false;
            onReply(current, reply);
          }
        });
  }

  private boolean isOutdated(Listing current) {
    return context.nowMs() - current.startedMs > MAX_LISTING_LAGS * context.cloudListLagMs();
  }

  private void onReply(Listing current, Reply reply) {
    if (!(reply instanceof Reply.Hosts page)) {
      // The pages that were read stay valid.
      nextRequestMs = context.nowMs() + backoff.nextPauseMs(context.random);
      return;
    }
    boolean hasAdvanced = current.add(page);
    if (!page.hasMore() || !hasAdvanced) {
      complete(current);
    }
  }

  private void complete(Listing current) {
    listing = null;
    backoff.reset();
    nextRequestMs = context.nowMs() + context.cloudListLagMs() / 2;
    fleet.applyMachineList(current.entriesByName, current.startedMs);
    onListed.run();
    hasCompleteListing = true;
  }
}
