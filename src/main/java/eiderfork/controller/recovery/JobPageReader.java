package eiderfork.controller.recovery;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.store.RequestPriority;

/**
 * Reads stored jobs one page at a time, each page with the allocations of its jobs, so that the
 * caller can discard what it does not need before it reads the next page.
 */
public final class JobPageReader {
  /**
   * A page of submissions, with the allocations between the end of the previous page and the end of
   * this one.
   *
   * @param nextAfterUid the uid of the job after which the next page begins; null if this is the
   *     last page
   */
  public record JobPage(
      ImmutableList<Reply.Item> jobs, ImmutableList<Reply.Item> allocations, String nextAfterUid) {}

  /** A consumer of pages. */
  public interface PageConsumer {
    /** Accepts a page. */
    void accept(JobPage page);
  }

  private final RangeReader reader;

  /** Creates a reader of jobs that uses the given reader of key ranges. */
  public JobPageReader(RangeReader reader) {
    this.reader = reader;
  }

  /**
   * Reads a page.
   *
   * @param afterUid the uid of the job after which the page begins; empty for the first page
   * @param leadingTerm the term in which this node leads
   */
  public void read(
      String afterUid, long leadingTerm, RequestPriority priority, PageConsumer pageConsumer) {
    reader.readPage(
        StoreKeys.JOB_PREFIX,
        keyAfter(StoreKeys.JOB_PREFIX, afterUid),
        leadingTerm,
        priority,
        page -> {
          String lastUid = null;
          if (page.hasMore()) {
            lastUid = StoreKeys.withoutPrefix(page.items().get(page.items().size() - 1).key());
          }
          readAllocations(
              page.items(),
              afterUid,
              lastUid,
              ImmutableList.builder(),
              leadingTerm,
              priority,
              pageConsumer);
        });
  }

  private static String keyAfter(String prefix, String uid) {
    return uid.isEmpty() ? "" : prefix + uid;
  }

  private void readAllocations(
      ImmutableList<Reply.Item> jobs,
      String afterUid,
      String lastUid,
      ImmutableList.Builder<Reply.Item> allocations,
      long leadingTerm,
      RequestPriority priority,
      PageConsumer pageConsumer) {
    reader.readPage(
        StoreKeys.ALLOCATION_PREFIX,
        keyAfter(StoreKeys.ALLOCATION_PREFIX, afterUid),
        leadingTerm,
        priority,
        page -> {
          String uid = afterUid;
          for (Reply.Item item : page.items()) {
            uid = StoreKeys.withoutPrefix(item.key());
            if (lastUid == null || uid.compareTo(lastUid) <= 0) {
              allocations.add(item);
            }
          }
          boolean hasMore = page.hasMore() && (lastUid == null || uid.compareTo(lastUid) < 0);
          if (hasMore) {
            readAllocations(jobs, uid, lastUid, allocations, leadingTerm, priority, pageConsumer);
          } else {
            pageConsumer.accept(new JobPage(jobs, allocations.build(), lastUid));
          }
        });
  }
}
