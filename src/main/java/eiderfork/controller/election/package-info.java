/**
 * Leader election: a lease in the key-value store, and the term that every fencing token is made
 * of. Only {@link eiderfork.controller.election.LeaderElection} writes the leader key.
 */
package eiderfork.controller.election;
