package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import java.util.Map;

/** Creates machine searches for scheduling rounds, each with a scorer for its job. */
final class MachineSearchFactory {
  private final ControllerContext context;
  private final JobRegistry jobs;
  private final FreeCapacity capacity;
  private final ImageFetchEstimator imageFetch;
  private final DeadlineEstimator deadlines;
  private final double maxFullSearchExaminations;

  /**
   * Creates a factory whose searches share one examination limit.
   *
   * @param maxFullSearchExaminations the number of machine examinations in a round beyond which
   *     searches examine only a sample
   */
  MachineSearchFactory(
      ControllerContext context,
      JobRegistry jobs,
      FreeCapacity capacity,
      ImageFetchEstimator imageFetch,
      DeadlineEstimator deadlines,
      double maxFullSearchExaminations) {
    this.context = context;
    this.jobs = jobs;
    this.capacity = capacity;
    this.imageFetch = imageFetch;
    this.deadlines = deadlines;
    this.maxFullSearchExaminations = maxFullSearchExaminations;
  }

  /**
   * Creates a search for machines for the tasks of a job.
   *
   * @param tasksByZone the job's task count in each zone; the caller increases it for each placed
   *     task
   * @param useFailedSearches whether to skip zones in which searches of other jobs have failed
   */
  MachineSearch create(
      JobState job,
      Map<String, Integer> tasksByZone,
      boolean useFailedSearches,
      SearchConstraints constraints) {
    CpusPerGpu cpusPerGpu = jobs.resourceUsage().cpusPerGpu();
    return new MachineSearch(
        capacity,
        new MachineScorer(context, imageFetch, cpusPerGpu, deadlines, job),
        context.random,
        maxFullSearchExaminations,
        job,
        tasksByZone,
        useFailedSearches,
        constraints);
  }
}
