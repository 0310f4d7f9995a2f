package eiderfork.controller.scheduling;

import eiderfork.controller.registry.JobState;
import eiderfork.controller.registry.MachineState;

/**
 * Capacity for one task that is being freed on a machine for a job and that no other job may use.
 *
 * @param untilMs the expiry time of the claim, which a write of the job in flight extends
 */
record CapacityClaim(JobState job, MachineState machine, long untilMs) {}
