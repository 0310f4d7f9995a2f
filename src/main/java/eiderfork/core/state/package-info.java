/**
 * The state service as a controller uses it: its limits, who leads, reads of ranges of keys and
 * their freshness. Nothing here knows jobs or machines.
 */
package eiderfork.core.state;
