package eiderfork.controller.quota;

import eiderfork.model.JobKind;
import eiderfork.model.Priority;

/**
 * A job that room is to be made for.
 *
 * @param withinGuarantee whether its team's guarantee covers the job's next task, or its whole gang
 * @param mayWaitS how long it may wait for a victim to reach its checkpoint
 * @param waitedForBoot whether it has waited for so long that a rented machine would have come
 */
public record Preemptor(
    TeamId team,
    JobKind kind,
    Priority priority,
    boolean withinGuarantee,
    double mayWaitS,
    boolean waitedForBoot) {}
