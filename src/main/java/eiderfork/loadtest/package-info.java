/**
 * The load test behind {@code eiderfork scale}: real controller processes on loopback among
 * emulated stores, clouds, workers and users, with injected faults, measurements and checks of the
 * protocol's invariants.
 */
package eiderfork.loadtest;
