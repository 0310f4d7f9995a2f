package eiderfork.controller.quota;

import eiderfork.model.JobKind;
import eiderfork.model.Priority;

/**
 * A job that others may be preempted for.
 *
 * @param isWithinGuarantee whether its team's guarantee covers the job's next task, or its whole
 *     gang
 * @param maxCheckpointWaitS how long it may wait for a victim to reach its checkpoint
 * @param hasWaitedForBoot whether it has waited for so long that a new machine would have booted
 */
public record Preemptor(
    TeamId team,
    JobKind kind,
    Priority priority,
    boolean isWithinGuarantee,
    double maxCheckpointWaitS,
    boolean hasWaitedForBoot) {}
