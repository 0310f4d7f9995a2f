/**
 * Leader election with a lease in the key-value store, and the term from which fencing tokens are
 * derived. Only {@link eiderfork.controller.election.LeaderElection} writes the leader key.
 */
package eiderfork.controller.election;
