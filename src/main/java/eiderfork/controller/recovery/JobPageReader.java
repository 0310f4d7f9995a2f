package eiderfork.controller.recovery;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.store.RequestPriority;

/**
 * Reads stored jobs a page at a time, each page with the alloc records of its jobs, so that a
 * reader can let go of what it has no use for before it reads on.
 */
public final class JobPageReader {
  /**
   * A page of submissions, and the alloc records between the page before and this one's end.
   *
   * @param next the id of the job after which the next page begins; null where this is the last
   */
  public record JobPage(
      ImmutableList<Reply.Item> jobs, ImmutableList<Reply.Item> allocs, String next) {}

  /** Takes a page. */
  public interface Taker {
    /** Takes the page. */
    void take(JobPage page);
  }

  private final RangeReader reader;

  /** Makes a reader of jobs on one of ranges of keys. */
  public JobPageReader(RangeReader reader) {
    this.reader = reader;
  }

  /**
   * Reads a page.
   *
   * @param after the id of the job after which the page begins; empty for the first page
   * @param number the term in which this node leads
   */
  public void read(String after, long number, RequestPriority urgency, Taker taker) {
    reader.page(
        StoreKeys.JOB,
        keyAfter(StoreKeys.JOB, after),
        number,
        urgency,
        page -> {
          String last = null;
          if (page.more()) {
            last = StoreKeys.tail(page.items().get(page.items().size() - 1).key());
          }
          readAllocs(page.items(), after, last, ImmutableList.builder(), number, urgency, taker);
        });
  }

  private static String keyAfter(String prefix, String after) {
    return after.isEmpty() ? "" : prefix + after;
  }

  private void readAllocs(
      ImmutableList<Reply.Item> jobs,
      String after,
      String last,
      ImmutableList.Builder<Reply.Item> allocs,
      long number,
      RequestPriority urgency,
      Taker taker) {
    reader.page(
        StoreKeys.ALLOC,
        keyAfter(StoreKeys.ALLOC, after),
        number,
        urgency,
        page -> {
          String uid = after;
          for (Reply.Item item : page.items()) {
            uid = StoreKeys.tail(item.key());
            if (last == null || uid.compareTo(last) <= 0) {
              allocs.add(item);
            }
          }
          boolean more = page.more() && (last == null || uid.compareTo(last) < 0);
          if (more) {
            readAllocs(jobs, uid, last, allocs, number, urgency, taker);
          } else {
            taker.take(new JobPage(jobs, allocs.build(), last));
          }
        });
  }
}
