/**
 * The information that cluster members exchange: reachability and terms of peers, the versions that
 * they run, and the cancellations that they have confirmed. Every node keeps it, leader or not.
 */
package eiderfork.controller.cluster;
