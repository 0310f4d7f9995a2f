package eiderfork.controller.recovery;

import com.google.common.collect.ImmutableList;
import eiderfork.controller.message.Reply;
import eiderfork.controller.message.StoreKeys;
import eiderfork.controller.store.RequestPriority;

/**
 * Reads stored jobs a page at a time, each page with the allocations of its jobs, so that a reader
 * can drop what it has no use for before it reads on.
 */
public final class JobPageReader {
  /**
   * A page of submissions, and the allocations between the page before and this one's end.
   *
   * @param continueAfter the id of the job after which the next page begins; null where this is the
   *     last
   */
  public record JobPage(
      ImmutableList<Reply.Item> jobs, ImmutableList<Reply.Item> allocs, String continueAfter) {}

  /** Takes a page. */
  public interface PageConsumer {
    /** Takes the page. */
    void accept(JobPage page);
  }

  private final RangeReader reader;

  /** Makes a reader of jobs over a reader of ranges. */
  public JobPageReader(RangeReader reader) {
    this.reader = reader;
  }

  /**
   * Reads a page.
   *
   * @param afterJob the id of the job after which the page begins; empty for the first page
   * @param leadingTerm the term in which this node leads
   */
  public void read(
      String afterJob, long leadingTerm, RequestPriority priority, PageConsumer pageConsumer) {
    reader.readPage(
        StoreKeys.JOB_PREFIX,
        keyAfter(StoreKeys.JOB_PREFIX, afterJob),
        leadingTerm,
        priority,
        page -> {
          String last = null;
          if (page.hasMore()) {
            last = StoreKeys.withoutPrefix(page.items().get(page.items().size() - 1).key());
          }
          readAllocs(
              page.items(),
              afterJob,
              last,
              ImmutableList.builder(),
              leadingTerm,
              priority,
              pageConsumer);
        });
  }

  private static String keyAfter(String prefix, String after) {
    return after.isEmpty() ? "" : prefix + after;
  }

  private void readAllocs(
      ImmutableList<Reply.Item> jobs,
      String afterJob,
      String lastJob,
      ImmutableList.Builder<Reply.Item> allocs,
      long leadingTerm,
      RequestPriority priority,
      PageConsumer pageConsumer) {
    reader.readPage(
        StoreKeys.ALLOC_PREFIX,
        keyAfter(StoreKeys.ALLOC_PREFIX, afterJob),
        leadingTerm,
        priority,
        page -> {
          String uid = afterJob;
          for (Reply.Item item : page.items()) {
            uid = StoreKeys.withoutPrefix(item.key());
            if (lastJob == null || uid.compareTo(lastJob) <= 0) {
              allocs.add(item);
            }
          }
          boolean more = page.hasMore() && (lastJob == null || uid.compareTo(lastJob) < 0);
          if (more) {
            readAllocs(jobs, uid, lastJob, allocs, leadingTerm, priority, pageConsumer);
          } else {
            pageConsumer.accept(new JobPage(jobs, allocs.build(), lastJob));
          }
        });
  }
}
