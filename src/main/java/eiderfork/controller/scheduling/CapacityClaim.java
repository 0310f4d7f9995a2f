package eiderfork.controller.scheduling;

import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;

/**
 * Capacity for one task that is being freed on a machine for a job; no other job may use it.
 *
 * @param untilMs when the claim ends, unless a write of the job is in flight then
 */
record CapacityClaim(JobState job, MachineState machine, long untilMs) {}
