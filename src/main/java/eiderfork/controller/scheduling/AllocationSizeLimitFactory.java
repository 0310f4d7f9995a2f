package eiderfork.controller.scheduling;

import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.AllocationSizeLimit;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.store.StoreClient;

/**
 * Creates size limits for allocation records, based on the record forms that all cluster members
 * can read now.
 */
final class AllocationSizeLimitFactory {
  private final ControllerContext context;
  private final StoreClient store;
  private final ClusterVersion version;

  AllocationSizeLimitFactory(ControllerContext context, StoreClient store, ClusterVersion version) {
    this.context = context;
    this.store = store;
    this.version = version;
  }

  /** Creates the limit for further reservations of this job in addition to its current ones. */
  AllocationSizeLimit create(JobState job) {
    boolean isPlainFormRetired = version.isSupportedByAll(ClusterVersion.PACKED_ALLOCS);
    double plainKb = isPlainFormRetired ? Double.POSITIVE_INFINITY : store.maxValueKb();
    boolean allowsBitmaps = version.isSupportedByAll(ClusterVersion.BITMAP_ALLOCS);
    return new AllocationSizeLimit(job, plainKb, context.settings.safeValueKb(), allowsBitmaps);
  }
}
