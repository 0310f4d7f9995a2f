/**
 * What the members of a cluster know of each other: reachability and terms of peers, the versions
 * that they run, and the cancellations that they have confirmed. Every node keeps it, whether it
 * leads or not.
 */
package eiderfork.controller.cluster;
