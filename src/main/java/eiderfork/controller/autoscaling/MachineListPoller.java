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

/** Polls the cloud's list of machines, which is read page by page. */
final class MachineListPoller {
  /** The maximum duration of reading a list, in list lags; after it the read starts over. */
  private static final int MAX_LISTING_LAGS = 4;

  private final ControllerContext context;
  private final MachineRegistry fleet;
  private final TokenBucket callBudget;
  private final Runnable onListed;
  private final Backoff backoff;
  private long nextRequestMs;
  private boolean isInFlight;
  private boolean hasCompleteListing;

  /** The list that is being read; null between reads. */
  private Listing listing;

  /** The pages of a list that have been read. */
  private static final class Listing {
    private final long startedMs;
    private final Map<String, ListedMachine> entriesByName = new LinkedHashMap<>();
    private String lastName = "";

    Listing(long startedMs) {
      this.startedMs = startedMs;
    }

    /**
     * Adds a page.
     *
     * @return whether the page advanced the list
     */
    boolean add(Reply.Hosts page) {
      String previousLastName = lastName;
      for (ListedMachine entry : page.entries()) {
        lastName = entry.machine().name();
        entriesByName.put(lastName, entry);
      }
      return !lastName.equals(previousLastName);
    }
  }

  /**
   * @param onListed run after each complete read of the list
   */
  MachineListPoller(
      ControllerContext context, MachineRegistry fleet, TokenBucket callBudget, Runnable onListed) {
    this.context = context;
    this.fleet = fleet;
    this.callBudget = callBudget;
    this.onListed = onListed;
    backoff = new Backoff(context.stepMs(), context.cloudListLagMs());
  }

  /** Discards the state of an earlier term. */
  void reset() {
    listing = null;
    isInFlight = false;
    hasCompleteListing = false;
    nextRequestMs = 0;
  }

  /** Returns whether a complete list was read in this term. */
  boolean hasCompleteListing() {
    return hasCompleteListing;
  }

  /** Requests the next page if it is due and the call budget allows it. */
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
        callId -> new Effect.ListMachines(callId, current.lastName, timeoutMs),
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
      // The pages read so far stay valid; the retry continues after them.
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
