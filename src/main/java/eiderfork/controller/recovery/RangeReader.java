package eiderfork.controller.recovery;

import eiderfork.controller.election.LeaderElection;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.message.StoreRequest;
import eiderfork.controller.store.RequestPriority;
import eiderfork.controller.store.StoreClient;
import eiderfork.model.StoredRecord;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** A leader's reads of whole ranges of keys. One that fails is tried again at the next tick. */
public final class RangeReader {
  private final StoreClient gate;
  private final LeaderElection term;
  private final List<Runnable> again = new ArrayList<>();

  /** Makes a reader that reads while this node leads. */
  public RangeReader(StoreClient gate, LeaderElection term) {
    this.gate = gate;
    this.term = term;
  }

  /** Tries again what has failed. */
  public void tick() {
    List<Runnable> due = List.copyOf(again);
    again.clear();
    due.forEach(Runnable::run);
  }

  /** Gives up what was to be tried again. */
  public void stop() {
    again.clear();
  }

  /** Has something tried at the next tick. */
  public void later(Runnable what) {
    again.add(what);
  }

  /** Whether this node still leads this term. */
  public boolean leads(long number) {
    return term.leading() && term.number() == number;
  }

  /**
   * Reads all keys under a prefix, page by page, as often as it takes while this node leads.
   *
   * @param taker takes each of them
   * @param then takes the revision of the first page once all were read
   */
  public void scan(
      String prefix, String after, long number, Consumer<Reply.Item> taker, LongConsumer then) {
    page(
        prefix,
        after,
        number,
        RequestPriority.START,
        page -> {
          page.items().forEach(taker);
          if (page.more()) {
            String last = page.items().get(page.items().size() - 1).key();
            scan(prefix, last, number, taker, revision -> then.accept(page.revision()));
          } else {
            then.accept(page.revision());
          }
        });
  }

  /** Reads one page of the keys under a prefix, as often as it takes while this node leads. */
  public void page(
      String prefix,
      String after,
      long number,
      RequestPriority urgency,
      Consumer<Reply.Page> taker) {
    gate.send(
        new StoreRequest.Scan(prefix, after),
        urgency,
        reply -> {
          if (!leads(number)) {
            return;
          }
          if (reply instanceof Reply.Page page) {
            taker.accept(page);
          } else {
            later(() -> page(prefix, after, number, urgency, taker));
          }
        });
  }

  /** Reads which machines other nodes answer in this one's place; null where a record is spoilt. */
  public void readProxied(Consumer<Set<String>> then) {
    Set<String> names = new HashSet<>();
    boolean[] whole = {true};
    scan(
        StoreKeys.LEASE_PROXY,
        "",
        term.number(),
        item -> {
          if (item.record() instanceof StoredRecord.ProxiedLeases it) {
            names.addAll(it.machines());
          } else {
            whole[0] = false;
          }
        },
        revision -> then.accept(whole[0] ? names : null));
  }
}
