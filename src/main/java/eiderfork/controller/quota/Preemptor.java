package eiderfork.controller.quota;

import eiderfork.model.JobKind;
import eiderfork.model.Priority;

/**
 * A job for which others may be preempted.
 *
 * @param isWithinGuarantee whether its team's guarantee covers the job's next task, or the whole
 *     gang
 * @param maxCheckpointWaitS the longest time that it may wait for a victim's next checkpoint
 * @param hasWaitedForBoot whether it has waited long enough for a new machine to boot
 */
public record Preemptor(
    TeamId team,
    JobKind kind,
    Priority priority,
    boolean isWithinGuarantee,
    double maxCheckpointWaitS,
    boolean hasWaitedForBoot) {}
