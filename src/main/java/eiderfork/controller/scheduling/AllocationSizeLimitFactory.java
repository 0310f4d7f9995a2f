package eiderfork.controller.scheduling;

import eiderfork.controller.cluster.ClusterVersion;
import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.AllocationSizeLimit;
import eiderfork.controller.registry.JobState;
import eiderfork.controller.store.StoreClient;

/** Creates the size limits of allocation records, by the forms that all members can read now. */
final class AllocationSizeLimitFactory {
  private final ControllerContext context;
  private final StoreClient store;
  private final ClusterVersion version;

  AllocationSizeLimitFactory(ControllerContext context, StoreClient store, ClusterVersion version) {
    this.context = context;
    this.store = store;
    this.version = version;
  }

  /** The limit for further reservations of this job, beside those that it has. */
  AllocationSizeLimit create(JobState job) {
    boolean isPlainFormRetired = version.isSupportedByAll(ClusterVersion.PACKED_ALLOCS);
    double plainKb = isPlainFormRetired ? Double.POSITIVE_INFINITY : store.maxValueKb();
    boolean allowsBitmaps = version.isSupportedByAll(ClusterVersion.BITMAP_ALLOCS);
    return new AllocationSizeLimit(job, plainKb, context.settings.safeValueKb(), allowsBitmaps);
  }
}
