package eiderfork.controller.scheduling;

import eiderfork.controller.context.ControllerContext;
import eiderfork.controller.registry.CpusPerGpu;
import eiderfork.controller.registry.JobRegistry;
import eiderfork.controller.registry.JobState;
import java.util.Map;

/** Creates the searches of scheduling rounds, with a scorer for the job that is placed. */
final class MachineSearchFactory {
  private final ControllerContext context;
  private final JobRegistry jobs;
  private final FreeCapacity capacity;
  private final ImageFetchEstimator imageFetch;
  private final DeadlineEstimator deadlines;
  private final double maxFullSearchExaminations;

  /**
   * @param maxFullSearchExaminations once a round has examined more machines than this, its
   *     searches examine a sample
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
   * Begins a search for the tasks of a job.
   *
   * @param tasksByZone the job's tasks in each zone; the caller counts each task that it places
   * @param useFailedSearches whether zones are left out in which other jobs' searches have failed
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
